// Earliest placement of a step by the expected ends of runs.
#include "citrongap/workload/soonest_room.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace citrongap;

namespace {

struct Fixture {
  std::vector<std::string> Labels;
  std::string Service = "render";
  std::vector<PackingServer> Servers;
  Releases Expected;
  MonoTime Now{Millis(1000)};
  PackingRequest Request;

  Fixture() {
    // Two racks of two fully occupied servers with eight accelerators.
    for (int n = 0; n < 4; ++n) {
      PackingServer it;
      it.Id = BackendServerId(fmt::format("i-{}", n));
      it.Rack = RackId(fmt::format("r{}", n / 2));
      it.Labels = &Labels;
      it.Service = &Service;
      it.Capacity = {128000, 512000, 8};
      it.Free = {0, 0, 0};
      Servers.push_back(it);
    }
    Request.Service = Service;
    Request.PerTask = {10000, 10000, 8};
    Request.Count = 2;
  }
  void addRelease(int server, int second, std::int64_t gpus = 8) {
    Expected[Servers[static_cast<std::size_t>(server)].Id].emplace_back(
        Now + Seconds(second), Resources{128000, 512000, gpus});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(soonest_room, Fixture)

BOOST_AUTO_TEST_CASE(servers_that_become_free_first_are_chosen) {
  addRelease(0, 60);
  addRelease(1, 2);
  addRelease(2, 3);
  addRelease(3, 4);
  const auto found = findEarliestFit(Servers, Expected, Request, Now);
  BOOST_REQUIRE(found);
  BOOST_TEST((found->Servers == std::vector<std::size_t>{1, 2}));
  BOOST_TEST((found->ReadyAt == Now + Seconds(3)));
}

BOOST_AUTO_TEST_CASE(single_rack_is_chosen_by_its_last_server) {
  Request.OneRack = true;
  addRelease(0, 60);
  addRelease(1, 2);
  addRelease(2, 3);
  addRelease(3, 4);
  const auto found = findEarliestFit(Servers, Expected, Request, Now);
  BOOST_REQUIRE(found);
  BOOST_TEST((found->Servers == std::vector<std::size_t>{2, 3}));
}

BOOST_AUTO_TEST_CASE(releases_of_one_server_accumulate) {
  Request.Count = 1;
  addRelease(0, 1, 4);
  addRelease(0, 5, 4);
  const auto found = findEarliestFit(Servers, Expected, Request, Now);
  BOOST_REQUIRE(found);
  BOOST_TEST((found->ReadyAt == Now + Seconds(5)));
}

BOOST_AUTO_TEST_CASE(step_that_never_fits_has_no_placement) {
  addRelease(0, 1, 4);
  BOOST_TEST(!findEarliestFit(Servers, Expected, Request, Now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
