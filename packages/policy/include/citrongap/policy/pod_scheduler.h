// The decisions of one pod: which job starts where, which is stopped to give
// back a guaranteed shape, which is refused. No I/O; time is passed in.
#ifndef CITRONGAP_POLICY_POD_SCHEDULER_H
#define CITRONGAP_POLICY_POD_SCHEDULER_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/configuration.h"
#include "citrongap/policy/guarantee_packing.h"
#include "citrongap/policy/job.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

/// Start every part of the gang together at `Where`.
struct StartJob {
  JobRequest Job;
  Placement Where;
};

/// Checkpoint or stop a running job, then report it with `jobRevoked`; it goes
/// back to its queue.
struct RevokeJob {
  JobId Job;
  std::string Reason;
};

/// The job leaves the queue and never ran, unless `MayHaveRun`: then a part of
/// it ran before it was revoked, and "not run" would be false.
struct RefuseJob {
  JobId Job;
  NotRun Reason;
  bool MayHaveRun = false;
};

using Decision = std::variant<StartJob, RevokeJob, RefuseJob>;

enum class ServerState : std::uint8_t { Live, Leaving, Lost };

struct ServerDescription {
  BackendServerId Server;
  RackId Rack;
  Accelerators Total{8};
  ServerState State = ServerState::Live;
};

/// How a run ended, as far as the servers are concerned.
struct RunReport {
  bool Succeeded = true;
  std::int64_t RanMs = 0;
  /// Servers on which a part failed; empty when it succeeded.
  std::vector<BackendServerId> FailedOn;
};

/// What the scheduler says of itself, for gossip and status.
struct PodSummary {
  Accelerators Total;
  Accelerators Free;
  /// The largest gang that could start now.
  Accelerators LargestFree;
  std::uint32_t QueuedJobs = 0;
  std::uint32_t RunningJobs = 0;
  std::uint32_t QuarantinedServers = 0;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Total, Free, LargestFree, QueuedJobs, RunningJobs, QuarantinedServers);
  }
};

class PodScheduler {
public:
  /// `pod` is one data centre today.
  PodScheduler(PodId pod, DataCentreId dataCentre);
  ~PodScheduler();
  PodScheduler(PodScheduler &&) noexcept;
  PodScheduler &operator=(PodScheduler &&) noexcept;

  /// Takes an accepted configuration; running jobs go on.
  void configure(const Configuration &configuration, MonoTime now);
  /// Adds a server or changes its state.
  void setServer(const ServerDescription &server, MonoTime now);
  void removeServer(const BackendServerId &server, MonoTime now);

  /// Queues a job; `std::monostate` when it was taken. A job that is known
  /// already is not queued twice.
  std::variant<std::monostate, NotRun> submit(const JobRequest &job,
                                              WallTime wall, MonoTime now);
  /// What to do now. Each decision is taken for done; a start that could not be
  /// carried out comes back through `startFailed`.
  std::vector<Decision> decide(WallTime wall, MonoTime now);

  /// A started job that runs already, found on the servers by a new owner.
  void adopt(const JobRequest &job, const Placement &where, MonoTime now);
  void jobEnded(const JobId &job, const RunReport &report, MonoTime now);
  /// A revoked job has stopped; it is queued again.
  void jobRevoked(const JobId &job, MonoTime now);
  /// No part of it ran; it is queued again. `blamed` servers did not answer.
  void startFailed(const JobId &job, const std::vector<BackendServerId> &blamed,
                   MonoTime now);
  /// Removes a waiting job. False when it is not waiting.
  bool cancelQueued(const JobId &job);

  bool isQueued(const JobId &job) const;
  bool isRunning(const JobId &job) const;
  PodSummary summary(MonoTime now) const;
  /// Guaranteed shapes that have no cells now: the guarantee is degraded.
  std::vector<AssignedShape> degradedGuarantees() const;
  /// The cells of the account's guaranteed shapes that have some.
  std::vector<Placement> footprint(const ClientAccountId &account) const;
  /// Waiting jobs of each account.
  std::map<ClientAccountId, std::uint32_t> queueLengths() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_SCHEDULER_H
