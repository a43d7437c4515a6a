// One backend server over HTTP: the protocol of
// docs/design/platform-protocol.md on top of BackendServerModel, and the faults
// that a test asks for by `POST /control`.
#ifndef CITRONGAP_STANDINS_BACKEND_SERVICE_H
#define CITRONGAP_STANDINS_BACKEND_SERVICE_H

#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_server.h"
#include "citrongap/standins/backend_server_model.h"
#include "citrongap/standins/history_file.h"

#include <list>
#include <set>
#include <string>
#include <vector>

namespace citrongap::standins {

class BackendService {
public:
  BackendService(EventLoop &loop, BackendServerId id, std::uint32_t slots,
                 HistoryFile &history);

  bool listen(const Endpoint &at) { return Server.listen(at); }

private:
  /// The faults in force.
  struct Faults {
    /// Each answer is held back for so long.
    Millis Slow{0};
    bool Dead = false;
    bool NoNewWork = false;
    /// Calls from here are left without answer.
    std::set<std::string> RefuseFrom;
  };

  /// A sync that waits for a change of a task.
  struct WaitingSync {
    HttpRequest Request;
    HttpResponder Responder;
    FencingToken Token;
    std::uint64_t Since;
    Timer GiveUp;
  };

  void onRequest(const HttpRequest &request, const HttpResponder &responder);
  void handle(const HttpRequest &request, const HttpResponder &responder);
  HttpResponse lease(const nlohmann::json &body);
  HttpResponse prepare(const nlohmann::json &body);
  HttpResponse release(const nlohmann::json &body);
  HttpResponse stop(const nlohmann::json &body);
  HttpResponse usage();
  void sync(const nlohmann::json &body, const HttpRequest &request,
            const HttpResponder &responder);
  HttpResponse syncAnswer(FencingToken token, std::uint64_t since) const;
  void control(const nlohmann::json &body, const HttpResponder &responder);
  void answer(const HttpRequest &request, const HttpResponder &responder,
              const HttpResponse &response);
  bool unanswered(const HttpRequest &request) const;
  /// Answers syncs that have something to tell and sets the next timer.
  void afterChange();
  void record(const BackendEvent &event);

  EventLoop &Loop;
  BackendServerId Id;
  HistoryFile &History;
  BackendServerModel Model;
  Faults Current;
  /// What `GET /usage` tells, and when it was true.
  std::uint32_t SampledBusy = 0;
  MonoTime SampledAt = MonoTime::min();
  HttpServer Server;
  std::list<WaitingSync> WaitingSyncs;
  std::list<Timer> Delayed;
  /// Calls that never get an answer; kept so that none is sent.
  std::vector<HttpResponder> Unanswered;
  Timer Due;
};

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_BACKEND_SERVICE_H
