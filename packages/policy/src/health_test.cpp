// Unit tests that faulty servers and faulty jobs are distinguished.
#include "citrongap/policy/job_health.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Start = monoFromMillis(0);

BackendServerId server(int n) {
  return BackendServerId("s" + std::to_string(n));
}

JobId job(int n) {
  return {ClientAccountId("a"), RequestKey(std::to_string(n))};
}

} // namespace

BOOST_AUTO_TEST_CASE(servers_that_fail_every_run_are_quarantined) {
  ServerHealth health;
  for (int round = 0; round < 5; ++round)
    for (int i = 0; i < 8; ++i) {
      if (i < 2)
        health.recordFailure(server(i), Start);
      else
        health.recordSuccess(server(i), Start);
    }
  BOOST_TEST(health.quarantinedCount() == 2U);
  BOOST_TEST(health.quarantined(server(0)));
  BOOST_TEST(!health.quarantined(server(2)));
}

BOOST_AUTO_TEST_CASE(failures_of_the_whole_fleet_quarantine_no_server) {
  ServerHealth health;
  for (int i = 0; i < 8; ++i)
    health.recordFailure(server(i), Start);
  for (int round = 0; round < 10; ++round)
    for (int i = 0; i < 8; ++i)
      health.recordFailure(server(i), Start);
  BOOST_TEST(health.quarantinedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(old_failures_decay) {
  ServerHealth health;
  health.recordSuccess(server(1), Start);
  for (int i = 0; i < 6; ++i)
    health.recordFailure(server(0), Start + Seconds(1800 * i));
  BOOST_TEST(health.quarantinedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(
    a_failed_probe_doubles_the_quarantine_and_a_success_ends_it) {
  ServerHealth health;
  health.recordSuccess(server(1), Start);
  for (int i = 0; i < 3; ++i)
    health.recordFailure(server(0), Start);
  BOOST_TEST(!health.probeDue(server(0), Start + Seconds(29)));
  BOOST_TEST(health.probeDue(server(0), Start + Seconds(30)));
  health.startProbe(server(0), Start + Seconds(30));
  BOOST_TEST(!health.probeDue(server(0), Start + Seconds(31)));
  health.recordFailure(server(0), Start + Seconds(31));
  BOOST_TEST(!health.probeDue(server(0), Start + Seconds(90)));
  BOOST_TEST(health.probeDue(server(0), Start + Seconds(91)));
  health.startProbe(server(0), Start + Seconds(91));
  health.recordSuccess(server(0), Start + Seconds(92));
  BOOST_TEST(!health.quarantined(server(0)));
  BOOST_TEST(health.quarantinedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(one_failure_on_probation_doubles_the_quarantine) {
  ServerHealth health;
  health.recordSuccess(server(1), Start);
  for (int i = 0; i < 3; ++i)
    health.recordFailure(server(0), Start);
  const MonoTime overdue = Start + Seconds(30 + 600);
  BOOST_TEST(!health.probeOverdue(server(0), overdue - Millis(1)));
  BOOST_TEST(health.probeOverdue(server(0), overdue));
  health.startProbation(server(0), overdue);
  BOOST_TEST(!health.quarantined(server(0)));
  health.recordFailure(server(0), overdue);
  BOOST_TEST(health.quarantined(server(0)));
  BOOST_TEST(!health.probeDue(server(0), overdue + Seconds(59)));
  BOOST_TEST(health.probeDue(server(0), overdue + Seconds(60)));
}

BOOST_AUTO_TEST_CASE(success_on_probation_forgets_the_quarantine) {
  ServerHealth health;
  health.recordSuccess(server(1), Start);
  for (int i = 0; i < 3; ++i)
    health.recordFailure(server(0), Start);
  health.startProbation(server(0), Start + Seconds(630));
  health.recordSuccess(server(0), Start + Seconds(640));
  BOOST_TEST(!health.recordFailure(server(0), Start + Seconds(641)));
  BOOST_TEST(health.quarantinedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(a_job_that_fails_on_distinct_servers_quarantines_none) {
  ServerHealth health;
  JobHealth jobs;
  for (int round = 0; round < 50; ++round)
    for (int i = 0; i < 3; ++i) {
      health.recordFailure(server(i), Start);
      const auto verdict = jobs.recordFailure(job(round), {server(i)}, health);
      const auto *fault = std::get_if<JobAtFault>(&verdict);
      BOOST_TEST((fault != nullptr) == (i == 2));
      if (fault)
        for (const auto &it : fault->Forgiven)
          health.withdrawFailure(it, Start);
    }
  BOOST_TEST(health.quarantinedCount() == 0U);
  BOOST_TEST(jobs.jobs() == 0U);
}

BOOST_AUTO_TEST_CASE(failures_on_quarantined_servers_are_not_the_job_s_fault) {
  ServerHealth health;
  JobHealth jobs;
  for (int i = 3; i < 9; ++i)
    health.recordSuccess(server(i), Start);
  for (int i = 0; i < 3; ++i)
    for (int round = 0; round < 3; ++round)
      health.recordFailure(server(i), Start);
  BOOST_TEST(health.quarantinedCount() == 3U);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(std::holds_alternative<ServersSuspect>(
        jobs.recordFailure(job(0), {server(i)}, health)));
}
