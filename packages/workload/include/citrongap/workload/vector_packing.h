// Vector bin packing of the tasks of one step over CPU, memory and
// accelerators. Best fit by the sum of the remaining shares of all three, since
// any of them may be the scarce one for later work. A gang is kept in one rack
// on request.
#ifndef CITRONGAP_WORKLOAD_VECTOR_PACKING_H
#define CITRONGAP_WORKLOAD_VECTOR_PACKING_H

#include "citrongap/workload/server_table.h"
#include "citrongap/workload/speed_choice.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace citrongap {

/// Level for which a server is reserved, and level of a request. A request may
/// use the servers reserved for its own level and for lower ones.
enum class AccessLevel : std::uint8_t {
  Any,
  /// Work that has waited for long.
  LongWaiting,
  Urgent
};

/// Snapshot of a server for one round; `Free` shrinks as tasks are placed.
struct PackingServer {
  BackendServerId Id;
  RackId Rack;
  const std::vector<std::string> *Labels = nullptr;
  const std::string *Service = nullptr;
  Resources Capacity;
  Resources Free;
  /// Tasks of the current step that are placed here already.
  std::uint32_t TasksOfStep = 0;
  /// In quarantine: takes one task as a probe, which is not part of a gang.
  bool ProbeOnly = false;
  /// The probe is overdue: it may be any one request, as a last resort.
  bool ProbeOverdue = false;
  /// The probe is not due: it may only be work that lasts and can run on
  /// servers in quarantine only.
  bool ProbeEarly = false;
  /// The last run to end here failed, and recently; used as a last resort.
  bool FailedRecently = false;
  /// A run completed or made progress here recently, and none failed since.
  bool SucceededRecently = false;
  AccessLevel ReservedFor = AccessLevel::Any;
  /// Kept for waiting gangs; already deducted from `Free`, which is negative
  /// where a gang waits for the end of runs.
  Resources Kept{};
  /// Relative to the median machine. Empty if it is unknown, or while speeds
  /// are not used.
  std::optional<double> Speed = std::nullopt;
};

/// Constraints of a placement.
struct PackingRequest {
  std::string Service;
  Resources PerTask;
  std::uint32_t Count = 1;
  std::string RequiredLabel;
  /// Anti-affinity: most tasks of the step on one server; 0 for no limit.
  std::uint32_t MaxPerServer = 0;
  /// Rack in which all tasks are placed; empty for any.
  RackId Rack;
  /// All tasks are placed in the same rack.
  bool OneRack = false;
  AccessLevel Access = AccessLevel::Urgent;
  /// Excludes servers whose last run failed recently, and quarantined ones
  /// unless their probe is overdue.
  bool ExcludeRecentFailures = false;
  /// Accepts only servers with a recent success or progress.
  bool RequireRecentSuccess = false;
  /// Accepts servers whose probe is not due.
  bool ProbesEarly = false;
  SpeedRange Speeds;
  /// Servers on which a task ran last; used as a last resort.
  std::set<BackendServerId> AvoidServers;
};

/// Returns the index of the server of each task; std::nullopt when they do not
/// all fit. `servers` is unchanged on return.
std::optional<std::vector<std::size_t>>
packTasks(std::vector<PackingServer> &servers, const PackingRequest &request);

/// Like packTasks(), but places as many of the tasks as fit, on at most one
/// server in quarantine.
std::vector<std::size_t> packAsMany(std::vector<PackingServer> &servers,
                                    const PackingRequest &request);

/// Outcomes of earlier requests on the same servers that decide later ones: a
/// request that asks for no less than one that did not fit, under no weaker
/// constraints, does not fit either. Requests with a limit per server are left
/// out, as their outcome depends on the step.
class PackingOutcomes {
public:
  void add(const PackingRequest &request, bool fits);
  /// The outcome if an earlier one decides it.
  std::optional<bool> find(const PackingRequest &request) const;
  /// Forgets requests that fitted: the servers have less room or take fewer
  /// requests now.
  void forgetFits() { Fits.clear(); }

private:
  std::vector<PackingRequest> Failures;
  std::vector<PackingRequest> Fits;
};

/// Whether the request would fit if all servers were empty.
bool fitsWhenEmpty(const std::vector<PackingServer> &servers,
                   const PackingRequest &request);

/// Subtracts the resources of a placement from `servers`.
void allocate(std::vector<PackingServer> &servers,
              const std::vector<std::size_t> &at, const Resources &each);

/// The same for a gang that waits, which adds them to `Kept`.
void keep(std::vector<PackingServer> &servers,
          const std::vector<std::size_t> &at, const Resources &each);

/// Whether the request's constraints admit this server; ignores free resources.
bool isEligible(const PackingServer &server, const PackingRequest &request);

/// An empty label is one that each server has.
bool hasLabel(const PackingServer &server, const std::string &label);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_VECTOR_PACKING_H
