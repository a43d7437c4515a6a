// Choice of preemption victims: least loss of work, and whole gangs.
#include "citrongap/workload/room_making.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const std::vector<std::string> Labels;
const std::string Service = "render";
constexpr Resources Whole{128000, 512000, 8};
constexpr Resources Full{52000, 210000, 8};

struct Fixture {
  std::vector<PackingServer> Servers;
  std::vector<VictimGroup> Groups;
  PackingRequest Request;

  Fixture() {
    Request.Service = Service;
    Request.PerTask = Full;
  }
  /// Adds a server that is filled by one group with this loss.
  std::size_t add(const std::string &rack, double waste) {
    Resources free = Whole;
    free -= Full;
    Servers.push_back({BackendServerId("i-" + std::to_string(Servers.size())),
                       RackId(rack), &Labels, &Service, Whole, free, 0});
    Groups.push_back({{{Servers.size() - 1, Full}}, waste});
    return Servers.size() - 1;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(room_making, Fixture)

BOOST_AUTO_TEST_CASE(victims_with_the_least_loss_are_chosen) {
  add("r1", 500);
  const std::size_t cheap = add("r1", 10);
  const auto plan = planPreemption(Servers, Groups, Request);
  BOOST_REQUIRE(plan);
  BOOST_TEST(plan->Servers == std::vector<std::size_t>{cheap});
  BOOST_TEST(plan->Victims.size() == 1U);
}

BOOST_AUTO_TEST_CASE(free_server_is_used_before_any_preemption) {
  add("r1", 1);
  Servers.push_back(
      {BackendServerId("free"), RackId("r1"), &Labels, &Service, Whole, Whole});
  const auto plan = planPreemption(Servers, Groups, Request);
  BOOST_REQUIRE(plan);
  BOOST_TEST(plan->Victims.empty());
}

BOOST_AUTO_TEST_CASE(preempted_gang_frees_all_its_servers) {
  add("r1", 0);
  add("r1", 0);
  add("r1", 90);
  Groups[0].Parts.push_back(Groups[1].Parts[0]);
  Groups[0].LostCoreSeconds = 100;
  Groups.erase(Groups.begin() + 1);
  Request.Count = 2;
  const auto plan = planPreemption(Servers, Groups, Request);
  BOOST_REQUIRE(plan);
  // The single task is the cheapest choice for the first task; the gang then
  // makes room for the second.
  BOOST_TEST(plan->LostCoreSeconds <= 190);
  Servers.pop_back();
  Groups.pop_back();
  const auto whole = planPreemption(Servers, Groups, Request);
  BOOST_REQUIRE(whole);
  BOOST_TEST(whole->LostCoreSeconds == 100);
}

BOOST_AUTO_TEST_CASE(single_rack_is_chosen_by_the_total_loss) {
  add("r1", 10);
  add("r1", 400);
  add("r2", 60);
  add("r2", 70);
  Request.Count = 2;
  Request.OneRack = true;
  const auto plan = planPreemption(Servers, Groups, Request);
  BOOST_REQUIRE(plan);
  BOOST_TEST(plan->LostCoreSeconds == 130);
}

BOOST_AUTO_TEST_CASE(no_preemption_when_the_step_would_still_not_fit) {
  add("r1", 10);
  Request.Count = 2;
  BOOST_TEST(!planPreemption(Servers, Groups, Request).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
