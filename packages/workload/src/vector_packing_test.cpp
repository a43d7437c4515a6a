// Best-fit placement, gangs within one rack, and limits per server.
#include "citrongap/workload/vector_packing.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const std::vector<std::string> Labels{"a", "r1"};
const std::string Service = "render";
constexpr Resources Whole{128000, 512000, 8};

PackingServer server(const std::string &id, const std::string &rack,
                     Resources free = Whole) {
  return {BackendServerId(id), RackId(rack), &Labels, &Service, Whole, free, 0};
}

PackingRequest request(Resources each, std::uint32_t count) {
  PackingRequest out;
  out.Service = Service;
  out.PerTask = each;
  out.Count = count;
  return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(one_accelerator_task_fills_the_partly_used_server_first) {
  std::vector<PackingServer> servers{
      server("empty", "r1"), server("started", "r1", {100000, 400000, 3})};
  const auto at = packTasks(servers, request({11000, 59000, 1}, 1));
  BOOST_REQUIRE(at);
  BOOST_TEST(at->front() == 1U);
}

BOOST_AUTO_TEST_CASE(memory_limits_placement_before_accelerators) {
  std::vector<PackingServer> servers{server("s", "r1")};
  BOOST_TEST(packTasks(servers, request({52000, 210000, 1}, 2)).has_value());
  BOOST_TEST(!packTasks(servers, request({52000, 210000, 1}, 3)).has_value());
}

BOOST_AUTO_TEST_CASE(memory_for_a_large_task_is_not_fragmented) {
  const Resources large{52000, 280000, 2};
  const Resources small{11000, 76000, 1};
  // One server has fewer accelerators left, the other less memory.
  std::vector<PackingServer> servers{
      server("memory", "r1", {120000, 500000, 5}),
      server("accelerators", "r1", {76000, 232000, 6})};
  const auto at = packTasks(servers, request(small, 3));
  BOOST_REQUIRE(at);
  allocate(servers, *at, small);
  BOOST_TEST(packTasks(servers, request(large, 1)).has_value());
}

BOOST_AUTO_TEST_CASE(single_rack_gang_is_not_spread_over_two_racks) {
  std::vector<PackingServer> servers{server("a", "r1"), server("b", "r2")};
  PackingRequest gang = request({52000, 210000, 8}, 2);
  gang.OneRack = true;
  BOOST_TEST(!packTasks(servers, gang).has_value());
  servers.push_back(server("c", "r2"));
  const auto at = packTasks(servers, gang);
  BOOST_REQUIRE(at);
  for (const std::size_t it : *at)
    BOOST_TEST(servers[it].Rack.str() == "r2");
}

BOOST_AUTO_TEST_CASE(failed_placement_leaves_free_resources_unchanged) {
  std::vector<PackingServer> servers{server("a", "r1")};
  BOOST_TEST(!packTasks(servers, request({52000, 210000, 8}, 2)).has_value());
  BOOST_TEST((servers[0].Free == Whole));
}

BOOST_AUTO_TEST_CASE(tasks_of_a_step_on_one_server_are_limited) {
  std::vector<PackingServer> servers{server("a", "r1"), server("b", "r1")};
  PackingRequest apart = request({1000, 1000, 1}, 3);
  apart.MaxPerServer = 1;
  BOOST_TEST(!packTasks(servers, apart).has_value());
  apart.Count = 2;
  BOOST_TEST(packTasks(servers, apart).has_value());
}

BOOST_AUTO_TEST_CASE(quarantined_server_takes_no_gang) {
  std::vector<PackingServer> servers{server("a", "r1")};
  servers[0].ProbeOnly = true;
  BOOST_TEST(!packTasks(servers, request({1000, 1000, 1}, 2)).has_value());
  BOOST_TEST(packTasks(servers, request({1000, 1000, 1}, 1)).has_value());
}
