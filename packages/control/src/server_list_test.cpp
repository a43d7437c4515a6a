// The owner's view of the server list: neither an entry of an earlier life nor
// an entry that lapsed makes the owner start a task that still runs.
#include "entry_site.h"

#include <thread>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

/// Leases outlast a test unless it waits for their end.
struct ListSite : EntrySite {
  ListSite() : EntrySite(Millis(800)) {}

  /// Waits until the leases that the owner knows of have ended.
  void awaitLeaseEnd() { runFor(Millis(1500)); }
  void list(const std::string &id, const std::string &entry) {
    Store.put(Servers, {id, entry});
    runFor(Millis(60));
  }
  /// The server reports for longer than a server may be silent.
  void report(const std::string &id, const std::string &entry) {
    for (int n = 0; n < 5; ++n)
      list(id, entry);
  }
  /// The job runs on `id`; "i-1" is no longer listed if it is another server.
  void startOn(const std::string &id, const std::string &entry) {
    if (id != "i-1")
      Store.put(Servers, {"i-1", std::nullopt});
    list(id, entry);
    BOOST_TEST(submit("vm-1") == "accepted");
    runFor(Millis(60));
    BOOST_REQUIRE(Fleet.at(id).Running.size() == 1U);
  }
  /// The job runs on "i-1", which is draining and cut off, under an owner whose
  /// report timeout is long; "i-2" is free.
  void startUnderSlowReports(Millis maxReadGap = Millis(50)) {
    ReportTimeout = Millis(600);
    MaxReadGap = maxReadGap;
    add("vm-3");
    kill("vm-1");
    kill("vm-2");
    runFor(Millis(200));
    BOOST_TEST(submit("vm-3") == "accepted");
    runFor(Millis(60));
    Store.put(Servers, {"i-2", "ready"});
    list("i-1", "draining");
    BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
    Fleet.at("i-1").Unreachable = true;
  }
  /// "i-3" is the only server and has started at 5. An entry of its earlier
  /// life was refused after the server had not answered once; it reports and
  /// answers again.
  void refuseClaimAgainstAnsweringServer() {
    Store.put(Servers, {"i-1", std::nullopt});
    list("i-3", "ready 5 m-3");
    // No report for longer than ReportTimeout, so that the claim is heard.
    runFor(Millis(150));
    Fleet.at("i-3").Silent = true;
    Store.put(Servers, {"i-3", "ready 3 m-3"});
    list("i-3", "ready 5 m-3");
    Fleet.at("i-3").Silent = false;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_list, ListSite)

// Guards against a late entry of a server's earlier life that ends its current
// one for the owner, which starts its runs elsewhere.
BOOST_AUTO_TEST_CASE(entry_of_an_earlier_life_moves_no_run) {
  startOn("i-1", "ready 5");
  Store.put(Servers, {"i-2", "ready"});
  report("i-1", "draining 3");
  BOOST_TEST(Fleet.started() == 1U);
  list("i-1", "ready 5");
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(Fleet.running() == 1U);
}

// Guards against a new owner that takes a late entry of a server's earlier life
// as a proof that the life that its runs are placed on has ended.
BOOST_AUTO_TEST_CASE(new_owner_keeps_runs_when_an_earlier_life_is_listed) {
  startOn("i-1", "ready 5");
  kill("vm-1");
  Fleet.at("i-1").Unreachable = true;
  Store.put(Servers, {"i-1", "ready 1"});
  Store.put(Servers, {"i-2", "ready"});
  runFor(Millis(500));
  BOOST_TEST(Fleet.started() == 1U);
  awaitLeaseEnd();
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(later_life_ends_the_earlier_one_at_once) {
  startOn("i-1", "ready 1");
  Fleet.at("i-1").Unreachable = true;
  Store.put(Servers, {"i-2", "ready"});
  list("i-1", "draining 5");
  runFor(Millis(60));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against an entry of another writer that names the machine of a server
// that is up: the server was dropped, and its runs started elsewhere beside it.
BOOST_AUTO_TEST_CASE(entry_beside_a_server_that_answers_moves_no_run) {
  startOn("i-3", "ready 5 m-1");
  Store.put(Servers, {"i-2", "ready"});
  for (const char *entry : {"ready 5 m-1", "ready 7 m-1"}) {
    list("i-9", entry);
    runFor(Millis(200));
    list("i-3", "ready 5 m-1");
    BOOST_TEST(Fleet.running() == 1U, entry);
    BOOST_TEST(Fleet.started() == 1U, entry);
  }
  // The server remains in use.
  Fleet.end("i-3", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_TEST(state("vm-1") == "completed");
}

// A machine that runs another server is known by the silence of the earlier
// one, also if that ends after the entry was read.
BOOST_AUTO_TEST_CASE(next_server_of_a_machine_takes_over_from_a_silent_one) {
  startOn("i-3", "ready 5 m-1");
  Fleet.at("i-3").Silent = true;
  Store.put(Servers, {"i-3", std::nullopt});
  list("i-9", "ready 7 m-1");
  runFor(Millis(200));
  BOOST_TEST(Fleet.at("i-9").Started.size() == 1U);
}

// It was applied in each round, and the owner forgot the server's reports.
BOOST_AUTO_TEST_CASE(refused_claim_hides_no_departure) {
  refuseClaimAgainstAnsweringServer();
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-3").Running.size() == 1U);
  Store.put(Servers, {"i-2", "ready"});
  list("i-3", "draining 5 m-3");
  Store.put(Servers, {"i-3", std::nullopt});
  Fleet.at("i-3").Unreachable = true;
  runFor(Millis(300));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// The same: it ended a server that answers, without asking again.
BOOST_AUTO_TEST_CASE(refused_claim_ends_no_server_whose_report_is_late) {
  refuseClaimAgainstAnsweringServer();
  const Epoch token = Fleet.at("i-3").Token;
  runFor(Millis(200));
  BOOST_TEST((Fleet.at("i-3").Token == token));
}

// Guards against a server that is lost for good since its clock was set back
// before it restarted.
BOOST_AUTO_TEST_CASE(server_with_a_clock_set_back_is_used_again) {
  Store.put(Servers, {"i-1", std::nullopt});
  list("i-3", "draining 5 m-1");
  Fleet.ReportedStartMs = 1;
  report("i-3", "ready 1 m-1");
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(Fleet.at("i-3").Started.size() == 1U);
  // A late entry of the life before has a later start, but ends nothing.
  Store.put(Servers, {"i-2", "ready"});
  list("i-3", "draining 5 m-1");
  runFor(Millis(60));
  BOOST_TEST(Fleet.started() == 1U);
}

// The same, with a run that ended with the earlier life of the server.
BOOST_AUTO_TEST_CASE(run_starts_again_on_a_server_with_a_clock_set_back) {
  startOn("i-3", "ready 5 m-1");
  Fleet.ReportedStartMs = 1;
  Fleet.at("i-3").Running.clear();
  report("i-3", "ready 1 m-1");
  BOOST_TEST(Fleet.at("i-3").Started.size() == 2U);
}

// Guards against a short outage of the store that lets the entry of a draining
// server lapse: its runs started elsewhere as if it had left.
BOOST_AUTO_TEST_CASE(entry_that_lapsed_during_an_outage_is_no_departure) {
  startUnderSlowReports();
  Vms.at("vm-3")->View.Faults.Busy = true;
  runFor(Millis(60));
  Store.put(Servers, {"i-1", std::nullopt});
  Vms.at("vm-3")->View.Faults.Busy = false;
  runFor(Millis(300));
  BOOST_TEST(Fleet.started() == 1U);
  awaitLeaseEnd();
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// The same, with an outage that only a failed read tells of.
BOOST_AUTO_TEST_CASE(entry_that_lapsed_around_a_failed_read_is_no_departure) {
  startUnderSlowReports(Millis(600));
  Vms.at("vm-3")->View.Faults.Busy = true;
  runFor(Millis(60));
  Store.put(Servers, {"i-1", std::nullopt});
  Vms.at("vm-3")->View.Faults.Busy = false;
  runFor(Millis(300));
  BOOST_TEST(Fleet.started() == 1U);
  awaitLeaseEnd();
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// The same, with an outage that falls between two reads of the owner.
BOOST_AUTO_TEST_CASE(entry_that_lapsed_between_reads_is_no_departure) {
  startUnderSlowReports();
  std::this_thread::sleep_for(Millis(60));
  Store.put(Servers, {"i-1", std::nullopt});
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 1U);
  awaitLeaseEnd();
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// The same, with the last report before the outage read only after it.
BOOST_AUTO_TEST_CASE(report_read_after_a_failed_read_proves_no_departure) {
  startUnderSlowReports(Millis(600));
  Vms.at("vm-3")->View.Faults.Busy = true;
  runFor(Millis(60));
  Store.put(Servers, {"i-1", "draining"});
  Store.put(Servers, {"i-1", std::nullopt});
  Vms.at("vm-3")->View.Faults.Busy = false;
  runFor(Millis(300));
  BOOST_TEST(Fleet.started() == 1U);
  awaitLeaseEnd();
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against an entry of another writer that ends a live server for the
// owner: it names that server's machine, and a service that does not exist.
BOOST_AUTO_TEST_CASE(entry_of_an_unnamed_service_moves_no_run) {
  startOn("i-1", "ready 1 m-1");
  list("i-2", "ready 1 m-2");
  list("x-1", "ready 9 m-1 spare-parts");
  list("i-1", "ready 1 m-1");
  BOOST_TEST(Fleet.started() == 1U);
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(100));
  BOOST_TEST(state("vm-1") == "completed");
}

// Guards against a server that stays ignored after its service has been named.
BOOST_AUTO_TEST_CASE(server_is_used_once_its_service_is_named) {
  list("i-3", "ready 1 m-3 proof");
  BOOST_TEST((Fleet.at("i-3").Token == Epoch()));
  Store.put(Configuration, {"config", "3"});
  runFor(Millis(100));
  BOOST_TEST((Fleet.at("i-3").Token > Epoch()));
}

// Guards against an owner that takes over again and counts the list that it
// loaded in its earlier ownership: it released runs before it knew the servers,
// and a task that was done started again.
BOOST_AUTO_TEST_CASE(owner_again_releases_no_run_before_it_has_the_list) {
  startOn("i-1", "ready");
  Vms.at("vm-1")->View.Faults.SilentTopics = {Servers};
  // The server has accepted an order of the next epoch.
  Fleet.at("i-1").Token = Fleet.at("i-1").Token.next();
  runFor(Millis(60));
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(400));
  awaitLeaseEnd();
  Store.put(Servers, {"i-2", "ready"});
  Vms.at("vm-1")->View.Faults.SilentTopics.clear();
  // The read in progress is given up after a second.
  runFor(Millis(1700));
  BOOST_TEST(state("vm-1") == "completed");
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
