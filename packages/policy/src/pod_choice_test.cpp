// Tests of the choice of a pod: free room first, then guarantees, then queue
// lengths.
#include "citrongap/policy/pod_choice.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const PodId Home("home");
const PodId Other("other");

JobRequest gangOf(std::uint32_t n) {
  JobRequest job;
  job.Id = {ClientAccountId("a"), RequestKey("k")};
  job.Gang.Count = n;
  return job;
}

PodCandidate pod(const PodId &id, std::uint32_t largestFree,
                 std::uint32_t queued, bool guaranteed = false) {
  PodCandidate out{id, {96}, {}, guaranteed};
  out.Summary.Free.Count = largestFree;
  out.Summary.LargestFree.Count = largestFree;
  out.Summary.QueuedJobs = queued;
  return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(home_is_chosen_if_it_can_start_the_gang) {
  BOOST_CHECK(
      choosePod(gangOf(8), Home, {pod(Home, 8, 0), pod(Other, 96, 0)}) == Home);
}

BOOST_AUTO_TEST_CASE(pod_that_can_start_the_gang_is_chosen_over_full_home) {
  BOOST_CHECK(choosePod(gangOf(8), Home, {pod(Home, 4, 0), pod(Other, 8, 0)}) ==
              Other);
}

BOOST_AUTO_TEST_CASE(pod_with_guaranteed_shape_is_chosen_without_room) {
  BOOST_CHECK(choosePod(gangOf(8), Home,
                        {pod(Home, 0, 1), pod(Other, 0, 50, true)}) == Other);
}

BOOST_AUTO_TEST_CASE(shortest_queue_is_chosen_without_room_or_guarantee) {
  BOOST_CHECK(choosePod(gangOf(8), Home, {pod(Home, 0, 9), pod(Other, 0, 3)}) ==
              Other);
}

BOOST_AUTO_TEST_CASE(gang_larger_than_every_pod_is_not_placed) {
  BOOST_CHECK(!choosePod(gangOf(128), Home, {pod(Home, 96, 0)}));
}
