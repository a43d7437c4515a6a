// Acceptance as a pure function of the prefix, snapshots and retention.
#include "citrongap/ledger/configuration_log.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace citrongap;

namespace {

EntryChange account(const std::string &name, const std::string &plan) {
  return {ConfigurationList::Accounts, name,
          AccountEntry{ClientAccountId(name), PlanId(plan)}};
}

EntryChange plan(const std::string &name, std::uint32_t weight) {
  PlanEntry entry;
  entry.Plan = PlanId(name);
  entry.Weight = weight;
  return {ConfigurationList::Plans, name, entry};
}

std::string change(const std::string &id, std::uint64_t base,
                   std::vector<EntryChange> changes) {
  return encodeChange({id, Revision(base), "amna", std::move(changes)});
}

ConfigurationLog logOf(const std::vector<std::string> &bodies,
                       std::size_t from = 0) {
  ConfigurationLog log;
  log.retainFrom(LogOffset(from));
  for (std::size_t i = from; i < bodies.size(); ++i)
    log.apply({LogOffset(i), bodies[i]});
  return log;
}

/// Random records: stale and future bases, repeats, dangling plans, noise.
std::vector<std::string> randomStream() {
  const auto n = *rc::gen::inRange(1, 60);
  std::vector<std::string> bodies;
  ConfigurationLog log;
  for (int i = 0; i < n; ++i) {
    const auto kind = *rc::gen::inRange(0, 10);
    const auto name = std::to_string(*rc::gen::inRange(0, 4));
    const auto lag = static_cast<std::uint64_t>(*rc::gen::inRange(0, 2));
    std::vector<EntryChange> changes{
        plan(name, static_cast<std::uint32_t>(i + 1))};
    if (kind >= 6)
      changes = {account("a" + name, *rc::gen::element<std::string>("0", "9"))};
    std::string body =
        change("c" + std::to_string(i),
               log.revision().value() - std::min(lag, log.revision().value()),
               std::move(changes));
    if (kind == 0)
      body = *rc::gen::element<std::string>("{}", "[", R"({"kind":"later"})",
                                            R"({"kind":"change","id":7})");
    if (kind == 1 && !bodies.empty())
      body = bodies[*rc::gen::inRange<std::size_t>(0, bodies.size())];
    bodies.push_back(std::move(body));
    if (kind == 2)
      for (auto &it :
           encodeParts(log.snapshot(), "snapshot" + std::to_string(i)))
        bodies.push_back(std::move(it));
    for (std::size_t at = log.next().value(); at < bodies.size(); ++at)
      log.apply({LogOffset(at), bodies[at]});
  }
  return bodies;
}

} // namespace

BOOST_AUTO_TEST_CASE(racing_operators_get_one_winner_and_one_refusal) {
  const auto log = logOf({change("one", 0, {plan("large", 2)}),
                          change("two", 0, {plan("large", 3)})});
  BOOST_TEST(log.revision().value() == 1U);
  BOOST_TEST(log.configuration().Plans.at(PlanId("large")).Weight == 2U);
  const auto verdict = log.verdictOf("two");
  BOOST_REQUIRE(verdict.has_value());
  const auto &refused = std::get<ConfigurationRefused>(*verdict);
  BOOST_TEST(refused.Found.text() ==
             "base revision: is 0, but revision 1 is in force\n");
}

BOOST_AUTO_TEST_CASE(refused_change_leaves_nothing_behind) {
  const auto log = logOf(
      {change("one", 0, {plan("large", 2), account("batching", "large")}),
       change("two", 1, {plan("large", 9), account("guild", "missing")})});
  BOOST_TEST(log.revision().value() == 1U);
  BOOST_TEST(log.configuration().Plans.at(PlanId("large")).Weight == 2U);
  BOOST_TEST(!log.configuration().Accounts.contains(ClientAccountId("guild")));
}

BOOST_AUTO_TEST_CASE(copy_of_an_accepted_change_changes_nothing) {
  const std::string body = change("one", 0, {plan("large", 2)});
  const auto log = logOf({body, change("two", 1, {plan("large", 3)}), body});
  BOOST_TEST(log.revision().value() == 2U);
  BOOST_TEST(log.configuration().Plans.at(PlanId("large")).Weight == 3U);
  BOOST_TEST(
      std::holds_alternative<ConfigurationAccepted>(*log.verdictOf("one")));
}

BOOST_AUTO_TEST_CASE(broken_records_are_counted_and_ignored) {
  const auto log = logOf({"no json", R"({"kind":"later"})",
                          R"({"kind":"change","id":"x","base":-1})",
                          change("one", 0, {plan("large", 2)})});
  BOOST_TEST(log.brokenRecords() == 3U);
  BOOST_TEST(log.revision().value() == 1U);
  BOOST_TEST(log.next().value() == 4U);
}

BOOST_AUTO_TEST_CASE(snapshot_that_lands_late_is_replayed_from_its_cover) {
  std::vector<std::string> bodies{change("one", 0, {plan("large", 2)}),
                                  change("two", 1, {plan("large", 3)})};
  const auto covered = logOf({bodies[0]}).snapshot();
  bodies.push_back(encodeParts(covered, "s")[0]);
  bodies.push_back(change("three", 2, {plan("small", 4)}));
  for (const std::size_t from : {0U, 1U})
    BOOST_TEST((logOf(bodies, from).snapshot() == logOf(bodies).snapshot()));
  // Offset 1 is gone as well and the snapshot does not cover it.
  const auto cut = logOf(bodies, 2);
  BOOST_TEST(cut.gapped());
  BOOST_TEST(cut.revision().value() == 1U);
}

BOOST_AUTO_TEST_CASE(node_that_lags_behind_retention_keeps_its_revision) {
  ConfigurationLog log = logOf({change("one", 0, {plan("large", 2)}),
                                change("two", 1, {plan("large", 3)})});
  const auto old = logOf({change("one", 0, {plan("large", 2)})}).snapshot();
  BOOST_TEST(!log.adopt(old));
  log.retainFrom(LogOffset(9));
  BOOST_TEST(log.gapped());
  BOOST_TEST(log.revision().value() == 2U);
  auto lower = old;
  lower.Next = LogOffset(9);
  BOOST_TEST(!log.adopt(lower));
  BOOST_TEST(log.revision().value() == 2U);
}

BOOST_AUTO_TEST_CASE(large_configuration_is_snapshot_in_parts_under_the_limit) {
  ConfigurationSnapshot snapshot{LogOffset(5), Revision(3), {}};
  for (int i = 0; i < 710; ++i) {
    const std::string name = "team-" + std::to_string(i);
    applyEntry(snapshot.Lists, plan(name, 1));
    applyEntry(snapshot.Lists, account(name, name));
  }
  const auto bodies = encodeParts(snapshot, "s");
  BOOST_TEST(bodies.size() > 1U);
  ConfigurationLog log;
  log.retainFrom(LogOffset(5));
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    BOOST_TEST(bodies[i].size() <= MaxRecordBytes);
    BOOST_TEST(log.revision().value() == 0U);
    log.apply({LogOffset(5 + i), bodies[i]});
  }
  BOOST_TEST((log.configuration() == snapshot.Lists));
  BOOST_TEST(!log.gapped());
  BOOST_TEST((decodeSnapshot(encodeSnapshot(snapshot)) == snapshot));
}

BOOST_AUTO_TEST_CASE(equal_prefixes_give_equal_states_across_retention) {
  const bool held = rc::check([] {
    const auto bodies = randomStream();
    const auto whole = logOf(bodies);
    const auto from = *rc::gen::inRange<std::size_t>(0, bodies.size());
    const auto cut = logOf(bodies, from);
    if (!cut.gapped())
      RC_ASSERT(cut.snapshot() == whole.snapshot());
    RC_ASSERT(cut.revision() <= whole.revision());
    RC_TAG(cut.gapped() ? "gapped" : from > 0 ? "cut" : "whole");
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(gang_bound_below_a_guarantee_is_refused) {
  auto it = plan("large", 1);
  auto &entry = std::get<PlanEntry>(*it.Value);
  entry.Guaranteed = {{Accelerators{8}, 1}};
  const std::string first = change("one", 0, {it});
  entry.LargestGang.Count = 4;
  const auto log = logOf({first, change("two", 1, {it})});
  BOOST_TEST(log.revision().value() == 1U);
}

BOOST_AUTO_TEST_CASE(accepted_configurations_are_always_valid) {
  const bool held = rc::check([] {
    ConfigurationLog log;
    const auto apply = [&](const EntryChange &it) {
      log.apply({log.next(), change("c", log.revision().value(), {it})});
      RC_ASSERT(validate(log.configuration()).empty());
    };
    apply({ConfigurationList::DataCentres, "dc",
           DataCentreEntry{DataCentreId("dc"), 1, 2, Accelerators{8}}});
    const int n = *rc::gen::inRange(1, 30);
    for (int i = 0; i < n; ++i) {
      const auto name = std::to_string(*rc::gen::inRange(0, 2));
      auto it = plan(name, *rc::gen::inRange(1U, 4U));
      auto &entry = std::get<PlanEntry>(*it.Value);
      entry.Guaranteed = {{Accelerators{*rc::gen::element(2U, 4U, 8U)},
                           *rc::gen::inRange(1U, 4U)}};
      entry.LargestGang.Count = *rc::gen::element(4U, 128U);
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        apply({ConfigurationList::Plans, name, std::nullopt});
        break;
      case 1:
        apply(account("a" + name, *rc::gen::element<std::string>("0", "1")));
        break;
      default:
        apply(it);
      }
    }
    RC_TAG(log.revision().value() > log.next().value() / 2 ? "most accepted"
                                                           : "most refused");
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(imported_states_never_lower_the_revision) {
  const bool held = rc::check([] {
    const auto bodies = randomStream();
    const auto seen = *rc::gen::inRange<std::size_t>(0, bodies.size());
    ConfigurationLog node;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      const auto before = node.revision();
      const auto behind = *rc::gen::inRange<std::size_t>(0, bodies.size() + 1);
      node.adopt(logOf({bodies.begin(),
                        bodies.begin() + static_cast<std::ptrdiff_t>(behind)})
                     .snapshot());
      if (i >= seen)
        node.apply({LogOffset(i), bodies[i]});
      RC_ASSERT(node.revision() >= before);
    }
    if (!node.gapped())
      RC_ASSERT(node.snapshot() == logOf(bodies).snapshot());
  });
  BOOST_TEST(held);
}
