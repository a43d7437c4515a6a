// Specification of a job as submitted by a caller: steps of equal tasks.
// Immutable once accepted.
#ifndef CITRONGAP_WORKLOAD_WORK_SPEC_H
#define CITRONGAP_WORKLOAD_WORK_SPEC_H

#include "citrongap/base/findings.h"
#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/workload/latency_objective.h"
#include "citrongap/workload/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citrongap {

/// Id of a job, chosen by the caller: 16 hexadecimal digits.
using WorkId = TextId<struct WorkTag>;
/// Id of a queue to which callers submit.
using QueueId = TextId<struct QueueTag>;

/// Size limits of an accepted job. The owner of a pod holds all jobs in memory.
inline constexpr std::uint32_t MaxStepTasks = 10000;
inline constexpr std::size_t MaxSteps = 200;
inline constexpr std::size_t MaxPayloadBytes = 4000;

struct StepSpec {
  std::uint32_t Count = 1;
  /// Resources requested by each task.
  Resources Requested;
  /// The caller's estimate of the run time of one task; often several times too
  /// low or too high.
  std::int64_t EstimateMs = 0;
  /// Indices of the earlier steps that must be done before this step starts.
  std::vector<std::uint32_t> DependsOn;
  /// All tasks run at the same time or not at all.
  bool Gang = false;
  /// Tasks run slower when they are spread over several racks.
  bool OneRack = false;
  bool Checkpoints = false;
  /// Speculative copies of a task may run in parallel.
  bool Speculative = false;
  /// Uses only CPU cores that other tasks leave idle.
  bool Scavenges = false;
  /// Label that a backend server must have; empty for none.
  std::string RequiredLabel;
  /// Rack that holds the input data; tasks run slower elsewhere. Empty for
  /// none.
  RackId DataRack;
  /// Anti-affinity: maximum number of tasks of this step on one backend server;
  /// 0 for no limit.
  std::uint32_t MaxPerServer = 0;
  /// Long-running jobs: maximum number of tasks of this step that may be down
  /// at a time through the scheduler's own actions, not counting failures.
  std::uint32_t MaxUnavailable = 0;

  /// Resources that one task occupies on a backend server.
  Resources allocation() const {
    Resources out = Requested;
    if (Scavenges)
      out.CpuMillis = 0;
    return out;
  }

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Count, Requested, EstimateMs, DependsOn, Gang, OneRack, Checkpoints,
       Speculative, Scavenges, RequiredLabel, DataRack, MaxPerServer,
       MaxUnavailable);
  }
};

struct WorkSpec {
  WorkId Id;
  QueueId Queue;
  ClientAccountId Account;
  /// Passed to the backend server unchanged.
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// Tasks are restarted however they end, until the job is cancelled.
  bool LongRunning = false;
  /// 0: the steps run once and may start as soon as the job is accepted.
  std::uint32_t Repetitions = 0;
  /// Wall-clock time in milliseconds at which occurrence 0 is due.
  std::int64_t FirstDueMs = 0;
  std::int64_t IntervalMs = 0;
  /// Wall-clock time in milliseconds at the accepting entry VM.
  std::int64_t AcceptedAtMs = 0;
  /// From here on, settings of the queue at the time of acceptance. Priority 0
  /// is the most urgent.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  std::string Service;
  /// Not part of serialize(): it is written after all other fields, so that
  /// records written before it existed can still be read.
  LatencyObjective Objective;

  std::uint32_t occurrences() const { return Repetitions ? Repetitions : 1; }
  /// Wall-clock time in milliseconds before which occurrence `k` must not
  /// start.
  std::int64_t dueAtMs(std::uint32_t k) const {
    return Repetitions ? FirstDueMs + IntervalMs * k : 0;
  }

  /// Number of occurrences that are due at this wall-clock time.
  std::uint32_t dueBy(std::int64_t wallMs) const;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Id, Queue, Account, Payload, Steps, LongRunning, Repetitions, FirstDueMs,
       IntervalMs, AcceptedAtMs, Priority, MaxAttempts, Service);
  }
};

/// For each step, the run time of the critical path from its start to the end
/// of the job. `runs` holds the run time of a task of each step.
std::vector<Millis> remainingCriticalPaths(const std::vector<StepSpec> &steps,
                                           const std::vector<Millis> &runs);

/// Returns all violations of size limits, of the bounds of state_room.h, of
/// step indices and of value ranges.
Findings checkWork(const WorkSpec &spec);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_WORK_SPEC_H
