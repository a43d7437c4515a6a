// Tests of guarantee packing: which configurations fit, and that a change moves
// few shapes.
#include "citrongap/policy/guarantee_packing.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

void addAccount(Configuration &configuration, const std::string &name,
                std::vector<GuaranteedShape> shapes) {
  PlanEntry plan;
  plan.Plan = PlanId("plan-" + name);
  plan.Guaranteed = std::move(shapes);
  configuration.Plans[plan.Plan] = plan;
  configuration.Accounts[ClientAccountId(name)] = {ClientAccountId(name),
                                                   plan.Plan};
}

void addDataCentre(Configuration &configuration, const std::string &name,
                   std::uint32_t racks) {
  configuration.DataCentres[DataCentreId(name)] = {
      DataCentreId(name), racks, 6, {8}};
}

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_that_fill_the_capacity_are_accepted) {
  Configuration configuration;
  addDataCentre(configuration, "dc1", 1);
  addDataCentre(configuration, "dc2", 1);
  addAccount(configuration, "a", {{{16}, 3}, {{8}, 3}});
  addAccount(configuration, "b", {{{4}, 5}, {{1}, 4}});
  BOOST_TEST(validate(configuration).text() == "");
}

BOOST_AUTO_TEST_CASE(shapes_that_fit_by_count_only_give_a_finding_per_plan) {
  Configuration configuration;
  addDataCentre(configuration, "dc1", 2);
  addAccount(configuration, "a", {{{32}, 3}});
  addAccount(configuration, "b", {{{8}, 5}});
  addAccount(configuration, "c", {});
  BOOST_TEST(validate(configuration).text() ==
             "plan plan-a: its guarantee does not fit the declared capacity: "
             "no room for 1 of 32x3 for account a\n"
             "plan plan-b: its guarantee does not fit the declared capacity: "
             "no room for 1 of 8x5 for account b\n");
}

BOOST_AUTO_TEST_CASE(a_new_account_leaves_the_shapes_of_others_in_place) {
  Configuration configuration;
  for (const char *it : {"dc1", "dc2", "dc3", "dc4"})
    addDataCentre(configuration, it, 2);
  for (const char *it : {"a", "b", "c", "d"})
    addAccount(configuration, it, {{{16}, 2}, {{4}, 2}});
  auto before = packGuarantees(configuration).AssignedShapes;
  addAccount(configuration, "new", {{{8}, 2}});
  for (auto &[dataCentre, shapes] :
       packGuarantees(configuration).AssignedShapes) {
    std::erase_if(shapes, [](const AssignedShape &it) {
      return it.Account == ClientAccountId("new");
    });
    BOOST_CHECK(shapes == before[dataCentre]);
  }
}
