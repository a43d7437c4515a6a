// Entry VMs with a shared store and fleet: answers are correct, each task runs
// once and a new owner continues, despite lost answers, dead owners and a store
// that refuses some entry VMs.
#include "entry_site.h"

#include <thread>

using namespace citrongap;
using namespace citrongap::testing;

BOOST_FIXTURE_TEST_SUITE(entry_node, EntrySite)

BOOST_AUTO_TEST_CASE(job_submitted_to_any_vm_runs_once_and_is_visible_on_all) {
  BOOST_TEST(submit("vm-2") == "accepted");
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(state("vm-2") == "running");
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(100));
  BOOST_TEST(state("vm-1") == "completed");
  BOOST_TEST(state("vm-2") == "completed");
  BOOST_TEST(Fleet.at("i-1").Ended.empty());
}

BOOST_AUTO_TEST_CASE(query_on_a_follower_triggers_an_early_read) {
  ReaderInterval = Millis(2000);
  add("vm-3");
  runFor(Millis(60));
  // A read has just returned a record, so the next one is two seconds away.
  BOOST_TEST(call("vm-1", CallerVerb::Submit, WorkId("00000000000000aa")) ==
             "accepted");
  runFor(Millis(40));
  BOOST_TEST(submit("vm-1") == "accepted");
  const MonoTime asked = monoNow();
  BOOST_TEST(state("vm-3") != "no_job");
  BOOST_TEST((monoNow() - asked).count() < 100);
}

BOOST_AUTO_TEST_CASE(query_at_the_end_of_a_job_returns_the_final_state) {
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(state("vm-2") == "running");
  // The server has the end, but the owner has neither received nor recorded it.
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  BOOST_TEST(state("vm-2") == "completed");
}

BOOST_AUTO_TEST_CASE(vm_without_the_jobs_accepts_and_asks_one_that_knows) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  // The pages of the jobs never reach the new entry VM.
  LatestValuesLimit = 20;
  add("vm-3");
  runFor(Millis(100));
  BOOST_TEST(Vms.at("vm-3")->Node.ready());
  BOOST_TEST(state("vm-3") == "running");
  BOOST_TEST(call("vm-3", CallerVerb::Query, WorkId("00000000000000aa")) ==
             "no_job");
  BOOST_TEST(call("vm-3", CallerVerb::Submit, WorkId("00000000000000bb")) ==
             "accepted");
  BOOST_TEST(call("vm-3", CallerVerb::Cancel, Job) == "cancelled");
  runFor(Millis(60));
  BOOST_TEST(state("vm-1") == "cancelled");
}

BOOST_AUTO_TEST_CASE(query_is_refused_at_once_when_no_vm_knows_the_jobs) {
  BOOST_TEST(submit("vm-1") == "accepted");
  LatestValuesLimit = 20;
  add("vm-3");
  runFor(Millis(60));
  Vms["vm-1"].reset();
  Vms["vm-2"].reset();
  const MonoTime asked = monoNow();
  BOOST_TEST(state("vm-3") == "not_run");
  BOOST_TEST((monoNow() - asked).count() < 60);
  BOOST_TEST(call("vm-3", CallerVerb::Cancel, Job) == "unknown");
}

BOOST_AUTO_TEST_CASE(new_owner_does_not_restart_a_running_task) {
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.started() == 1U);
  kill("vm-1");
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 1U);
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(150));
  BOOST_TEST(state("vm-2") == "completed");
}

BOOST_AUTO_TEST_CASE(start_with_a_lost_answer_runs_once) {
  Fleet.at("i-1").LoseAnswers = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  Fleet.at("i-1").LoseAnswers = false;
  runFor(Millis(150));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(Fleet.running() == 1U);
}

BOOST_AUTO_TEST_CASE(run_end_unrecorded_by_a_dead_owner_reaches_the_new_owner) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  // The owner cannot record the end, so the server must keep it.
  Vms.at("vm-1")->View.Faults.Silent = true;
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(50));
  BOOST_TEST(Fleet.at("i-1").Ended.size() == 1U);
  kill("vm-1");
  runFor(Millis(250));
  BOOST_TEST(state("vm-2") == "completed");
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_CASE(no_start_before_its_record_is_stored) {
  BOOST_TEST(submit("vm-2") == "accepted");
  Vms.at("vm-1")->View.Faults.Silent = true;
  runFor(Millis(100));
  const std::size_t records = Store.size(TopicId("keyed.jobs"));
  BOOST_TEST((Fleet.started() == 0U || records >= 2U));
}

BOOST_AUTO_TEST_CASE(submission_without_a_store_is_answered_not_run) {
  Vms.at("vm-2")->View.Faults.Busy = true;
  const std::string answer = submit("vm-2");
  BOOST_TEST((answer == "not_run" || answer == "unknown"));
  runFor(Millis(600));
  BOOST_TEST(submit("vm-2") == "not_run");
  BOOST_TEST(!Vms.at("vm-2")->Node.ready());
  if (answer == "not_run")
    BOOST_TEST(Fleet.started() == 0U);
}

BOOST_AUTO_TEST_CASE(submission_behind_an_unanswered_append_is_refused_early) {
  Vms.at("vm-2")->View.Faults.Silent = true;
  std::string second = "none";
  CallerRequest request;
  request.Verb = CallerVerb::Submit;
  request.Host = "host";
  request.ApiKey = Key;
  request.Deadline = monoNow() + Seconds(2);
  request.Path = "/q/00000000000000aa";
  Vms.at("vm-2")->Node.handle(request, [](const CallerAnswer &) {});
  request.Path = "/q/00000000000000bb";
  Vms.at("vm-2")->Node.handle(
      request, [&](const CallerAnswer &it) { second = describe(it); });
  runFor(Millis(100));
  BOOST_TEST(second == "not_run");
  Vms.at("vm-2")->View.Faults.Silent = false;
  runFor(Millis(200));
  BOOST_TEST(call("vm-1", CallerVerb::Query, WorkId("00000000000000bb")) ==
             "no_job");
}

BOOST_AUTO_TEST_CASE(cancelled_job_stops_and_is_cancelled_on_all_vms) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_TEST(call("vm-2", CallerVerb::Cancel, Job) == "cancelled");
  runFor(Millis(100));
  BOOST_TEST(Fleet.running() == 0U);
  BOOST_TEST(state("vm-1") == "cancelled");
}

BOOST_AUTO_TEST_CASE(revoked_key_and_unknown_job_are_distinguished) {
  BOOST_TEST(call("vm-1", CallerVerb::Query, Job) == "no_job");
  BOOST_TEST(call("vm-1", CallerVerb::Query, Job, "x", "other") ==
             "unauthorized");
  Store.put(Configuration, {"config", "2"});
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "unauthorized");
  BOOST_TEST(call("vm-1", CallerVerb::Submit, WorkId("short")) ==
             "unauthorized");
}

BOOST_AUTO_TEST_CASE(older_configuration_is_ignored) {
  Store.put(Configuration, {"config", "2"});
  runFor(Millis(60));
  Store.put(Configuration, {"config", "1"});
  runFor(Millis(60));
  BOOST_TEST(submit("vm-2") == "unauthorized");
}

BOOST_AUTO_TEST_CASE(draining_owner_hands_over_and_interrupts_nothing) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  Vms.at("vm-1")->Node.drain();
  BOOST_TEST(!Vms.at("vm-1")->Node.ready());
  runFor(Millis(150));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(call("vm-1", CallerVerb::Submit, WorkId("00000000000000aa")) ==
             "accepted");
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(150));
  BOOST_TEST(state("vm-1") == "completed");
  BOOST_TEST(Fleet.started() == 2U);
}

BOOST_AUTO_TEST_CASE(owner_reelected_in_the_same_generation_records_run_ends) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  // The membership expires while the store is unreachable, and no other member
  // joins.
  for (auto &[id, vm] : Vms)
    vm->View.Faults.Silent = true;
  runFor(Millis(250));
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  for (auto &[id, vm] : Vms)
    vm->View.Faults.Silent = false;
  runFor(Millis(300));
  BOOST_TEST(state("vm-2") == "completed");
  kill("vm-1");
  runFor(Millis(250));
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_CASE(delayed_start_after_a_refused_retry_runs_once) {
  Fleet.at("i-1").DelayStarts = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(45));
  // The retry is refused while the first attempt is still in transit.
  Fleet.at("i-1").DelayStarts = false;
  Fleet.at("i-1").NoRoom = true;
  runFor(Millis(80));
  Store.put(Servers, {"i-2", "ready"});
  runFor(Millis(300));
  Fleet.at("i-1").NoRoom = false;
  Fleet.deliverDelayedStarts("i-1");
  runFor(Millis(600));
  BOOST_TEST(Fleet.running() == 1U);
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_CASE(run_end_before_the_start_is_retried_is_counted) {
  Fleet.at("i-1").LoseAnswers = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  for (int n = 0; n < 30 && Fleet.running() == 0; ++n)
    runFor(Millis(1));
  BOOST_REQUIRE(Fleet.running() == 1U);
  // The run ends before the retry arrives, which is then stale.
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  Fleet.at("i-1").LoseAnswers = false;
  Store.put(Servers, {"i-2", "ready"});
  runFor(Millis(700));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(state("vm-2") == "completed");
}

BOOST_AUTO_TEST_CASE(run_on_a_server_relisted_after_cancellation_is_stopped) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  // The server is not listed for the new owner when the job is cancelled.
  Store.put(Servers, {"i-1", std::nullopt});
  kill("vm-1");
  runFor(Millis(200));
  BOOST_TEST(call("vm-2", CallerVerb::Cancel, Job) == "cancelled");
  runFor(Millis(50));
  BOOST_TEST(Fleet.running() == 1U);
  Store.put(Servers, {"i-1", "ready"});
  runFor(Millis(150));
  BOOST_TEST(Fleet.running() == 0U);
}

BOOST_AUTO_TEST_CASE(unsent_start_is_placed_on_another_server_at_once) {
  Fleet.at("i-1").Unreachable = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  Store.put(Servers, {"i-2", "ready"});
  // Well within the lease: only an uncertain start must wait for its expiry.
  runFor(Millis(150));
  BOOST_TEST(Fleet.at("i-2").Running.size() == 1U);
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_CASE(start_retries_do_not_postpone_lease_expiry) {
  // The start gets no answer and is retried. Then the server fails for good,
  // while its entry stays in the server list.
  Fleet.at("i-1").DelayStarts = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  Fleet.at("i-1").Unreachable = true;
  Store.put(Servers, {"i-2", "ready"});
  // Two polls detect the failure; the leases expire 0.37 s after the last order
  // that was sent.
  runFor(Millis(1000));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    stale_entry_of_a_machine_does_not_end_its_new_incarnation) {
  Store.put(Servers, {"i-1", std::nullopt});
  Store.put(Servers, {"i-3", "ready 1 m-1"});
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-3").Running.size() == 1U);
  // The machine restarts under another id, and the stale entry is read once
  // more before it expires.
  Fleet.at("i-3").Unreachable = true;
  Store.put(Servers, {"i-2", "ready 5 m-1"});
  runFor(Millis(100));
  BOOST_REQUIRE(Fleet.at("i-2").Running.size() == 1U);
  Store.put(Servers, {"i-3", "ready 1 m-1"});
  runFor(Millis(100));
  Store.put(Servers, {"i-2", "ready 5 m-1"});
  runFor(Millis(100));
  BOOST_TEST(Fleet.at("i-2").Running.size() == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(fenced_owner_that_is_still_elected_takes_over_again) {
  // The server has accepted an order of the next epoch, as after an expired
  // membership.
  Fleet.at("i-1").Token = Fleet.at("i-1").Token.next();
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(900));
  BOOST_TEST(Fleet.running() == 1U);
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_CASE(
    draining_server_that_is_cut_off_keeps_its_run_until_its_lease_ends) {
  startOnDrainingServer();
  // Neither the owner nor the store hears from the server, so the store removes
  // its entry. The run goes on.
  Fleet.at("i-1").Unreachable = true;
  runFor(Millis(150));
  Store.put(Servers, {"i-1", std::nullopt});
  runFor(Millis(100));
  BOOST_TEST(Fleet.at("i-2").Started.empty());
  runFor(Millis(600));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(odd_entry_is_no_report_of_the_server) {
  startOnDrainingServer();
  Fleet.at("i-1").Unreachable = true;
  runFor(Millis(150));
  Store.put(Servers, {"i-1", "odd"});
  runFor(Millis(30));
  Store.put(Servers, {"i-1", std::nullopt});
  runFor(Millis(100));
  BOOST_TEST(Fleet.at("i-2").Started.empty());
}

BOOST_AUTO_TEST_CASE(run_of_a_server_that_has_left_starts_elsewhere_at_once) {
  startOnDrainingServer();
  // The entry is removed sooner than silence would have it removed.
  Store.put(Servers, {"i-1", "draining"});
  runFor(Millis(30));
  Fleet.at("i-1").Unreachable = true;
  Store.put(Servers, {"i-1", std::nullopt});
  runFor(Millis(150));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(paused_owner_sends_nothing_after_its_membership_ran_out) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  const Epoch token = Fleet.at("i-1").Token;
  const int before = Fleet.CallsByToken[token];
  // The process does not run for longer than a membership lasts. Its timers
  // and answers are all due when it runs on.
  std::this_thread::sleep_for(Millis(200));
  runFor(Millis(2));
  BOOST_TEST(Fleet.CallsByToken[token] == before);
}

BOOST_AUTO_TEST_CASE(server_that_left_unseen_gets_no_new_runs) {
  // The owner does not read for a while, and the removal of the entry is no
  // longer among the retained records when it reads on.
  Vms.at("vm-1")->View.Faults.Busy = true;
  runFor(Millis(30));
  Store.put(Servers, {"i-1", std::nullopt});
  Store.put(Servers, {"i-2", "ready"});
  Store.compact(Servers);
  Vms.at("vm-1")->View.Faults.Busy = false;
  runFor(Millis(300));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(150));
  BOOST_TEST(Fleet.at("i-1").Started.empty());
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_no_new_runs) {
  Store.put(Configuration, {"evacuate/dc-1", "{}"});
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(Fleet.started() == 0U);
  // A new owner keeps to it, too.
  kill("vm-1");
  runFor(Millis(300));
  BOOST_TEST(Fleet.started() == 0U);
  Store.put(Configuration, {"evacuate/dc-1", std::nullopt});
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_CASE(draining_server_gets_no_new_runs) {
  Store.put(Servers, {"i-1", "draining"});
  runFor(Millis(80));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(Fleet.started() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
