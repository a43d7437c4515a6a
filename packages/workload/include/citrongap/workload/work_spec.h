// What a caller hands in: a job of steps, each of equal tasks. Immutable once
// accepted.
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

/// The caller's id of a job: 16 hexadecimal digits.
using WorkId = TextId<struct WorkTag>;
/// A queue that callers submit to.
using QueueId = TextId<struct QueueTag>;

/// Bounds of a job that is accepted; one owner keeps all in memory.
inline constexpr std::uint32_t MaxStepTasks = 10000;
inline constexpr std::size_t MaxSteps = 200;
inline constexpr std::size_t MaxPayloadBytes = 4000;

struct StepSpec {
  std::uint32_t Count = 1;
  /// Of each task.
  Resources Requested;
  /// The caller's estimate of one task's duration; often far off.
  std::int64_t EstimateMs = 0;
  /// Indices of earlier steps that must be done first.
  std::vector<std::uint32_t> DependsOn;
  /// All tasks run together or not at all.
  bool Gang = false;
  /// Tasks run slower when they are spread over several racks.
  bool OneRack = false;
  bool Checkpoints = false;
  /// Copies of a task may run in parallel.
  bool Speculative = false;
  /// Uses only cores that other tasks leave idle.
  bool Scavenges = false;
  /// Label that a backend server must carry; empty for none.
  std::string RequiredLabel;
  /// Rack that holds the data; tasks run slower elsewhere. Empty for none.
  RackId DataRack;
  /// Tasks of this step on one backend server, at the most; 0 for any number.
  std::uint32_t MaxPerServer = 0;
  /// Of a long-running step: tasks that may be away by our own doing.
  std::uint32_t MaxUnavailable = 0;

  /// What one task takes of a backend server.
  Resources taken() const {
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
  /// Passed to the backend server as it is.
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// Tasks are restarted however they end, until the job is cancelled.
  bool LongRunning = false;
  /// 0: the steps run once, at once.
  std::uint32_t Repetitions = 0;
  /// Wall-clock milliseconds at which occurrence 0 is due.
  std::int64_t FirstDueMs = 0;
  std::int64_t IntervalMs = 0;
  /// Wall-clock milliseconds at the entry VM that accepted it.
  std::int64_t AcceptedAtMs = 0;
  /// Rules of the queue when the job was accepted; 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  std::string Service;
  /// Stored behind the other fields, so that records of earlier versions are
  /// read as well.
  LatencyObjective Objective;

  std::uint32_t occurrences() const { return Repetitions ? Repetitions : 1; }
  /// Wall-clock milliseconds before which occurrence `k` must not start.
  std::int64_t dueAtMs(std::uint32_t k) const {
    return Repetitions ? FirstDueMs + IntervalMs * k : 0;
  }

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Id, Queue, Account, Payload, Steps, LongRunning, Repetitions, FirstDueMs,
       IntervalMs, AcceptedAtMs, Priority, MaxAttempts, Service);
  }
};

/// For each step, the longest chain of run times from its start to the job's
/// end. `runs` holds the run time of a task of each step.
std::vector<Millis> chainsToEnd(const std::vector<StepSpec> &steps,
                                const std::vector<Millis> &runs);

/// Everything wrong with a job: sizes, step numbers, bounds.
Findings checkWork(const WorkSpec &spec);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_WORK_SPEC_H
