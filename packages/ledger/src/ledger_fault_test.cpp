// Several nodes on one log under seeded random faults: lost answers, appends
// that land late or never, outages. FAULT_SEEDS sets how many seeds run.
#include "citrongap/ledger/claim_writer.h"
#include "citrongap/ledger/configuration_follower.h"

#include "mock_log.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>

using namespace citrongap;
using citrongap::testing::MockLog;
using citrongap::testing::runUntil;

namespace {

constexpr std::size_t Nodes = 3;
constexpr int FaultMs = 400;

std::uint64_t seeds() {
  const char *text = std::getenv("FAULT_SEEDS");
  return text ? std::strtoull(text, nullptr, 10) : 8;
}

LogReaderSettings quickReading() {
  return {Millis(20), Millis(20), Millis(2), Millis(2), Millis(10)};
}

/// Changes the log's faults every few milliseconds until heal().
class FaultPlan {
public:
  FaultPlan(EventLoop &loop, MockLog &log, std::uint64_t seed)
      : Log(log), Numbers(seed),
        Change(loop.every(Millis(3), [this] { next(); })) {}

  void heal() {
    Change.cancel();
    Log.Outage = Log.Hidden = false;
    Log.HoldAppends = Log.LoseAnswers = 0;
    Log.land();
  }

private:
  void next() {
    if (++Ticks % 16 == 0) {
      Log.Outage = Numbers.between(0, 4) == 0;
      Log.Hidden = Numbers.between(0, 4) == 0;
    }
    Log.HoldAppends = Numbers.between(0, 3) == 0 ? 1 : 0;
    Log.LoseAnswers = Numbers.between(0, 3) == 0 ? 1 : 0;
    if (Numbers.between(0, 5) == 0)
      Log.land(1);
    if (Numbers.between(0, 9) == 0)
      Log.loseHeld();
  }

  MockLog &Log;
  Random Numbers;
  int Ticks = 0;
  Timer Change;
};

struct ClaimRun {
  EventLoop Loop;
  MockLog Log{Loop};
  std::vector<std::unique_ptr<ClaimWriter>> Writers;
  /// By node and key.
  std::map<std::pair<std::size_t, std::string>, std::vector<ClaimResult>>
      Answers;

  static PodId podOf(std::size_t node) { return PodId(std::to_string(node)); }
  static PodHolding holderOf(std::size_t node) {
    return {EntryVmId(std::to_string(node)), PodTerm(node)};
  }

  explicit ClaimRun(std::uint64_t seed) {
    ClaimWriterSettings settings;
    settings.Reading = quickReading();
    settings.Appending.AppendTime = Millis(20);
    settings.Appending.RetryAfter = Millis(8);
    settings.OutageWait = Millis(15);
    settings.VoidTime = Millis(40);
    for (std::size_t i = 0; i < Nodes; ++i) {
      Log.store(
          {encodeJobRecord({"t", {}, PodTakeOver{podOf(i), holderOf(i)}})});
      Writers.push_back(std::make_unique<ClaimWriter>(
          Loop, Log, holderOf(i).Holder, Random(seed * Nodes + i), settings));
      Writers.back()->start();
    }
  }

  void claim(std::size_t node, const std::string &key) {
    const WallTime end = wallNow() + Millis(60'000);
    auto &answers = Answers[{node, key}];
    Writers[node]->claim({{ClientAccountId("guild"), RequestKey(key)},
                          podOf(node),
                          holderOf(node),
                          end,
                          end},
                         monoNow() + Millis(30),
                         [&](const ClaimResult &it) { answers.push_back(it); });
  }

  bool readToEnd() {
    return runUntil(Loop, [&] {
      for (const auto &it : Writers)
        if (it->ledger().next() < Log.End)
          return false;
      return true;
    });
  }

  /// Who holds the key after everything has landed.
  std::string finalHolder(const std::string &key) const {
    const auto *entry =
        Writers[0]->ledger().find({ClientAccountId("guild"), RequestKey(key)});
    return entry && entry->Claim ? entry->Claim->Pod.str() : "";
  }
};

ConfigurationChange change(const std::string &id, Revision base,
                           std::uint32_t weight) {
  PlanEntry entry;
  entry.Plan = PlanId(id);
  entry.Weight = weight;
  return {id, base, id, {{ConfigurationList::Plans, id, entry}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(claims_under_random_faults_are_answered_truthfully) {
  std::array<int, 4> kinds{};
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    ClaimRun run(seed);
    FaultPlan faults(run.Loop, run.Log, seed);
    int n = 0;
    Timer asks = run.Loop.every(Millis(4), [&] {
      const std::string key = std::to_string(n / 2);
      run.claim(static_cast<std::size_t>(n++) % Nodes, key);
    });
    run.Loop.runUntil(monoNow() + Millis(FaultMs));
    asks.cancel();
    run.Loop.runUntil(monoNow() + Millis(80));
    faults.heal();
    run.Loop.runUntil(monoNow() + Millis(100));
    BOOST_TEST(run.readToEnd());
    for (const auto &[ask, answers] : run.Answers) {
      BOOST_TEST_CONTEXT("seed " << seed << " node " << ask.first << " key "
                                 << ask.second) {
        BOOST_REQUIRE(answers.size() == 1U);
        ++kinds.at(answers[0].index());
        const bool holds =
            run.finalHolder(ask.second) == ClaimRun::podOf(ask.first).str();
        if (std::holds_alternative<ClaimWon>(answers[0]))
          BOOST_TEST(holds);
        if (std::holds_alternative<ClaimNotMade>(answers[0]))
          BOOST_TEST(!holds);
      }
    }
  }
  BOOST_TEST_MESSAGE("won " << kinds[0] << ", lost " << kinds[1]
                            << ", not made " << kinds[2] << ", uncertain "
                            << kinds[3]);
  BOOST_TEST(kinds[0] > 0);
  BOOST_TEST(kinds[2] > 0);
  BOOST_TEST(kinds[3] > 0);
}

BOOST_AUTO_TEST_CASE(configuration_under_random_faults_rises_and_converges) {
  int accepted = 0;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    EventLoop loop;
    MockLog log(loop);
    ConfigurationFollowerSettings settings;
    settings.Reading = quickReading();
    settings.AppendTime = Millis(20);
    std::vector<std::unique_ptr<ConfigurationFollower>> nodes;
    std::vector<Revision> seen(Nodes);
    std::vector<std::string> won;
    for (std::size_t i = 0; i < Nodes; ++i) {
      nodes.push_back(std::make_unique<ConfigurationFollower>(
          loop, log, Random(seed * Nodes + i), settings));
      nodes.back()->InForce.connect([&, i](const Configuration &, Revision at) {
        BOOST_TEST((at > seen[i]));
        seen[i] = at;
      });
      nodes.back()->start();
    }
    FaultPlan faults(loop, log, seed);
    std::uint32_t n = 0;
    const Timer publishing = loop.every(Millis(9), [&] {
      auto &node = *nodes[n++ % Nodes];
      const std::string id = std::to_string(n);
      node.publish(change(id, node.revision(), n), monoNow() + Millis(60),
                   [&, id](const PublishResult &it) {
                     if (std::holds_alternative<ConfigurationAccepted>(it))
                       won.push_back(id);
                   });
      nodes[n % Nodes]->importState(node.exportState());
    });
    loop.runUntil(monoNow() + Millis(FaultMs));
    faults.heal();
    loop.runUntil(monoNow() + Millis(150));
    for (const auto &it : nodes) {
      BOOST_TEST((it->configuration() == nodes[0]->configuration()));
      BOOST_TEST((it->revision() == nodes[0]->revision()));
    }
    for (const auto &it : won)
      BOOST_TEST(nodes[0]->configuration().Plans.contains(PlanId(it)));
    accepted += static_cast<int>(won.size());
  }
  BOOST_TEST_MESSAGE("accepted " << accepted);
  BOOST_TEST(accepted > 0);
}
