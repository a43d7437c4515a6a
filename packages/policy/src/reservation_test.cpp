// Tests of reservations: drain and preemption for large gangs, and backfill
// that ends in time.
#include "citrongap/policy/reservation.h"
#include "pod_model_test.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

/// Fills the rack with single-accelerator jobs of "small".
void fill(PodModel &pod) {
  pod.addAccount("small", {});
  pod.addAccount("large", {});
  for (std::uint32_t i = 0; i < 48; ++i)
    pod.submit("small", std::to_string(i), 1);
  pod.decide();
  BOOST_REQUIRE(pod.JobOnSlot.size() == 48U);
}

} // namespace

BOOST_AUTO_TEST_CASE(large_gang_starts_within_the_starvation_bound) {
  PodModel pod(1, 6);
  fill(pod);
  const JobId gang = pod.submit("large", "gang", 16);
  std::uint32_t next = 48;
  while (pod.Now < monoFromMillis(0) + StarvationBound) {
    // A continuous stream of small jobs competes for the freed accelerators.
    pod.end(pod.Running.begin()->first);
    pod.submit("small", std::to_string(next++), 1);
    pod.decide();
    pod.advance(Millis(7500));
  }
  pod.decide();
  pod.stopRevoked();
  pod.decide();
  BOOST_TEST(pod.Running.contains(gang));
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(reservation_survives_lost_server) {
  PodModel pod(1, 6);
  fill(pod);
  const JobId gang = pod.submit("large", "gang", 16);
  pod.advance(StandardReservation.ReserveDelay);
  pod.decide();
  for (std::uint32_t i = 0; i < 2; ++i) {
    pod.advance(StandardReservation.DrainTimeout / 4);
    pod.setState(i, ServerState::Lost);
    pod.decide();
  }
  pod.advance(StandardReservation.DrainTimeout / 2);
  pod.decide();
  pod.stopRevoked();
  pod.decide();
  BOOST_TEST(pod.Running.contains(gang));
}

BOOST_AUTO_TEST_CASE(backfill_runs_only_jobs_that_end_before_preemption) {
  PodModel pod(1, 6);
  fill(pod);
  pod.submit("large", "gang", 48);
  pod.advance(StandardReservation.ReserveDelay);
  pod.decide();
  pod.end(pod.Running.begin()->first);
  pod.submit("small", "long", 1);
  BOOST_TEST(pod.decide().empty());
  JobRequest brief;
  brief.Id = PodModel::id("small", "brief");
  brief.DeclaredRunMs = 1000;
  brief.Deadline = wallFromMillis(1000000000);
  pod.Pod.submit(brief, pod.Wall, pod.Now);
  BOOST_TEST(pod.decide().size() == 1U);
  BOOST_TEST(pod.Running.contains(brief.Id));
}

BOOST_AUTO_TEST_CASE(backfill_survives_gang_that_starts_elsewhere) {
  PodModel pod(1, 6);
  fill(pod);
  pod.submit("large", "gang", 8);
  pod.advance(StandardReservation.ReserveDelay);
  pod.decide();
  // Free one accelerator under the reservation and all of another server.
  pod.end(pod.JobOnSlot.at({BackendServerId("s100"), 0}));
  for (std::uint32_t slot = 0; slot < 8; ++slot)
    pod.end(pod.JobOnSlot.at({BackendServerId("s105"), slot}));
  pod.submit("small", "long", 1);
  JobRequest brief;
  brief.Id = PodModel::id("small", "brief");
  brief.DeclaredRunMs = 1000;
  brief.Deadline = wallFromMillis(1000000000);
  pod.Pod.submit(brief, pod.Wall, pod.Now);
  pod.decide();
  BOOST_TEST(pod.Running.contains(PodModel::id("large", "gang")));
  BOOST_TEST(pod.Running.contains(PodModel::id("small", "long")));
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(cancelled_gang_releases_its_reserved_cells) {
  PodModel pod(1, 6);
  fill(pod);
  const JobId gang = pod.submit("large", "gang", 48);
  pod.advance(StandardReservation.ReserveDelay);
  pod.decide();
  pod.end(pod.Running.begin()->first);
  const JobId waiting = pod.submit("small", "next", 1);
  pod.decide();
  BOOST_TEST(!pod.Running.contains(waiting));
  BOOST_TEST(pod.Pod.cancelQueued(gang));
  pod.decide();
  BOOST_TEST(pod.Running.contains(waiting));
}
