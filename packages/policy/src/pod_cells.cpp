// PodCells: slot state of a pod and the pools derived from it.
#include "citrongap/policy/pod_cells.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

bool isUnrepeatable(const RunningJob &job) { return !job.job().Repeatable; }

} // namespace

bool SlotState::inOwnFootprint() const {
  return Run && ClaimedBy && Run->job().Id.Account == ClaimedBy->Account;
}

bool SlotState::isProtected() const {
  return Run && (isUnrepeatable(*Run) || inOwnFootprint() ||
                 Run->Queued.Class == ServiceClass::Urgent ||
                 Run->Preemptions >= MaxPreemptions);
}

bool PodCells::setServer(const ServerDescription &about) {
  ++Version;
  const auto it = ById.find(about.Server);
  const bool added = it == ById.end();
  const ServerIndex server = added ? add(about) : it->second;
  Servers[server.Value].About.State = about.State;
  refresh(server);
  return added;
}

ServerIndex PodCells::add(const ServerDescription &about) {
  const RackIndex rack = rackFor(about.Rack);
  const auto &peers = Layout.serversOf(rack);
  const auto position =
      std::lower_bound(peers.begin(), peers.end(), about.Server,
                       [this](ServerIndex at, const BackendServerId &id) {
                         return Servers[at.Value].About.Server < id;
                       });
  const auto before = static_cast<std::size_t>(position - peers.begin());
  const ServerIndex server = Layout.addServer(rack, before, about.Total);
  if (server.Value >= Servers.size())
    Servers.resize(server.Value + 1);
  Servers[server.Value] = {about, true, false, {}};
  ById[about.Server] = server;
  Total += about.Total;
  return server;
}

RackIndex PodCells::rackFor(const RackId &rack) {
  const auto it = Racks.find(rack);
  if (it != Racks.end())
    return it->second;
  const RackIndex added = Layout.addRack();
  Racks.emplace(rack, added);
  std::vector<RackIndex> order;
  order.reserve(Racks.size());
  for (const auto &[id, index] : Racks)
    order.push_back(index);
  Layout.setRackOrder(std::move(order));
  return added;
}

void PodCells::setQuarantined(const BackendServerId &server, bool quarantined) {
  const auto at = find(server);
  if (!at || Servers[at->Value].Quarantined == quarantined)
    return;
  ++Version;
  Servers[at->Value].Quarantined = quarantined;
  refresh(*at);
}

void PodCells::removeServer(const BackendServerId &server) {
  const auto at = find(server);
  if (!at)
    return;
  ++Version;
  LiveServer &removed = Servers[at->Value];
  for (const SlotState &slot : removed.Slots)
    if (slot.Run)
      std::erase_if(slot.Run->Cells,
                    [&](const ServerCells &it) { return it.Server == *at; });
  Total -= removed.About.Total;
  removed = {};
  ById.erase(server);
  refresh(*at);
  Layout.removeServer(*at);
}

std::optional<ServerIndex> PodCells::find(const BackendServerId &server) const {
  const auto it = ById.find(server);
  if (it == ById.end())
    return std::nullopt;
  return it->second;
}

bool PodCells::live(ServerIndex server) const {
  const LiveServer &it = Servers[server.Value];
  return it.Known && it.About.State == ServerState::Live;
}

bool PodCells::placeable(ServerIndex server) const {
  return live(server) && !Servers[server.Value].Quarantined;
}

GangCells PodCells::locate(const Placement &where) const {
  GangCells cells;
  for (const PlacementPart &part : where.Parts) {
    const auto server = find(part.Server);
    if (!server)
      continue;
    SlotMask slots = 0;
    for (const std::uint32_t slot : part.Slots)
      if (slot < MaxSlots)
        slots |= SlotMask{1} << slot;
    slots &= Layout.slotsOf(*server);
    if (slots != 0)
      cells.push_back({*server, slots});
  }
  return cells;
}

Placement PodCells::describe(const GangCells &cells) const {
  Placement where;
  for (const ServerCells &it : cells) {
    PlacementPart part{Servers[it.Server.Value].About.Server, {}};
    forEachSlot({it}, [&](ServerIndex, std::uint32_t slot) {
      part.Slots.push_back(slot);
    });
    where.Parts.push_back(std::move(part));
  }
  return where;
}

template <typename Change>
void PodCells::change(const GangCells &cells, Change &&apply) {
  forEachSlot(cells, [&](ServerIndex server, std::uint32_t slot) {
    apply(Servers[server.Value].Slots[slot]);
  });
  for (const ServerCells &it : cells)
    refresh(it.Server);
}

void PodCells::occupy(RunningJob &job) {
  change(job.Cells, [&](SlotState &slot) { slot.Run = &job; });
}

void PodCells::vacate(RunningJob &job) {
  change(job.Cells, [&](SlotState &slot) {
    if (slot.Run == &job)
      slot.Run = nullptr;
  });
}

void PodCells::claim(FootprintCell &cell, GangCells where) {
  cell.Where = std::move(where);
  change(cell.Where, [&](SlotState &slot) { slot.ClaimedBy = &cell; });
}

void PodCells::unclaim(FootprintCell &cell) {
  change(cell.Where, [](SlotState &slot) { slot.ClaimedBy = nullptr; });
  cell.Where.clear();
}

void PodCells::reserve(const GangCells &cells, ReservationNumber by) {
  change(cells, [&](SlotState &slot) { slot.ReservedBy = by; });
}

void PodCells::release(const GangCells &cells, ReservationNumber by) {
  change(cells, [&](SlotState &slot) {
    if (slot.ReservedBy == by)
      slot.ReservedBy = {};
  });
}

void PodCells::refresh(ServerIndex server) {
  const SlotMask usable = placeable(server) ? Layout.slotsOf(server) : 0;
  SlotMask busy = 0;
  SlotMask unrepeatable = 0;
  SlotMask protectedSlots = 0;
  SlotMask claimed = 0;
  SlotMask reserved = 0;
  for (SlotMask rest = usable; rest != 0; rest &= rest - 1) {
    const SlotMask bit = rest & (~rest + 1);
    const SlotState &slot =
        Servers[server.Value]
            .Slots[static_cast<std::size_t>(std::countr_zero(bit))];
    if (slot.ClaimedBy)
      claimed |= bit;
    if (slot.ReservedBy != ReservationNumber())
      reserved |= bit;
    if (!slot.Run)
      continue;
    busy |= bit;
    if (isUnrepeatable(*slot.Run))
      unrepeatable |= bit;
    if (slot.isProtected())
      protectedSlots |= bit;
  }
  Claimable.setAvailable(server, usable & ~claimed & ~unrepeatable);
  Free.setAvailable(server, usable & ~busy & ~reserved);
  Surplus.setAvailable(server, usable & ~busy & ~reserved & ~claimed);
  Preemptible.setAvailable(server, usable & ~protectedSlots & ~reserved);
  PreemptibleSurplus.setAvailable(server, usable & ~protectedSlots & ~reserved &
                                              ~claimed);
}

} // namespace citrongap
