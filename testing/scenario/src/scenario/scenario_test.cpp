// The text form of scenarios: what is read, what is found wrong, and that a
// seed always draws the same faults.
#include "citrongap/scenario/scenario.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace citrongap;
using namespace citrongap::scenario;

namespace {

Checked<Scenario> read(const std::string &text) {
  std::istringstream lines(text);
  return readScenario("s", lines);
}

Scenario good(const std::string &text) {
  const auto result = read(text);
  if (const auto *findings = std::get_if<Findings>(&result))
    BOOST_FAIL(findings->text());
  return std::get<Scenario>(result);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_whole_scenario_is_read) {
  const Scenario it = good(
      "# a comment\n"
      "site lahore centres 2 entries 3 servers 4 racks 2\n"
      "setting terms lease_ms 1500\n"
      "bound gang 6s\n"
      "at 500ms flood labels-quetta background 100/s for 2s gang 2 run 50ms\n"
      "at 2s freeze lahore-1-e1 for 4s # the owner\n"
      "at 3s cut lahore-1 from lahore-2 for 5s\n"
      "at 4s race publish lahore-1-e1 lahore-2-e1\n"
      "expect unknown at most 5%\n");
  BOOST_TEST(it.Site.Entries == 3U);
  BOOST_TEST(it.Settings.at("terms").at("lease_ms") == "1500");
  BOOST_TEST(it.Bounds.PartialGang.count() == 6000);
  BOOST_REQUIRE(it.Actions.size() == 4U);
  const auto *flood = std::get_if<Flood>(&it.Actions[0].Does);
  BOOST_REQUIRE(flood != nullptr);
  BOOST_TEST(flood->PerSecond == 100U);
  BOOST_TEST(flood->Job.Gang.Count == 2U);
  BOOST_TEST(it.Actions[0].After.count() == 500);
  const auto *freeze = std::get_if<FreezeNode>(&it.Actions[1].Does);
  BOOST_REQUIRE(freeze != nullptr);
  BOOST_TEST(freeze->For.count() == 4000);
  BOOST_CHECK(std::holds_alternative<CutCentres>(it.Actions[2].Does));
  const auto *race = std::get_if<Publish>(&it.Actions[3].Does);
  BOOST_REQUIRE(race != nullptr);
  BOOST_TEST(race->Through.size() == 2U);
  BOOST_REQUIRE(it.Expected.size() == 1U);
  BOOST_TEST(!it.Expected[0].AtLeast);
}

BOOST_AUTO_TEST_CASE(all_findings_are_told_with_their_line) {
  const auto result = read("at 2s explode\n"
                           "at soon kill lahore-1-e1\n"
                           "site lahore servers 5 racks 2\n"
                           "at 1s kill\n"
                           "at 1s kill x y\n"
                           "at 1s submit 1 nobody standard\n");
  BOOST_REQUIRE(std::holds_alternative<Findings>(result));
  BOOST_TEST(std::get<Findings>(result).text() ==
             "s:1: 'explode' is not an action\n"
             "s:2: 'soon' is not a whole number with s\n"
             "s:3: servers must fill the racks evenly\n"
             "s:4: the line ends too early\n"
             "s:5: 'y' is not expected here\n"
             "s:6: 'nobody' is not a known account\n");
}

BOOST_AUTO_TEST_CASE(a_seed_always_draws_the_same_faults) {
  const std::string text = "site lahore centres 2 entries 2 servers 4\n"
                           "random faults 20 between 1s and 5s\n";
  Scenario one = good(text);
  Scenario other = good(text);
  Random first(7);
  Random second(7);
  drawFaults(one, first);
  drawFaults(other, second);
  BOOST_REQUIRE(one.Actions.size() == 20U);
  for (std::size_t i = 0; i < one.Actions.size(); ++i)
    BOOST_TEST(one.Actions[i].Text == other.Actions[i].Text);
}
