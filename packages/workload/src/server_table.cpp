// Bookkeeping of the free resources of backend servers.
#include "citrongap/workload/server_table.h"

#include <algorithm>

namespace citrongap {

ServerSlot &ServerTable::put(const ServerEntry &entry, MonoTime now) {
  const auto [it, added] = Slots.try_emplace(entry.Incarnation.Id);
  ServerSlot &slot = it->second;
  if (added || slot.Entry.Incarnation != entry.Incarnation) {
    slot = ServerSlot{};
    slot.Free = entry.Capacity;
  } else {
    slot.Free += entry.Capacity;
    slot.Free -= slot.Entry.Capacity;
  }
  if (entry.Draining) {
    // Too late by the age of the report, so the least value is the nearest.
    const MonoTime departureAt = now + Millis(entry.DrainRemainingMs);
    slot.EarliestDepartureAt =
        slot.Entry.Draining ? std::min(slot.EarliestDepartureAt, departureAt)
                            : departureAt;
  }
  slot.Entry = entry;
  return slot;
}

void ServerTable::remove(const BackendServerId &id) { Slots.erase(id); }

ServerSlot *ServerTable::find(const BackendServerId &id) {
  const auto it = Slots.find(id);
  return it == Slots.end() ? nullptr : &it->second;
}

const ServerSlot *ServerTable::find(const BackendServerId &id) const {
  const auto it = Slots.find(id);
  return it == Slots.end() ? nullptr : &it->second;
}

ServerSlot *ServerTable::find(const ServerIncarnation &incarnation) {
  ServerSlot *slot = find(incarnation.Id);
  return slot && slot->Entry.Incarnation == incarnation ? slot : nullptr;
}

} // namespace citrongap
