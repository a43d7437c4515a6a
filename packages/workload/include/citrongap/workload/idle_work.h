// Work that waits although servers have room for it: which servers these are,
// and why the planner passes over them.
#ifndef CITRONGAP_WORKLOAD_IDLE_WORK_H
#define CITRONGAP_WORKLOAD_IDLE_WORK_H

#include "citrongap/workload/work_state.h"

#include <array>
#include <cstdint>
#include <optional>

namespace citrongap {

/// Why a server that has room for a task does not get it, in the order in which
/// the reasons are looked for.
enum class PassedOver : std::uint8_t {
  /// Silent, not listed, draining, evacuated, or it has refused a start.
  Unavailable,
  Quarantined,
  /// Its room is kept for a gang, or for urgent work that awaits a stop.
  Kept,
  /// Reserved for urgent work.
  Reserved,
  /// A run has failed there, and the task is on its last attempt.
  Failed,
  /// Not in the data rack, for which the task waits.
  FarFromData,
  TooSlow,
  /// None of these: a gang finds too few servers, or too few in one rack.
  TooFew
};
inline constexpr std::size_t PassedOverReasons = 8;

const char *describe(PassedOver reason);

/// A waiting step of a job of which nothing is placed.
struct IdleStep {
  /// First waiting task.
  TaskName Task;
  Millis Waited{0};
  /// Servers that have room for one task, by reason.
  std::array<std::uint32_t, PassedOverReasons> Servers{};

  /// The reason that holds for most of them; empty if no server has room.
  std::optional<PassedOver> mainReason() const;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_IDLE_WORK_H
