// A job as its caller describes it, and where its parts run.
#ifndef CITRONGAP_POLICY_JOB_H
#define CITRONGAP_POLICY_JOB_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/base/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citrongap {

/// Urgent work draws on the urgency budget of the account's plan; background
/// work is the first to be refused in a flood.
enum class ServiceClass : std::uint8_t { Urgent, Standard, Background };

std::string_view toString(ServiceClass it);
std::optional<ServiceClass> serviceClassFrom(std::string_view text);

/// The largest gang that is ever placed.
inline constexpr Accelerators MaxGang{128};

struct JobRequest {
  JobId Id;
  ServiceClass Class = ServiceClass::Standard;
  /// All of it starts together on adjacent accelerators, or nothing does.
  Accelerators Gang{1};
  /// A repeatable job may be stopped or checkpointed and started again. An
  /// unrepeatable one starts at most once and is never revoked.
  bool Repeatable = true;
  /// Nothing starts past it.
  WallTime Deadline;
  /// The caller's guess, in milliseconds; often far off.
  std::int64_t DeclaredRunMs = 0;
  /// Jobs of one account and kind have similar run times.
  std::string Kind;
  /// Handed to every task as it came.
  std::string Payload;
  /// Unique for each time a caller submits the key; set by the front.
  std::string SubmissionId;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    std::int64_t deadline = toMillis(Deadline);
    ar(Id, Class, Gang, Repeatable, deadline, DeclaredRunMs, Kind, Payload,
       SubmissionId);
    Deadline = wallFromMillis(deadline);
  }
};

/// The accelerators that one part of a gang has on one server.
struct PlacementPart {
  BackendServerId Server;
  /// Indexes on the server, rising, each below the server's count.
  std::vector<std::uint32_t> Slots;

  bool operator==(const PlacementPart &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Server, Slots); }
};

/// Where a whole gang runs: the slots of all parts add up to its size.
struct Placement {
  std::vector<PlacementPart> Parts;

  bool operator==(const Placement &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Parts); }
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_JOB_H
