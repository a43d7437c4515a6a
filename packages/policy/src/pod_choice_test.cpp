// Where a job is sent: free room first, then guarantees, then queues.
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

BOOST_AUTO_TEST_CASE(the_home_keeps_what_it_can_start) {
  BOOST_CHECK(
      choosePod(gangOf(8), Home, {pod(Home, 8, 0), pod(Other, 96, 0)}) == Home);
}

BOOST_AUTO_TEST_CASE(a_full_home_sends_the_job_where_it_can_start) {
  BOOST_CHECK(choosePod(gangOf(8), Home, {pod(Home, 4, 0), pod(Other, 8, 0)}) ==
              Other);
}

BOOST_AUTO_TEST_CASE(without_room_the_guaranteed_shape_is_reclaimed) {
  BOOST_CHECK(choosePod(gangOf(8), Home,
                        {pod(Home, 0, 1), pod(Other, 0, 50, true)}) == Other);
}

BOOST_AUTO_TEST_CASE(without_room_or_guarantee_the_shorter_queue_takes_it) {
  BOOST_CHECK(choosePod(gangOf(8), Home, {pod(Home, 0, 9), pod(Other, 0, 3)}) ==
              Other);
}

BOOST_AUTO_TEST_CASE(a_gang_that_no_pod_holds_goes_nowhere) {
  BOOST_CHECK(!choosePod(gangOf(128), Home, {pod(Home, 96, 0)}));
}
