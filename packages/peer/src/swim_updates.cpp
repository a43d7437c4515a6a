// Chooses the updates of each datagram.
#include "citrongap/peer/swim_updates.h"

#include "citrongap/peer/swim_message.h"

#include <algorithm>
#include <bit>

namespace citrongap {

namespace {

/// As analysed for SWIM: a small multiple of the logarithm reaches all members
/// with high probability.
constexpr unsigned TransmitFactor = 3;

} // namespace

void SwimUpdates::add(const Member &update) {
  Pending[update.Id] = Update{update, 0};
}

void SwimUpdates::drop(const Member &known) {
  const auto it = Pending.find(known.Id);
  if (it != Pending.end() && it->second.About.State == known.State &&
      it->second.About.Incarnation == known.Incarnation)
    Pending.erase(it);
}

void SwimUpdates::take(std::size_t room, std::size_t members,
                       std::vector<Member> &out) {
  if (Pending.empty())
    return;
  std::vector<Update *> order;
  for (auto &[id, update] : Pending)
    order.push_back(&update);
  std::stable_sort(
      order.begin(), order.end(),
      [](const Update *a, const Update *b) { return a->Sent < b->Sent; });
  for (Update *it : order) {
    const std::size_t bytes = updateBytes(it->About);
    if (bytes > room)
      break;
    room -= bytes;
    out.push_back(it->About);
    ++it->Sent;
  }
  const auto limit =
      TransmitFactor * static_cast<unsigned>(std::bit_width(members));
  std::erase_if(Pending,
                [limit](const auto &it) { return it.second.Sent >= limit; });
}

} // namespace citrongap
