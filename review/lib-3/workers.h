// Workers as the users' pages describe them: leases on a clock of their own,
// generation numbers, capacity that is guarded, and ends that are kept until
// they are taken note of.
#ifndef CITRONGAP_REVIEW_WORKERS_H
#define CITRONGAP_REVIEW_WORKERS_H

#include "citrongap/net/http_server.h"

#include "wire_json.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace citrongap;

struct Size {
  std::int64_t Cpu = 0;
  std::int64_t Memory = 0;
  std::int64_t Gpu = 0;
};

/// What a work item does, in its job's `task_spec`.
struct Program {
  std::int64_t WorkMs = 0;
  /// Runs until it is stopped.
  bool Lasts = false;
  bool Fails = false;
  Size Takes;

  std::string text() const;
  static Program parse(const std::string &text);
};

/// A start, an end, or an end that was taken note of.
struct RunEvent {
  std::string Kind;
  MonoTime At;
  std::string Worker;
  std::string Task;
  std::uint32_t Run = 0;
  std::string How;
};

class WorkerStandin {
public:
  using Sink = std::function<void(const RunEvent &)>;

  WorkerStandin(EventLoop &loop, std::string id, Sink sink);

  bool listen(const Endpoint &at) { return Server.listen(at); }
  /// The process ends with all that it runs; it answers nothing any more.
  void crash();
  bool alive() const { return Alive; }
  std::int64_t born() const { return Born; }
  /// Starts again under the same id; it knows nothing of before.
  void startAgain();
  /// All that it starts fails at once.
  void setFaulty(bool faulty) { Faulty = faulty; }

  static constexpr std::int64_t HoldMaxMs = 6000;
  static constexpr std::int64_t StopMs = 300;
  static constexpr std::size_t MostEnds = 500;
  Size Capacity{128000, 262144, 8};

private:
  struct Run {
    std::uint32_t Number = 0;
    Program Does;
    MonoTime StartedAt;
    std::optional<MonoTime> EndsAt;
    bool Stopping = false;
  };
  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint32_t Run = 0;
    std::string How;
  };
  struct WaitingPoll {
    HttpResponder To;
    MonoTime Until;
  };

  void handle(const HttpRequest &request, const HttpResponder &to);
  void start(const wire::Json &body, const HttpResponder &to);
  void stop(const wire::Json &body, const HttpResponder &to);
  void hold(const wire::Json &body, const HttpResponder &to);
  bool acceptToken(const wire::Json &body);
  void extend(const wire::Json &body);
  void tick();
  void end(const std::string &task, const std::string &how);
  std::int64_t clock() const;
  wire::Json lists() const;
  void reply(const HttpResponder &to, int status, const std::string &reason);
  void emit(const std::string &kind, const std::string &task, std::uint32_t run,
            const std::string &how);

  EventLoop &Loop;
  std::string Id;
  Sink Emit;
  HttpServer Server;
  bool Alive = true;
  bool Faulty = false;
  std::int64_t Born = 0;
  MonoTime BornAt;
  std::uint64_t Token = 0;
  std::int64_t HeldUntil = 0;
  std::map<std::string, Run> Running;
  std::map<std::string, std::uint32_t> Highest;
  std::list<End> Ends;
  std::uint64_t NextEnd = 1;
  std::vector<WaitingPoll> Polls;
  std::vector<HttpResponder> Unanswered;
  Timer Tick;
};

} // namespace review

#endif // CITRONGAP_REVIEW_WORKERS_H
