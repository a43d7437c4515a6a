// The callers' HTTP interface; see docs/API.md.
#ifndef CITRONGAP_DAEMON_HTTP_API_H
#define CITRONGAP_DAEMON_HTTP_API_H

#include "citrongap/base/random.h"
#include "citrongap/daemon/job_front.h"
#include "citrongap/daemon/metrics.h"
#include "citrongap/net/http_server.h"
#include "citrongap/policy/configuration.h"

#include <functional>
#include <map>
#include <string>
#include <variant>

namespace citrongap {

/// What the API needs of the node.
class NodeServices {
public:
  virtual ~NodeServices() = default;

  virtual const Configuration &configuration() const = 0;
  virtual Revision revision() const = 0;
  /// The pod that knows this job, or takes it when it is new.
  virtual PodId homeOf(const JobId &job) const = 0;
  /// Some pod can hold so large a gang.
  virtual bool fitsSomePod(Accelerators gang) const = 0;
  virtual std::string statusJson() const = 0;
  virtual std::string configurationJson() const = 0;
  virtual std::string metricsText() const = 0;
  /// Publishes a change given as JSON; answers when it is settled.
  virtual void publish(const std::string &body,
                       std::function<void(HttpResponse)> callback) = 0;
  virtual bool leaving() const = 0;
};

class HttpApi {
public:
  HttpApi(NodeServices &node, JobFront &front, Metrics &metrics,
          std::size_t maxOpenRequests);

  void handle(const HttpRequest &request, const HttpResponder &responder);
  /// Requests taken and not yet answered.
  std::size_t openRequests() const { return *Open; }

private:
  void submit(const HttpRequest &request, const HttpResponder &responder);
  void await(const JobId &job, const HttpRequest &request,
             const HttpResponder &responder);
  /// The outcome of a key that is known, else a finding.
  void answerExpired(const JobId &job, const HttpResponder &responder);
  void cancel(const JobId &job, const HttpResponder &responder);
  Findings check(const JobRequest &job) const;
  bool rateExceeded(const ClientAccountId &account);

  struct RateWindow {
    MonoTime EndsAt;
    std::uint32_t Taken = 0;
  };

  Random Ids = Random::fromDevice();
  NodeServices &Node;
  JobFront &Front;
  Metrics &Counted;
  std::size_t MaxOpen;
  std::shared_ptr<std::size_t> Open = std::make_shared<std::size_t>(0);
  std::map<ClientAccountId, RateWindow> Rates;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_HTTP_API_H
