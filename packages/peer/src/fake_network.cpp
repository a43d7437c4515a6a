// Steps of ten milliseconds: deliver, tick, collect what is sent.
#include "fake_network.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

constexpr Millis Step{10};
constexpr Millis TickInterval{100};
constexpr std::uint64_t HeaderBytes = 28;
constexpr std::size_t MaxInbox = 256;

} // namespace

EntryVmId vmId(std::size_t n) { return EntryVmId("vm-" + std::to_string(n)); }

Member memberOf(std::size_t n, std::size_t dataCentre) {
  Member out;
  out.Id = vmId(n);
  out.DataCentre = DataCentreId("dc-" + std::to_string(dataCentre));
  out.Address = {"10.20." + std::to_string(100 + n / 200) + "." +
                     std::to_string(50 + n % 200),
                 7400};
  out.Incarnation = 1700000000000;
  return out;
}

FakeNetwork::FakeNetwork(std::uint64_t seed, SwimSettings settings)
    : Settings(settings), Chance(seed) {}

void FakeNetwork::addAll(std::size_t members, std::size_t dataCentres) {
  std::vector<Member> all;
  for (std::size_t n = 0; n < members; ++n)
    all.push_back(memberOf(n, n % dataCentres));
  for (const Member &it : all)
    start(it);
  list(all);
}

void FakeNetwork::start(const Member &self) {
  Node &node = Nodes[self.Id];
  node = Node();
  node.State = std::make_unique<SwimState>(
      self, Random(Chance.between(0, ~std::uint64_t(0))), Settings, Now);
  node.TickPhase = Step * Chance.between(0, TickInterval / Step - 1);
  Addresses[self.Address] = self.Id;
}

void FakeNetwork::restart(const EntryVmId &id) {
  Member self = Nodes.at(id).State->self();
  self.Incarnation += 10000;
  self.State = MemberState::Alive;
  self.InForce = Revision();
  start(self);
}

void FakeNetwork::list(const std::vector<Member> &listed) {
  for (auto &[id, node] : Nodes)
    node.State->setListed(Now, listed);
}

void FakeNetwork::run(Millis span) {
  const MonoTime end = Now + span;
  while (Now < end)
    step();
}

void FakeNetwork::step() {
  Now += Step;
  for (auto &[to, datagram] : std::exchange(InFlight, {})) {
    Node &node = Nodes.at(to);
    if (node.Up && node.Inbox.size() < MaxInbox)
      node.Inbox.push_back(std::move(datagram));
  }
  for (auto &[id, node] : Nodes) {
    if (!node.Up || node.Frozen)
      continue;
    for (const auto &it : std::exchange(node.Inbox, {})) {
      node.Bytes += it.Bytes.size() + HeaderBytes;
      if (const auto message = decodeSwim(it.Bytes))
        node.State->receive(Now, it.From, *message);
    }
    if ((Now.time_since_epoch() + node.TickPhase) % TickInterval == Millis(0))
      node.State->tick(Now);
    collect(id, node);
  }
}

void FakeNetwork::collect(const EntryVmId &id, Node &node) {
  for (const SwimChange &it : node.State->takeChanges())
    Observations.push_back({Now, id, it.About});
  const Member &self = node.State->self();
  for (const SwimDatagram &it : node.State->takeDatagrams()) {
    std::string bytes = encodeSwim(it.Message);
    Largest = std::max(Largest, bytes.size());
    node.Bytes += bytes.size() + HeaderBytes;
    const auto to = Addresses.find(it.To);
    if (to == Addresses.end() || Chance.unit() < Loss)
      continue;
    if (IsCut && IsCut(self, Nodes.at(to->second).State->self()))
      continue;
    InFlight.emplace_back(to->second, Datagram{self.Address, std::move(bytes)});
  }
}

std::optional<Member> FakeNetwork::view(const EntryVmId &by,
                                        const EntryVmId &about) {
  for (const Member &it : state(by).members())
    if (it.Id == about)
      return it;
  return std::nullopt;
}

std::uint64_t FakeNetwork::bytes() const {
  std::uint64_t sum = 0;
  for (const auto &[id, node] : Nodes)
    sum += node.Bytes;
  return sum;
}

bool FakeNetwork::allSee(const EntryVmId &about, MemberState state) {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
    if (!it.second.Up || it.first == about)
      return true;
    const auto seen = view(it.first, about);
    return seen && seen->State == state;
  });
}

std::vector<EntryVmId> FakeNetwork::ids() const {
  std::vector<EntryVmId> out;
  for (const auto &[id, node] : Nodes)
    out.push_back(id);
  return out;
}

} // namespace citrongap
