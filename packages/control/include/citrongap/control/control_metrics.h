// Counters and histograms of an entry VM, in the text format of its metrics
// endpoint.
#ifndef CITRONGAP_CONTROL_CONTROL_METRICS_H
#define CITRONGAP_CONTROL_CONTROL_METRICS_H

#include "citrongap/base/time.h"
#include "citrongap/workload/lost_work.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace citrongap {

/// Histogram of durations with fixed bucket bounds.
class LatencyHistogram {
public:
  void observe(Millis duration);
  /// Cumulative buckets, one per line: `NAME_bucket{LABELS,le="5"} 3`.
  std::string text(const std::string &name, const std::string &labels) const;

private:
  /// Inclusive upper bounds; callers of urgent work notice a delay of 1 s.
  static constexpr std::array<std::int64_t, 9> BoundsMs{
      5, 10, 25, 50, 100, 250, 1000, 3000, 10000};
  std::array<std::uint64_t, BoundsMs.size() + 1> Counts{};
};

/// Speeds of the machines as the owner estimates them, and their use.
struct SpeedMetrics {
  /// Rated machines by speed; empty without ownership.
  std::map<double, std::size_t> Machines;
  std::uint64_t SamplesUsed = 0;
  std::uint64_t SamplesIgnored = 0;
  /// Starts that waited for a server that is fast enough, and that wait.
  std::uint64_t WaitedStarts = 0;
  LatencyHistogram Wait;
  /// Stored records of speeds that could not be read.
  std::uint64_t UnreadableRecords = 0;

  std::string text() const;
};

/// What the pod's owner waits for, as of its latest review; 0 elsewhere.
struct WaitMetrics {
  Millis OldestStopOrder{0};
  Millis OldestUnconfirmedStart{0};
  std::size_t ServersAwaitingLeases = 0;
  std::size_t DueOccurrencesNotPlanned = 0;

  std::string text() const;
};

struct ControlMetrics {
  /// Answers to callers by describe().
  std::map<std::string, std::uint64_t> Answers;
  LatencyHistogram AnswerTime;
  /// Stop orders and run ends that the owner has seen.
  std::map<std::string, std::uint64_t> StopsByReason;
  std::map<std::string, std::uint64_t> EndsByKind;
  /// Work lost under the present or last ownership of this entry VM.
  LostWork Losses;
  /// Runs that ended as done after another run had replaced them.
  std::uint64_t DoneAfterReplacement = 0;
  /// Time from a task becoming eligible to its start order, by rank.
  std::map<std::uint32_t, LatencyHistogram> StartWait;
  std::uint64_t TakeOvers = 0;
  /// Times that reading a topic began to fail.
  std::uint64_t StoreLosses = 0;
  /// Of the pod's owner; 0 elsewhere.
  std::uint32_t QuarantinedServers = 0;
  /// Waiting steps beside servers with room, by describe() of the main reason;
  /// of the pod's owner, empty elsewhere.
  std::map<std::string, std::uint64_t> IdleSteps;
  SpeedMetrics Speeds;
  WaitMetrics Waits;

  std::string text() const;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_CONTROL_METRICS_H
