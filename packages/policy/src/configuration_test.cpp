// Unit tests of the two lists: values, and all findings in one report.
#include "citrongap/policy/configuration.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

Checked<Configuration> read(const std::string &plans,
                            const std::string &entitlements) {
  Findings findings;
  auto first = IniDocument::fromText("plans.ini", plans, findings);
  auto second =
      IniDocument::fromText("entitlements.ini", entitlements, findings);
  BOOST_REQUIRE(findings.empty());
  return parseConfiguration(std::move(first), std::move(second));
}

const std::string DataCentreSection =
    "[data_centre lahore-1]\nracks = 2\nservers_per_rack "
    "= 6\naccelerators_per_server = 8\n";

} // namespace

BOOST_AUTO_TEST_CASE(both_lists_are_read) {
  const auto result =
      read("[account batching]\nplan = large\n",
           DataCentreSection + "[plan large]\nguaranteed = 2x4, "
                               "16x1\nweight = 3\nurgent_per_hour = 60\n");
  BOOST_REQUIRE(std::holds_alternative<Configuration>(result));
  const auto &lists = std::get<Configuration>(result);
  const PlanEntry *plan = lists.planOf(ClientAccountId("batching"));
  BOOST_REQUIRE(plan != nullptr);
  BOOST_TEST(plan->Weight == 3U);
  BOOST_TEST(formatShapes(plan->Guaranteed) == "16x1, 2x4");
  BOOST_TEST(lists.DataCentres.at(DataCentreId("lahore-1")).total().Count ==
             96U);
}

BOOST_AUTO_TEST_CASE(findings_of_both_lists_are_reported_together) {
  const auto result =
      read("[account batching]\nplan = huge\n[guest x]\nplan = a\n",
           DataCentreSection +
               "[plan large]\nguaranteed = big\nweight = 0\nspeed = 9\n");
  BOOST_REQUIRE(std::holds_alternative<Findings>(result));
  BOOST_TEST(std::get<Findings>(result).text() ==
             "plans.ini [guest x]: is not an [account NAME] section\n"
             "entitlements.ini [plan large] guaranteed: 'big' is not "
             "GANGxCOUNT with a gang from 1 to 128\n"
             "entitlements.ini [plan large] weight: is '0', not a whole number "
             "from 1 to 1000000\n"
             "plans.ini [guest x] plan: is not a known setting\n"
             "entitlements.ini [plan large] speed: is not a known setting\n"
             "account batching: has the unknown plan 'huge'\n");
}
