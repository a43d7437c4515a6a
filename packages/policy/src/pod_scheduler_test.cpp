// Tests of PodScheduler: gangs start whole, and deadlines are observed.
#include "citrongap/policy/pod_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const WallTime WallStart = wallFromMillis(1000000);
const MonoTime Start = monoFromMillis(0);

Configuration oneAccount() {
  Configuration configuration;
  configuration.Accounts[ClientAccountId("a")] = {ClientAccountId("a"),
                                                  PlanId("p")};
  configuration.Plans[PlanId("p")].Plan = PlanId("p");
  return configuration;
}

JobRequest job(const std::string &key, std::uint32_t gang) {
  JobRequest it;
  it.Id = {ClientAccountId("a"), RequestKey(key)};
  it.Gang.Count = gang;
  it.Deadline = WallStart + Millis(1000);
  return it;
}

PodScheduler podOf(std::uint32_t servers) {
  PodScheduler pod(PodId("pod"), DataCentreId("dc"));
  pod.configure(oneAccount(), Start);
  for (std::uint32_t i = 0; i < servers; ++i)
    pod.setServer({BackendServerId("s" + std::to_string(i)),
                   RackId("r0"),
                   {8},
                   ServerState::Live},
                  Start);
  return pod;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_gang_starts_whole_or_waits) {
  PodScheduler pod = podOf(2);
  pod.submit(job("big", 16), WallStart, Start);
  const auto first = pod.decide(WallStart, Start);
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST(std::get<StartJob>(first[0]).Where.Parts.size() == 2U);
  pod.submit(job("next", 9), WallStart, Start);
  BOOST_TEST(pod.decide(WallStart, Start).empty());
  pod.jobEnded(job("big", 16).Id, {}, Start);
  BOOST_TEST(pod.decide(WallStart, Start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_job_past_its_deadline_is_refused_as_not_run) {
  PodScheduler pod = podOf(1);
  pod.submit(job("a", 8), WallStart, Start);
  pod.decide(WallStart, Start);
  pod.submit(job("b", 8), WallStart, Start);
  const auto later = pod.decide(WallStart + Millis(2000), Start + Millis(2000));
  BOOST_REQUIRE(later.size() == 1U);
  BOOST_CHECK(std::get<RefuseJob>(later[0]).Job == job("b", 8).Id);
}

// Guards against servers that are lost for good where no job that comes may be
// a probe.
BOOST_AUTO_TEST_CASE(unprobed_server_returns_on_probation) {
  PodScheduler pod = podOf(2);
  const auto lasting = [](const std::string &key) {
    JobRequest it = job(key, 8);
    it.Repeatable = false;
    it.Deadline = WallStart + Seconds(7200);
    return it;
  };
  const auto submit = [&](const std::string &key, Seconds after) {
    pod.submit(lasting(key), WallStart + after, Start + after);
    return pod.decide(WallStart + after, Start + after).size();
  };
  BOOST_TEST(submit("holder", Seconds(0)) == 1U);
  for (const char *key : {"a", "b", "c"}) {
    pod.submit(lasting(key), WallStart, Start);
    const auto started = pod.decide(WallStart, Start);
    BOOST_REQUIRE(started.size() == 1U);
    RunReport report{false, 1, {}};
    for (const auto &it : std::get<StartJob>(started[0]).Where.Parts)
      report.FailedOn.push_back(it.Server);
    pod.jobEnded(lasting(key).Id, report, Start);
  }
  BOOST_TEST(pod.summary(Start).QuarantinedServers == 1U);
  BOOST_TEST(submit("d", Seconds(40)) == 0U);
  // 30 s of quarantine, 10 minutes without a probe.
  BOOST_TEST(submit("e", Seconds(629)) == 0U);
  BOOST_TEST(submit("f", Seconds(631)) == 1U);
  BOOST_TEST(pod.summary(Start).QuarantinedServers == 0U);
}
