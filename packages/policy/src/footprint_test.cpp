// Tests of footprints: reclaim, server failures and a change of the owner.
#include "pod_model_test.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

std::size_t starts(const std::vector<Decision> &decisions) {
  std::size_t n = 0;
  for (const Decision &it : decisions)
    n += std::holds_alternative<StartJob>(it) ? 1 : 0;
  return n;
}

/// Submits 96 jobs of one account and runs passes until no more start.
void fillWithJobs(PodModel &pod, const std::string &account, std::uint32_t gang,
                  bool repeatable) {
  for (std::uint32_t i = 0; i < 96; ++i)
    pod.submit(account, account + std::to_string(i), gang, repeatable);
  while (starts(pod.decide()) > 0) {
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(borrowers_are_revoked_for_a_guaranteed_shape_at_once) {
  PodModel pod(1, 6);
  pod.addAccount("owner", {{{16}, 1}});
  pod.addAccount("other", {});
  fillWithJobs(pod, "other", 8, true);
  BOOST_TEST(pod.JobOnSlot.size() == 48U);
  const JobId job = pod.submit("owner", "guaranteed", 16);
  pod.decide();
  BOOST_TEST(pod.Revoked.size() == 2U);
  pod.stopRevoked();
  BOOST_TEST(starts(pod.decide()) == 1U);
  BOOST_TEST(pod.Running.contains(job));
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(unrepeatable_work_stays_out_of_the_footprints_of_others) {
  PodModel pod(1, 6);
  pod.addAccount("owner", {{{16}, 1}, {{8}, 1}});
  pod.addAccount("other", {});
  fillWithJobs(pod, "other", 1, false);
  BOOST_TEST(pod.JobOnSlot.size() == 24U);
  pod.submit("owner", "a", 16, false);
  pod.submit("owner", "b", 8, false);
  BOOST_TEST(starts(pod.decide()) == 2U);
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(footprint_survives_lost_server) {
  PodModel pod(1, 6);
  pod.addAccount("owner", {{{16}, 1}});
  pod.addAccount("other", {});
  fillWithJobs(pod, "other", 8, true);
  const auto before = pod.Pod.footprint(ClientAccountId("owner"));
  BOOST_REQUIRE(before.size() == 1U);
  auto &lost = pod.Servers.at(before[0].Parts[0].Server);
  lost.State = ServerState::Lost;
  pod.Pod.setServer(lost, pod.Now);
  pod.decide();
  BOOST_TEST(pod.Pod.degradedGuarantees().empty());
  pod.submit("owner", "guaranteed", 16);
  pod.decide();
  pod.stopRevoked();
  BOOST_TEST(starts(pod.decide()) == 1U);
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(guarantee_is_degraded_while_unrepeatable_work_fills_pod) {
  PodModel pod(1, 6);
  pod.addAccount("owner", {{{16}, 2}});
  pod.addAccount("other", {});
  fillWithJobs(pod, "other", 8, false);
  pod.setState(0, ServerState::Lost);
  pod.decide();
  BOOST_TEST(pod.Pod.degradedGuarantees().size() == 1U);
  BOOST_TEST(starts(pod.decide()) == 0U);
  while (!pod.Pod.degradedGuarantees().empty()) {
    BOOST_REQUIRE(!pod.Running.empty());
    pod.end(pod.Running.begin()->first);
    pod.decide();
  }
  BOOST_TEST(pod.Pod.footprint(ClientAccountId("owner")).size() == 2U);
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(leaving_server_gets_no_work_and_no_footprint) {
  PodModel pod(1, 6);
  pod.addAccount("owner", {{{8}, 2}});
  for (std::uint32_t i = 0; i < 3; ++i)
    pod.setState(i, ServerState::Leaving);
  fillWithJobs(pod, "owner", 4, true);
  BOOST_TEST(pod.JobOnSlot.size() == 24U);
  BOOST_TEST(pod.Violations.empty());
}

BOOST_AUTO_TEST_CASE(successor_with_another_view_keeps_every_guarantee) {
  PodModel first(1, 6);
  first.addAccount("owner", {{{16}, 1}, {{8}, 1}});
  first.addAccount("other", {});
  first.submit("owner", "own", 8, false);
  fillWithJobs(first, "other", 8, false);
  // The successor first sees fewer servers and adopts the running jobs.
  PodModel second(1, 4);
  second.addAccount("owner", {{{16}, 1}, {{8}, 1}});
  second.addAccount("other", {});
  second.decide();
  for (const auto &[job, run] : first.Running) {
    second.Pod.adopt(run.first, run.second, second.Now);
    second.Running[job] = run;
  }
  second.JobOnSlot = first.JobOnSlot;
  second.setState(4, ServerState::Live);
  second.setState(5, ServerState::Live);
  second.decide();
  BOOST_TEST(second.Pod.degradedGuarantees().empty());
  second.submit("owner", "guaranteed", 16, false);
  BOOST_TEST(starts(second.decide()) == 1U);
  BOOST_TEST(second.Violations.empty());
}
