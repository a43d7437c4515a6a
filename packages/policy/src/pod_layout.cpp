// PodLayout: the servers and racks of a pod in physical order.
#include "citrongap/policy/cells.h"

#include <algorithm>

namespace citrongap {

RackIndex PodLayout::addRack() {
  const RackIndex rack{static_cast<std::uint32_t>(Racks.size())};
  Racks.emplace_back();
  Order.push_back(rack);
  return rack;
}

void PodLayout::setRackOrder(std::vector<RackIndex> order) {
  Order = std::move(order);
}

ServerIndex PodLayout::addServer(RackIndex rack, std::size_t position,
                                 Accelerators total) {
  ServerIndex server{static_cast<std::uint32_t>(Servers.size())};
  if (Unused.empty()) {
    Servers.emplace_back();
  } else {
    server = Unused.back();
    Unused.pop_back();
  }
  Servers[server.Value] = {rack, allSlots(total)};
  auto &servers = Racks[rack.Value];
  servers.insert(servers.begin() + static_cast<std::ptrdiff_t>(position),
                 server);
  std::uint32_t inRack = 0;
  for (const ServerIndex it : servers)
    inRack += slotCount(slotsOf(it));
  LargestServer.Count =
      std::max(LargestServer.Count, slotCount(slotsOf(server)));
  LargestRack.Count = std::max(LargestRack.Count, inRack);
  return server;
}

void PodLayout::removeServer(ServerIndex server) {
  std::erase(Racks[rackOf(server).Value], server);
  Servers[server.Value].Slots = 0;
  Unused.push_back(server);
  updateMaxima();
}

void PodLayout::updateMaxima() {
  LargestServer = {};
  LargestRack = {};
  for (const auto &servers : Racks) {
    std::uint32_t inRack = 0;
    for (const ServerIndex it : servers) {
      const std::uint32_t slots = slotCount(slotsOf(it));
      inRack += slots;
      LargestServer.Count = std::max(LargestServer.Count, slots);
    }
    LargestRack.Count = std::max(LargestRack.Count, inRack);
  }
}

} // namespace citrongap
