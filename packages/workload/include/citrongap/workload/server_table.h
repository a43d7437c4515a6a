// The backend servers of a pod: what they have and what is left of it.
#ifndef CITRONGAP_WORKLOAD_SERVER_TABLE_H
#define CITRONGAP_WORKLOAD_SERVER_TABLE_H

#include "citrongap/workload/work_state.h"

#include <map>
#include <string>
#include <vector>

namespace citrongap {

/// What a backend server says of itself in the platform's list.
struct ServerEntry {
  ServerIncarnation Incarnation;
  /// Physical machine; one life at a time runs on it.
  std::string Machine;
  std::string Service;
  std::string Ip;
  std::uint16_t Port = 0;
  DataCentreId DataCentre;
  RackId Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
  /// While draining: milliseconds it stays at least.
  std::int64_t DrainRemainingMs = 0;

  bool operator==(const ServerEntry &) const = default;
};

struct ServerSlot {
  ServerEntry Entry;
  /// Capacity less what placed runs take; what is being stopped still counts.
  Resources Free;
  /// Part of what placed runs take that is being stopped.
  Resources Stopping;
  /// After a refused start.
  MonoTime NoStartsBefore;
  bool Reachable = true;
  /// Its entry is in the platform's list.
  bool Listed = true;
  /// While draining: it stays at least until then.
  MonoTime LeavesAt;
};

/// Invariant: one slot for each id; `Free` follows every place and release.
class ServerTable {
public:
  /// Adds a server or takes over its new entry; its placed runs stay.
  ServerSlot &put(const ServerEntry &entry, MonoTime now);
  void remove(const BackendServerId &id);
  ServerSlot *find(const BackendServerId &id);
  const ServerSlot *find(const BackendServerId &id) const;
  /// The slot of exactly this life.
  ServerSlot *find(const ServerIncarnation &life);
  const std::map<BackendServerId, ServerSlot> &all() const { return Slots; }
  std::map<BackendServerId, ServerSlot> &all() { return Slots; }

private:
  std::map<BackendServerId, ServerSlot> Slots;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_SERVER_TABLE_H
