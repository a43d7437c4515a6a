// Which lists pack, and that one change moves little.
#include "citrongap/policy/guarantee_packing.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

void addAccount(Configuration &lists, const std::string &name,
                std::vector<GuaranteedShape> shapes) {
  PlanEntry plan;
  plan.Plan = PlanId("plan-" + name);
  plan.Guaranteed = std::move(shapes);
  lists.Plans[plan.Plan] = plan;
  lists.Accounts[ClientAccountId(name)] = {ClientAccountId(name), plan.Plan};
}

void addDataCentre(Configuration &lists, const std::string &name,
                   std::uint32_t racks) {
  lists.DataCentres[DataCentreId(name)] = {DataCentreId(name), racks, 6, {8}};
}

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_that_fill_the_capacity_are_accepted) {
  Configuration lists;
  addDataCentre(lists, "dc1", 1);
  addDataCentre(lists, "dc2", 1);
  addAccount(lists, "a", {{{16}, 3}, {{8}, 3}});
  addAccount(lists, "b", {{{4}, 5}, {{1}, 4}});
  BOOST_TEST(validate(lists).text() == "");
}

BOOST_AUTO_TEST_CASE(shapes_that_fit_by_count_only_are_refused_once_a_plan) {
  Configuration lists;
  addDataCentre(lists, "dc1", 2);
  addAccount(lists, "a", {{{32}, 3}});
  addAccount(lists, "b", {{{8}, 5}});
  addAccount(lists, "c", {});
  BOOST_TEST(validate(lists).text() ==
             "plan plan-a: its guarantee does not fit the declared capacity: "
             "no room for 1 of 32x3 for account a\n"
             "plan plan-b: its guarantee does not fit the declared capacity: "
             "no room for 1 of 8x5 for account b\n");
}

BOOST_AUTO_TEST_CASE(a_new_account_leaves_the_shapes_of_others_in_place) {
  Configuration lists;
  for (const char *it : {"dc1", "dc2", "dc3", "dc4"})
    addDataCentre(lists, it, 2);
  for (const char *it : {"a", "b", "c", "d"})
    addAccount(lists, it, {{{16}, 2}, {{4}, 2}});
  auto before = packGuarantees(lists).AssignedShapes;
  addAccount(lists, "new", {{{8}, 2}});
  for (auto &[dataCentre, shapes] : packGuarantees(lists).AssignedShapes) {
    std::erase_if(shapes, [](const AssignedShape &it) {
      return it.Account == ClientAccountId("new");
    });
    BOOST_CHECK(shapes == before[dataCentre]);
  }
}
