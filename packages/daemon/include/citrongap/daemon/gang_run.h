// One attempt of one job: prepared on all its servers, released on all, watched
// to its end. Whole or not at all: when one part is lost, the others stop.
#ifndef CITRONGAP_DAEMON_GANG_RUN_H
#define CITRONGAP_DAEMON_GANG_RUN_H

#include "citrongap/daemon/job_json.h"
#include "citrongap/daemon/server_session.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citrongap {

/// How an attempt ended.
struct RunEnd {
  /// Some part was, or may have been, released.
  bool Ran = false;
  bool Succeeded = false;
  /// Set when it was stopped on request of the owner.
  bool Revoked = false;
  std::int64_t RanMs = 0;
  /// `{"parts":[RESULT,...]}` in order of parts, when it succeeded.
  std::string Result;
  std::string Reason;
  /// Servers on which a part failed by itself.
  std::vector<BackendServerId> FailedOn;
  /// Servers that did not answer or refused.
  std::vector<BackendServerId> Unresponsive;
};

class GangRun {
public:
  /// Finds the session of a server; null when there is none now.
  using SessionLookup = std::function<ServerSession *(const BackendServerId &)>;

  GangRun(EventLoop &loop, BackendPort &port, PodTerms terms,
          AttemptRecord record, SessionLookup sessions,
          std::function<void(const RunEnd &)> onEnd);
  /// `onEnd` is called once; it must not destroy the attempt before returning
  /// to the loop.

  /// Nothing is released past `deadline`.
  void startBy(MonoTime deadline) { StartBy = deadline; }
  /// Starts a new attempt.
  void start();
  /// Takes over an attempt that an earlier owner started; `found` is what the
  /// servers told of it. One that was released in part only is stopped.
  void adopt(const std::vector<TaskState> &found);

  /// A state that a server told, of a task of this attempt.
  void onTask(const TaskState &state);
  /// Checks for parts out of sight and for servers that never answered.
  void onTick(MonoTime now);
  /// Stops all parts; ends as revoked unless it succeeded first.
  void revoke(const std::string &reason);

  const AttemptRecord &record() const { return Record; }
  bool releasing() const { return Phase != PhaseKind::Preparing; }
  TaskId taskOf(std::uint32_t part) const;

private:
  enum class PhaseKind : std::uint8_t {
    Preparing,
    Releasing,
    Running,
    Stopping,
    Ended
  };

  struct Part {
    PlacementPart Where;
    bool Prepared = false;
    /// The release was sent at least once, so that it may have run.
    bool ReleaseSent = false;
    bool Released = false;
    /// The server confirmed that it does not run (any more).
    std::optional<TaskState> Ended;
    /// Past it a part out of sight has lapsed or was dropped at its server.
    MonoTime GoneAt;
    MonoTime SeenAt;
  };

  void prepare(std::uint32_t part);
  void onPrepared(std::uint32_t part, const PortResult<std::monostate> &result);
  void release(std::uint32_t part);
  void onReleased(std::uint32_t part, const PortResult<std::monostate> &result);
  void stopAll(const std::string &reason);
  void stopPart(std::uint32_t part);
  void onStopped(std::uint32_t part, const PortResult<TaskState> &result);
  void checkEnd();
  void finish(const RunEnd &end);
  RunEnd summarize() const;
  bool allEndedWell() const;
  template <typename T>
  PortCallback<T> guarded(std::function<void(PortResult<T>)> callback);

  EventLoop &Loop;
  BackendPort &Port;
  PodTerms Terms;
  AttemptRecord Record;
  std::string RequestText;
  SessionLookup Sessions;
  std::function<void(const RunEnd &)> OnEnd;
  PhaseKind Phase = PhaseKind::Preparing;
  std::vector<Part> Parts;
  std::vector<BackendServerId> Unresponsive;
  std::string StopReason;
  MonoTime StartBy = MonoTime::max();
  bool RevokeAsked = false;
  std::map<std::uint32_t, Timer> Retries;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_GANG_RUN_H
