// Best-fit placement, gangs within one rack, and limits per server.
#include "citrongap/workload/vector_packing.h"

#include "citrongap/base/random.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

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

std::int64_t pick(Random &random, std::int64_t low, std::int64_t high) {
  return low + static_cast<std::int64_t>(
                   random.between(0, static_cast<std::uint64_t>(high - low)));
}

std::vector<PackingServer> randomServers(Random &random) {
  std::vector<PackingServer> out;
  const auto n = random.between(1, 12);
  for (std::uint64_t at = 0; at < n; ++at) {
    PackingServer it =
        server(fmt::format("s{}", at), fmt::format("r{}", at / 4),
               {pick(random, 0, 128) * 1000, pick(random, 0, 512) * 1000,
                pick(random, 0, 8)});
    it.ProbeOnly = random.between(0, 5) == 0;
    it.ProbeOverdue = it.ProbeOnly && random.between(0, 1) == 0;
    it.FailedRecently = random.between(0, 3) == 0;
    it.SucceededRecently = random.between(0, 1) == 0;
    it.ReservedFor = static_cast<AccessLevel>(random.between(0, 2));
    out.push_back(it);
  }
  return out;
}

PackingRequest randomRequest(Random &random) {
  PackingRequest out = request({pick(random, 1, 4) * 13000,
                                pick(random, 1, 4) * 30000, pick(random, 0, 8)},
                               static_cast<std::uint32_t>(pick(random, 1, 6)));
  out.OneRack = random.between(0, 1) == 0;
  if (random.between(0, 3) == 0)
    out.Rack = RackId(fmt::format("r{}", random.between(0, 3)));
  if (random.between(0, 3) == 0)
    out.RequiredLabel = "a";
  out.Access = static_cast<AccessLevel>(random.between(0, 2));
  out.ExcludeRecentFailures = random.between(0, 3) == 0;
  out.RequireRecentSuccess = random.between(0, 3) == 0;
  return out;
}

} // namespace

// A backlog of many jobs alike on a full pod: each round asks the same again.
BOOST_AUTO_TEST_CASE(known_outcomes_agree_with_packing) {
  Random random(1);
  std::size_t known = 0;
  for (int pod = 0; pod < 200; ++pod) {
    std::vector<PackingServer> servers = randomServers(random);
    PackingOutcomes outcomes;
    for (int n = 0; n < 60; ++n) {
      const PackingRequest asked = randomRequest(random);
      const auto expected = outcomes.find(asked);
      const auto found = packTasks(servers, asked);
      if (expected) {
        ++known;
        BOOST_TEST(*expected == found.has_value());
      }
      outcomes.add(asked, found.has_value());
      if (found && random.between(0, 4) == 0) {
        allocate(servers, *found, asked.PerTask);
        outcomes.forgetFits();
      }
    }
  }
  BOOST_TEST(known > 2000U);
}

BOOST_AUTO_TEST_CASE(tasks_packed_together_are_packed_as_one_by_one) {
  Random random(2);
  for (int pod = 0; pod < 500; ++pod) {
    std::vector<PackingServer> servers = randomServers(random);
    PackingRequest asked = randomRequest(random);
    asked.OneRack = false;
    asked.Count = static_cast<std::uint32_t>(pick(random, 1, 20));
    std::vector<PackingServer> left = servers;
    PackingRequest one = asked;
    one.Count = 1;
    std::vector<std::size_t> expected;
    while (expected.size() < asked.Count) {
      const auto found = packTasks(left, one);
      if (!found)
        break;
      allocate(left, *found, one.PerTask);
      if (left[found->front()].ProbeOnly)
        left[found->front()].Free = {};
      expected.push_back(found->front());
    }
    std::vector<std::size_t> together;
    while (together.size() < asked.Count) {
      one.Count = asked.Count - static_cast<std::uint32_t>(together.size());
      const auto found = packAsMany(servers, one);
      if (found.empty())
        break;
      allocate(servers, found, one.PerTask);
      for (const std::size_t at : found)
        if (servers[at].ProbeOnly)
          servers[at].Free = {};
      together.insert(together.end(), found.begin(), found.end());
    }
    BOOST_TEST(together == expected);
  }
}

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
