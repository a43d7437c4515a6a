// Large gangs: drain, then preempt; backfill that ends in time.
#include "citrongap/policy/reservation.h"
#include "pod_model_test.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

/// One rack full of single-accelerator jobs of "small".
void fill(PodModel &pod) {
  pod.addAccount("small", {});
  pod.addAccount("large", {});
  for (std::uint32_t i = 0; i < 48; ++i)
    pod.submit("small", std::to_string(i), 1);
  pod.decide();
  BOOST_REQUIRE(pod.Uses.size() == 48U);
}

} // namespace

BOOST_AUTO_TEST_CASE(large_gang_starts_within_the_starvation_bound) {
  PodModel pod(1, 6);
  fill(pod);
  const JobId gang = pod.submit("large", "gang", 16);
  std::uint32_t next = 48;
  while (pod.Now < monoFromMillis(0) + StarvationBound) {
    // Small jobs end and others take their place all the time.
    pod.end(pod.Running.begin()->first);
    pod.submit("small", std::to_string(next++), 1);
    pod.decide();
    pod.pass(Millis(7500));
  }
  pod.decide();
  pod.stopRevoked();
  pod.decide();
  BOOST_TEST(pod.Running.contains(gang));
  BOOST_TEST(pod.Faults.empty());
}

BOOST_AUTO_TEST_CASE(reservation_survives_lost_server) {
  PodModel pod(1, 6);
  fill(pod);
  const JobId gang = pod.submit("large", "gang", 16);
  pod.pass(StandardTerms.ReserveAfter);
  pod.decide();
  for (std::uint32_t i = 0; i < 2; ++i) {
    pod.pass(StandardTerms.DrainFor / 4);
    pod.setState(i, ServerState::Lost);
    pod.decide();
  }
  pod.pass(StandardTerms.DrainFor / 2);
  pod.decide();
  pod.stopRevoked();
  pod.decide();
  BOOST_TEST(pod.Running.contains(gang));
}

BOOST_AUTO_TEST_CASE(backfill_takes_only_what_ends_before_the_reservation) {
  PodModel pod(1, 6);
  fill(pod);
  pod.submit("large", "gang", 48);
  pod.pass(StandardTerms.ReserveAfter);
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
  pod.pass(StandardTerms.ReserveAfter);
  pod.decide();
  // One accelerator under the reservation, and another server as a whole.
  pod.end(pod.Uses.at({BackendServerId("s100"), 0}));
  for (std::uint32_t slot = 0; slot < 8; ++slot)
    pod.end(pod.Uses.at({BackendServerId("s105"), slot}));
  pod.submit("small", "long", 1);
  JobRequest brief;
  brief.Id = PodModel::id("small", "brief");
  brief.DeclaredRunMs = 1000;
  brief.Deadline = wallFromMillis(1000000000);
  pod.Pod.submit(brief, pod.Wall, pod.Now);
  pod.decide();
  BOOST_TEST(pod.Running.contains(PodModel::id("large", "gang")));
  BOOST_TEST(pod.Running.contains(PodModel::id("small", "long")));
  BOOST_TEST(pod.Faults.empty());
}

BOOST_AUTO_TEST_CASE(cancelled_gang_gives_its_reserved_cells_back) {
  PodModel pod(1, 6);
  fill(pod);
  const JobId gang = pod.submit("large", "gang", 48);
  pod.pass(StandardTerms.ReserveAfter);
  pod.decide();
  pod.end(pod.Running.begin()->first);
  const JobId waiting = pod.submit("small", "next", 1);
  pod.decide();
  BOOST_TEST(!pod.Running.contains(waiting));
  BOOST_TEST(pod.Pod.cancelQueued(gang));
  pod.decide();
  BOOST_TEST(pod.Running.contains(waiting));
}
