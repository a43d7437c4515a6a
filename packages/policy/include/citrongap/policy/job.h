// A job as the client submits it, and the placement of its gang.
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

/// Urgent jobs draw on the urgency budget of the account's plan. Background
/// jobs are the first to be refused when the queue is full.
enum class ServiceClass : std::uint8_t { Urgent, Standard, Background };

std::string_view toString(ServiceClass it);
std::optional<ServiceClass> serviceClassFrom(std::string_view text);

/// Upper bound on the accelerators of one gang.
inline constexpr Accelerators MaxGang{128};

/// A job as submitted.
struct JobRequest {
  JobId Id;
  ServiceClass Class = ServiceClass::Standard;
  /// Size of the gang. All of it starts together on adjacent accelerators, or
  /// none of it does.
  Accelerators Gang{1};
  /// A repeatable job may be stopped or checkpointed, and restarted. An
  /// unrepeatable job starts at most once and is never revoked.
  bool Repeatable = true;
  /// The job is not started after this time.
  WallTime Deadline;
  /// The client's run time estimate in milliseconds; often inaccurate. Values
  /// that are not positive mean that none was given.
  std::int64_t DeclaredRunMs = 0;
  /// Groups jobs of one account with similar run times.
  std::string Kind;
  /// Opaque; passed to every task unchanged.
  std::string Payload;
  /// Unique per submission of the key; set by the entry VM's front end.
  std::string SubmissionId;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    std::int64_t deadline = toMillis(Deadline);
    ar(Id, Class, Gang, Repeatable, deadline, DeclaredRunMs, Kind, Payload,
       SubmissionId);
    Deadline = wallFromMillis(deadline);
  }
};

/// The accelerators of one part of a gang on one server.
struct PlacementPart {
  BackendServerId Server;
  /// Accelerator indexes on the server, ascending, each below the server's
  /// accelerator count.
  std::vector<std::uint32_t> Slots;

  bool operator==(const PlacementPart &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Server, Slots); }
};

/// Placement of a whole gang. The slots of all parts add up to its size.
struct Placement {
  std::vector<PlacementPart> Parts;

  bool operator==(const Placement &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Parts); }
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_JOB_H
