// The scheduler of one pod. It decides which jobs start on which accelerators,
// which are revoked (to reclaim a guaranteed shape or for a reservation) and
// which are refused. It does no I/O; the caller passes the time in.
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

/// Decision to start all parts of the gang together on `Where`.
struct StartJob {
  JobRequest Job;
  Placement Where;
};

/// Decision to checkpoint or stop a running job. The caller reports the stop
/// with `jobRevoked`, which queues the job again.
struct RevokeJob {
  JobId Job;
  std::string Reason;
};

/// Decision to remove a job from the queue. The job never ran, unless
/// `MayHaveRun` is set: then a part of it ran before it was revoked, and it
/// must not be reported as not run.
struct RefuseJob {
  JobId Job;
  NotRun Reason;
  bool MayHaveRun = false;
};

/// An action for the caller of PodScheduler to carry out.
using Decision = std::variant<StartJob, RevokeJob, RefuseJob>;

/// Only live servers accept new work.
enum class ServerState : std::uint8_t { Live, Leaving, Lost };

/// A backend server as the scheduler's caller sees it.
struct ServerDescription {
  BackendServerId Server;
  RackId Rack;
  Accelerators Total{8};
  ServerState State = ServerState::Live;
};

/// How a run ended, as input for server health and run-time estimates.
struct RunReport {
  bool Succeeded = true;
  std::int64_t RanMs = 0;
  /// Servers on which a part failed; empty if the run succeeded.
  std::vector<BackendServerId> FailedOn;
};

/// Load of a pod, published by gossip and in the status.
struct PodSummary {
  Accelerators Total;
  Accelerators Free;
  /// Size of the largest gang that could start now.
  Accelerators LargestFree;
  std::uint32_t QueuedJobs = 0;
  std::uint32_t RunningJobs = 0;
  std::uint32_t QuarantinedServers = 0;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Total, Free, LargestFree, QueuedJobs, RunningJobs, QuarantinedServers);
  }
};

/// Scheduler of one pod; not thread-safe.
class PodScheduler {
public:
  /// A pod currently is one whole data centre.
  PodScheduler(PodId pod, DataCentreId dataCentre);
  ~PodScheduler();
  PodScheduler(PodScheduler &&) noexcept;
  PodScheduler &operator=(PodScheduler &&) noexcept;

  /// Applies an accepted configuration; running jobs continue.
  void configure(const Configuration &configuration, MonoTime now);
  /// Adds a server or changes its state.
  void setServer(const ServerDescription &server, MonoTime now);
  /// Removes a server. The caller still reports the end of jobs that ran on it.
  void removeServer(const BackendServerId &server, MonoTime now);

  /// Queues a job, or returns why it is refused. Idempotent: a job that is
  /// queued or running already is not queued again.
  std::variant<std::monostate, NotRun> submit(const JobRequest &job,
                                              WallTime wall, MonoTime now);
  /// Runs a scheduling pass if one is due and returns the new decisions. Each
  /// is assumed to be carried out; the caller reports a failed start with
  /// `startFailed`.
  std::vector<Decision> decide(WallTime wall, MonoTime now);

  /// Registers a job that a new owner found running on the servers.
  void adopt(const JobRequest &job, const Placement &where, MonoTime now);
  /// Reports the end of a run. A job that is not running is ignored.
  void jobEnded(const JobId &job, const RunReport &report, MonoTime now);
  /// Reports that a revoked job has stopped; it is queued again.
  void jobRevoked(const JobId &job, MonoTime now);
  /// Reports that no part of the job ran; it is queued again. `blamed` servers
  /// did not answer.
  void startFailed(const JobId &job, const std::vector<BackendServerId> &blamed,
                   MonoTime now);
  /// Removes a queued job. Returns false if the job is not queued.
  bool cancelQueued(const JobId &job);

  bool isQueued(const JobId &job) const;
  bool isRunning(const JobId &job) const;
  PodSummary summary(MonoTime now) const;
  /// Guaranteed shapes without cells; their guarantees are degraded.
  std::vector<AssignedShape> degradedGuarantees() const;
  /// Cells of the account's placed guaranteed shapes.
  std::vector<Placement> footprint(const ClientAccountId &account) const;
  /// Number of queued jobs of each account.
  std::map<ClientAccountId, std::uint32_t> queueLengths() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_SCHEDULER_H
