// The backend servers of a pod with their capacity and free resources.
#ifndef CITRONGAP_WORKLOAD_SERVER_TABLE_H
#define CITRONGAP_WORKLOAD_SERVER_TABLE_H

#include "citrongap/workload/work_state.h"

#include <map>
#include <string>
#include <vector>

namespace citrongap {

/// Entry of a backend server in the platform's list.
struct ServerEntry {
  ServerIncarnation Incarnation;
  /// Physical machine; runs one incarnation at a time.
  std::string Machine;
  std::string Service;
  std::string Ip;
  std::uint16_t Port = 0;
  DataCentreId DataCentre;
  RackId Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
  /// While draining: milliseconds for which it stays at least.
  std::int64_t DrainRemainingMs = 0;

  bool operator==(const ServerEntry &) const = default;
};

struct ServerSlot {
  ServerEntry Entry;
  /// Capacity less `UsedByOthers` and the allocations of placed runs, including
  /// those being stopped.
  Resources Free;
  /// Allocations of runs of jobs that the planner doesn't have.
  Resources UsedByOthers;
  /// Allocations of the placed runs that are being stopped.
  Resources Stopping;
  /// Set when the server refuses a start.
  MonoTime NoStartsBefore;
  bool Reachable = true;
  /// Its entry is in the platform's list.
  bool Listed = true;
  /// While draining: the server stays at least until then.
  MonoTime EarliestDepartureAt;
};

/// Invariant: one slot for each id. `Free` is updated with each placement and
/// release.
class ServerTable {
public:
  /// Adds a server or updates its entry; allocations stay while the incarnation
  /// is the same.
  ServerSlot &put(const ServerEntry &entry, MonoTime now);
  void remove(const BackendServerId &id);
  ServerSlot *find(const BackendServerId &id);
  const ServerSlot *find(const BackendServerId &id) const;
  /// The server's slot if it holds exactly this incarnation; otherwise nullptr.
  ServerSlot *find(const ServerIncarnation &incarnation);
  const std::map<BackendServerId, ServerSlot> &all() const { return Slots; }
  std::map<BackendServerId, ServerSlot> &all() { return Slots; }

private:
  std::map<BackendServerId, ServerSlot> Slots;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_SERVER_TABLE_H
