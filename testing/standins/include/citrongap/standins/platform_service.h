// The stand-in of the platform over HTTP: log service, list of VMs, and the
// faults that a test asks for by `POST /control`.
#ifndef CITRONGAP_STANDINS_PLATFORM_SERVICE_H
#define CITRONGAP_STANDINS_PLATFORM_SERVICE_H

#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_server.h"
#include "citrongap/standins/log_model.h"
#include "citrongap/standins/vm_list_model.h"

#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <vector>

namespace citrongap::standins {

struct PlatformOptions {
  LogRetention Retention;
  /// Appends a second beyond this are answered 503 and take no effect.
  std::uint32_t MaxAppendsPerSecond = 500;
  nlohmann::json Vms = nlohmann::json::array();
  Millis ListLag{1000};
};

class PlatformService {
public:
  PlatformService(EventLoop &loop, PlatformOptions options);

  bool listen(const Endpoint &at) { return Server.listen(at); }

private:
  /// The faults in force.
  struct Faults {
    bool Outage = false;
    bool Silent = false;
    /// Each call takes effect and is answered so much later.
    Millis Delay{0};
    /// Appends whose answer is still to be lost.
    std::int64_t LoseAnswers = 0;
    /// Calls from here are left without answer.
    std::set<std::string> RefuseFrom;
  };

  /// A read that waits for a record.
  struct WaitingRead {
    HttpRequest Request;
    HttpResponder Responder;
    Timer GiveUp;
  };

  void onRequest(const HttpRequest &request, const HttpResponder &responder);
  void admit(const HttpRequest &request, const HttpResponder &responder);
  void handle(const HttpRequest &request, const HttpResponder &responder);
  void append(const std::string &stream, const HttpRequest &request,
              const HttpResponder &responder);
  void read(const std::string &stream, const HttpRequest &request,
            const HttpResponder &responder);
  void answerWaitingReads();
  void control(const HttpRequest &request, const HttpResponder &responder);
  /// Sends, or leaves the call without answer when a fault says so.
  void answer(const HttpRequest &request, const HttpResponder &responder,
              const HttpResponse &response);
  /// True when the call must never be answered.
  bool unanswered(const HttpRequest &request) const;
  bool takeAppendBudget();

  EventLoop &Loop;
  std::uint32_t MaxAppendsPerSecond;
  LogModel Streams;
  VmListModel Vms;
  Faults Current;
  /// The second that `AppendsInSecond` counts.
  std::int64_t CountedSecond = 0;
  std::uint32_t AppendsInSecond = 0;
  HttpServer Server;
  std::list<WaitingRead> WaitingReads;
  std::list<Timer> Delayed;
  /// Calls that never get an answer; kept so that none is sent.
  std::vector<HttpResponder> Unanswered;
};

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_PLATFORM_SERVICE_H
