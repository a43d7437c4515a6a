// Bookkeeping of the live accelerators.
#include "citrongap/policy/pod_cells.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

bool fixed(const RunningJob &job) { return !job.job().Repeatable; }

} // namespace

bool SlotUse::atHome() const {
  return Run && Claim && Run->job().Id.Account == Claim->Account;
}

bool SlotUse::secure() const {
  return Run && (fixed(*Run) || atHome() ||
                 Run->Queued.Class == ServiceClass::Urgent ||
                 Run->Preemptions >= MaxPreemptions);
}

bool PodCells::setServer(const ServerDescription &about) {
  ++Version;
  const auto it = ById.find(about.Server);
  const bool added = it == ById.end();
  const ServerIndex server = added ? add(about) : it->second;
  Servers[server.At].About.State = about.State;
  refresh(server);
  return added;
}

ServerIndex PodCells::add(const ServerDescription &about) {
  const RackIndex rack = rackFor(about.Rack);
  const auto &peers = Layout.serversOf(rack);
  const auto position =
      std::lower_bound(peers.begin(), peers.end(), about.Server,
                       [this](ServerIndex at, const BackendServerId &id) {
                         return Servers[at.At].About.Server < id;
                       });
  const auto before = static_cast<std::size_t>(position - peers.begin());
  const ServerIndex server = Layout.addServer(rack, before, about.Total);
  if (server.At >= Servers.size())
    Servers.resize(server.At + 1);
  Servers[server.At] = {about, true, false, {}};
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
  if (!at || Servers[at->At].Quarantined == quarantined)
    return;
  ++Version;
  Servers[at->At].Quarantined = quarantined;
  refresh(*at);
}

void PodCells::removeServer(const BackendServerId &server) {
  const auto at = find(server);
  if (!at)
    return;
  ++Version;
  LiveServer &gone = Servers[at->At];
  for (const SlotUse &use : gone.Uses)
    if (use.Run)
      std::erase_if(use.Run->Cells,
                    [&](const ServerCells &it) { return it.Server == *at; });
  Total -= gone.About.Total;
  gone = {};
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
  const LiveServer &it = Servers[server.At];
  return it.Known && it.About.State == ServerState::Live;
}

bool PodCells::placeable(ServerIndex server) const {
  return live(server) && !Servers[server.At].Quarantined;
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
    PlacementPart part{Servers[it.Server.At].About.Server, {}};
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
    apply(Servers[server.At].Uses[slot]);
  });
  for (const ServerCells &it : cells)
    refresh(it.Server);
}

void PodCells::occupy(RunningJob &job) {
  change(job.Cells, [&](SlotUse &use) { use.Run = &job; });
}

void PodCells::vacate(RunningJob &job) {
  change(job.Cells, [&](SlotUse &use) {
    if (use.Run == &job)
      use.Run = nullptr;
  });
}

void PodCells::claim(FootprintCell &cell, GangCells where) {
  cell.Where = std::move(where);
  change(cell.Where, [&](SlotUse &use) { use.Claim = &cell; });
}

void PodCells::unclaim(FootprintCell &cell) {
  change(cell.Where, [](SlotUse &use) { use.Claim = nullptr; });
  cell.Where.clear();
}

void PodCells::hold(const GangCells &cells, ReservationNumber by) {
  change(cells, [&](SlotUse &use) { use.HeldBy = by; });
}

void PodCells::letGo(const GangCells &cells, ReservationNumber by) {
  change(cells, [&](SlotUse &use) {
    if (use.HeldBy == by)
      use.HeldBy = {};
  });
}

void PodCells::refresh(ServerIndex server) {
  const SlotMask usable = placeable(server) ? Layout.slotsOf(server) : 0;
  SlotMask busy = 0;
  SlotMask unrevocable = 0;
  SlotMask kept = 0;
  SlotMask claimed = 0;
  SlotMask held = 0;
  for (SlotMask rest = usable; rest != 0; rest &= rest - 1) {
    const SlotMask bit = rest & (~rest + 1);
    const SlotUse &use =
        Servers[server.At]
            .Uses[static_cast<std::size_t>(std::countr_zero(bit))];
    if (use.Claim)
      claimed |= bit;
    if (use.HeldBy != ReservationNumber())
      held |= bit;
    if (!use.Run)
      continue;
    busy |= bit;
    if (fixed(*use.Run))
      unrevocable |= bit;
    if (use.secure())
      kept |= bit;
  }
  Claimable.set(server, usable & ~claimed & ~unrevocable);
  Open.set(server, usable & ~busy & ~held);
  Surplus.set(server, usable & ~busy & ~held & ~claimed);
  Movable.set(server, usable & ~kept & ~held);
  MovableSurplus.set(server, usable & ~kept & ~held & ~claimed);
}

} // namespace citrongap
