// Measures the membership protocol on the fake network: cost per node, time to
// detect a death, and deaths declared of members that were only paused.
// Usage: swim_cost [SEEDS]
#include "fake_network.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>

using namespace citrongap;

namespace {

struct Group {
  std::size_t Members;
  std::size_t DataCentres;
};

constexpr Group Groups[] = {{4, 2}, {8, 4}, {32, 4}, {150, 15}};
constexpr Millis Settle{60000};
constexpr Millis Measured{60000};

void printCost(const Group &group, double loss) {
  FakeNetwork net(1);
  net.Loss = loss;
  net.addAll(group.Members, group.DataCentres);
  net.run(Settle);
  std::map<EntryVmId, std::uint64_t> before;
  for (const auto &id : net.ids())
    before[id] = net.bytes(id);
  const auto start = std::chrono::steady_clock::now();
  net.run(Measured);
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
  std::uint64_t sum = 0;
  std::uint64_t most = 0;
  for (const auto &[id, bytes] : before) {
    sum += net.bytes(id) - bytes;
    most = std::max(most, net.bytes(id) - bytes);
  }
  const auto seconds = static_cast<double>(Measured.count()) / 1000;
  const auto members = static_cast<double>(group.Members);
  fmt::print("{:>4} members {:>2} data centres, loss {:>4.0f}%: mean {:>5.0f} "
             "B/s, most {:>5.0f} B/s, processor {:.3f}% of a core\n",
             group.Members, group.DataCentres, loss * 100,
             static_cast<double>(sum) / seconds / members,
             static_cast<double>(most) / seconds,
             spent.count() / seconds / members * 100);
}

/// When all of the victim's data centre, and when all, see it as dead.
std::pair<Millis, Millis> detect(const Group &group, std::uint64_t seed) {
  FakeNetwork net(seed);
  net.addAll(group.Members, group.DataCentres);
  net.run(Millis(5000) + Millis(seed * 37 % 2000));
  const EntryVmId victim = vmId(seed % group.Members);
  const auto centre = net.state(victim).self().DataCentre;
  const auto nearSee = [&] {
    for (const auto &id : net.ids())
      if (id != victim && net.state(id).self().DataCentre == centre &&
          net.view(id, victim)->State != MemberState::Dead)
        return false;
    return true;
  };
  net.kill(victim);
  const MonoTime start = net.now();
  std::optional<Millis> near;
  while (!net.allSee(victim, MemberState::Dead)) {
    net.run(Millis(10));
    if (!near && nearSee())
      near = net.now() - start;
  }
  const Millis all = net.now() - start;
  return {near.value_or(all), all};
}

void printDetection(const Group &group, std::uint64_t seeds) {
  std::vector<Millis> near;
  std::vector<Millis> all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto [nearAt, allAt] = detect(group, seed);
    near.push_back(nearAt);
    all.push_back(allAt);
  }
  std::sort(near.begin(), near.end());
  std::sort(all.begin(), all.end());
  fmt::print("{:>4} members {:>2} data centres: own data centre median {} ms, "
             "most {} ms; all median {} ms, most {} ms (seeds 1-{})\n",
             group.Members, group.DataCentres, near[near.size() / 2].count(),
             near.back().count(), all[all.size() / 2].count(),
             all.back().count(), seeds);
}

void printPauses(const Group &group, Millis pause, double loss,
                 std::uint64_t seeds) {
  constexpr int Pauses = 30;
  std::size_t suspicions = 0;
  std::size_t deaths = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FakeNetwork net(seed);
    Random random(seed);
    net.Loss = loss;
    net.addAll(group.Members, group.DataCentres);
    net.run(Millis(10000));
    net.Observations.clear();
    for (int i = 0; i < Pauses; ++i) {
      const EntryVmId id = vmId(random.between(0, group.Members - 1));
      net.freeze(id);
      net.run(pause);
      net.thaw(id);
      net.run(Millis(1000));
    }
    net.run(Millis(10000));
    for (const auto &it : net.Observations) {
      suspicions += it.About.State == MemberState::Suspect ? 1 : 0;
      deaths += it.About.State == MemberState::Dead ? 1 : 0;
    }
  }
  fmt::print("{:>4} members, {} pauses of {} ms in each of seeds 1-{}, loss "
             "{:.0f}%: {} suspicions, {} deaths seen\n",
             group.Members, Pauses, pause.count(), seeds, loss * 100,
             suspicions, deaths);
}

} // namespace

int main(int argc, char **argv) {
  const std::uint64_t seeds =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10;
  for (const double loss : {0.0, 0.01})
    for (const Group &it : Groups)
      printCost(it, loss);
  for (const Group &it : Groups)
    printDetection(it, seeds);
  for (const Group &it : Groups)
    for (const Millis pause : {Millis(1000), Millis(2000)})
      for (const double loss : {0.0, 0.01})
        printPauses(it, pause, loss, seeds);
  return 0;
}
