// What the owner logs and counts of orders without an outcome, of leases that
// must expire first, and of occurrences that are not planned yet.
#include "entry_site.h"

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct WaitSite : LeaseSite {
  explicit WaitSite(Millis maxLease = Millis(300)) : LeaseSite(maxLease) {
    BOOST_REQUIRE(pipe(Ends.data()) == 0);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    Log = EventLog("test", Ends[1]);
  }
  ~WaitSite() {
    close(Ends[0]);
    close(Ends[1]);
  }
  /// Number of lines so far that have all these parts.
  std::size_t lines(const std::vector<std::string> &parts) {
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = read(Ends[0], buf.data(), buf.size())) > 0;)
      Text.append(buf.data(), static_cast<std::size_t>(n));
    std::istringstream in(Text);
    std::size_t count = 0;
    for (std::string line; std::getline(in, line);)
      count += std::all_of(parts.begin(), parts.end(), [&](const auto &it) {
        return (line + " ").find(" " + it + " ") != std::string::npos;
      });
    return count;
  }
  /// Runs until there is such a line.
  bool awaitLine(const std::vector<std::string> &parts, Millis limit) {
    const MonoTime end = monoNow() + limit;
    while (lines(parts) == 0 && monoNow() < end)
      runFor(Millis(5));
    return lines(parts) > 0;
  }
  std::int64_t gauge(const std::string &vm, const std::string &name) {
    std::istringstream in(Vms.at(vm)->Node.metrics());
    for (std::string line; std::getline(in, line);)
      if (line.starts_with("citrongap_" + name + " "))
        return std::stoll(line.substr(line.find(' ')));
    return -1;
  }
  void checkNothingLate(const std::string &vm) {
    for (const char *event :
         {"stop_late", "stop_late_over", "start_late", "start_late_over",
          "stop_untracked", "stop_untracked_over", "leases_awaited",
          "leases_wait_over"})
      BOOST_TEST(lines({std::string("event=") + event}) == 0U, event);
    BOOST_TEST(gauge(vm, "servers_awaiting_leases") == 0);
    BOOST_TEST(gauge(vm, "due_occurrences_not_planned") == 0);
    checkNoOpenOrders(vm);
  }
  void checkNoOpenOrders(const std::string &vm) {
    BOOST_TEST(gauge(vm, "oldest_stop_order_ms") == 0);
    BOOST_TEST(gauge(vm, "oldest_unconfirmed_start_ms") == 0);
  }
  void startJob() {
    BOOST_TEST(submit("vm-1") == "accepted");
    runFor(Millis(60));
    BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  }
  std::string cancel(const std::string &vm) {
    return call(vm, CallerVerb::Cancel, Job);
  }
  /// The running job was cancelled, and its server does not answer.
  void stopOnSilentServer() {
    startJob();
    Fleet.at("i-1").Silent = true;
    BOOST_TEST(cancel("vm-1") == "cancelled");
    BOOST_TEST(awaitLine({"event=stop_late"}, Millis(500)));
  }

  std::array<int, 2> Ends{};
  std::string Text;
};

/// Leases that outlast a take-over and some steps of a test.
struct LongWaitSite : WaitSite {
  LongWaitSite() : WaitSite(Millis(900)) {}

  /// The owner was lost after "i-1", on which the job runs, was cut off.
  void takeOver() {
    cutOffServer();
    kill("vm-1");
    BOOST_REQUIRE(awaitLine({"event=took_over"}, Millis(600)));
  }
};

struct ShortLeaseSite : WaitSite {
  ShortLeaseSite() : WaitSite(Millis(100)) {}
};

const std::string Awaited = "event=leases_awaited";
const std::string WaitOver = "event=leases_wait_over";

} // namespace

BOOST_AUTO_TEST_SUITE(owner_waits)

BOOST_FIXTURE_TEST_CASE(orders_that_are_answered_are_not_reported, WaitSite) {
  startJob();
  runFor(Millis(400));
  BOOST_TEST(cancel("vm-1") == "cancelled");
  runFor(Millis(400));
  BOOST_TEST(Fleet.running() == 0U);
  checkNothingLate("vm-1");
}

BOOST_FIXTURE_TEST_CASE(stop_without_an_end_is_reported_once, WaitSite) {
  stopOnSilentServer();
  runFor(Millis(200));
  BOOST_TEST(lines({"event=stop_late"}) == 1U);
  BOOST_TEST(
      lines({"part=order", "event=stop_late", "task=" + Job.str() + ".0.0.0",
             "run=1", "server=i-1", "acknowledged=false"}) == 1U);
  BOOST_TEST(lines({"event=stop_late_over"}) == 0U);
  BOOST_TEST(gauge("vm-1", "oldest_stop_order_ms") >= 300);
  BOOST_TEST(gauge("vm-1", "oldest_unconfirmed_start_ms") == 0);
}

BOOST_FIXTURE_TEST_CASE(late_end_of_a_stop_is_reported, WaitSite) {
  stopOnSilentServer();
  Fleet.at("i-1").Silent = false;
  BOOST_TEST(awaitLine({"event=stop_late_over", "task=" + Job.str() + ".0.0.0",
                        "run=1", "server=i-1", "how=ended"},
                       Millis(3000)));
  runFor(Millis(60));
  BOOST_TEST(lines({"event=stop_late_over"}) == 1U);
  checkNoOpenOrders("vm-1");
}

// The stop of a run on a server that has left the list reaches no link.
BOOST_FIXTURE_TEST_CASE(stop_that_no_link_tracks_is_reported, LongWaitSite) {
  cutOffServer();
  Store.put(Servers, {"i-1", std::nullopt});
  kill("vm-1");
  BOOST_REQUIRE(awaitLine({"event=took_over"}, Millis(600)));
  BOOST_TEST(cancel("vm-2") == "cancelled");
  BOOST_TEST(
      awaitLine({"event=stop_untracked", "run=1", "server=i-1"}, Millis(900)));
  BOOST_TEST(gauge("vm-2", "oldest_stop_order_ms") >= 200);
  BOOST_TEST(awaitLine({"event=stop_untracked_over", "run=1", "server=i-1"},
                       Millis(2000)));
  BOOST_TEST(lines({"event=stop_untracked"}) == 1U);
  runFor(Millis(60));
  checkNoOpenOrders("vm-2");
}

BOOST_FIXTURE_TEST_CASE(late_start_is_reported_until_it_is_confirmed,
                        WaitSite) {
  sendDelayedStart();
  BOOST_TEST(awaitLine({"event=start_late", "task=" + Job.str() + ".0.0.0",
                        "run=1", "server=i-1", "reachable=true"},
                       Millis(600)));
  BOOST_TEST(gauge("vm-1", "oldest_unconfirmed_start_ms") >= 200);
  BOOST_TEST(gauge("vm-1", "oldest_stop_order_ms") == 0);
  runFor(Millis(100));
  BOOST_TEST(lines({"event=start_late"}) == 1U);
  BOOST_TEST(lines({"event=start_late_over"}) == 0U);
  Fleet.at("i-1").DelayStarts = false;
  BOOST_TEST(
      awaitLine({"event=start_late_over", "how=confirmed"}, Millis(600)));
  runFor(Millis(60));
  checkNoOpenOrders("vm-1");
}

BOOST_FIXTURE_TEST_CASE(late_start_that_is_given_up_is_reported,
                        ShortLeaseSite) {
  sendDelayedStart();
  Fleet.at("i-1").Unreachable = true;
  BOOST_TEST(awaitLine({"event=start_late", "waits_for=server"}, Millis(600)));
  BOOST_TEST(lines({"event=start_late", "until_ms=-"}) == 0U);
  BOOST_TEST(
      awaitLine({"event=start_late_over", "how=leases_lapsed"}, Millis(1500)));
}

BOOST_FIXTURE_TEST_CASE(leases_of_an_earlier_owner_are_reported, LongWaitSite) {
  takeOver();
  BOOST_TEST(
      awaitLine({Awaited, "server=i-1", "why=earlier_owner"}, Millis(600)));
  BOOST_TEST(gauge("vm-2", "servers_awaiting_leases") == 1);
  BOOST_TEST(awaitLine({WaitOver, "server=i-1", "how=released"}, Millis(3000)));
  BOOST_TEST(lines({Awaited, "why=earlier_owner"}) == 1U);
  BOOST_TEST(gauge("vm-2", "servers_awaiting_leases") == 0);
}

BOOST_FIXTURE_TEST_CASE(wait_ends_when_the_server_answers, LongWaitSite) {
  takeOver();
  BOOST_TEST(awaitLine({Awaited, "why=earlier_owner"}, Millis(600)));
  Fleet.at("i-1").Unreachable = false;
  BOOST_TEST(awaitLine({WaitOver, "server=i-1", "how=answered"}, Millis(600)));
  BOOST_TEST(lines({WaitOver}) == 1U);
  BOOST_TEST(Fleet.at("i-1").Running.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(leases_on_an_unlisted_server_are_reported,
                        LongWaitSite) {
  cutOffServer();
  Store.put(Servers, {"i-1", std::nullopt});
  kill("vm-1");
  BOOST_TEST(awaitLine({Awaited, "server=i-1", "why=unlisted"}, Millis(900)));
  BOOST_TEST(gauge("vm-2", "servers_awaiting_leases") == 1);
  BOOST_TEST(awaitLine({WaitOver, "server=i-1", "how=released"}, Millis(3000)));
}

BOOST_FIXTURE_TEST_CASE(late_start_that_outlasts_the_leases_is_reported,
                        ShortLeaseSite) {
  sendDelayedStart();
  Fleet.at("i-1").Unreachable = true;
  BOOST_TEST(awaitLine({Awaited, "server=i-1", "why=late_start"}, Millis(600)));
  BOOST_TEST(awaitLine({WaitOver, "server=i-1"}, Millis(1500)));
}

// One runs and 64 others are planned.
BOOST_FIXTURE_TEST_CASE(due_occurrences_beyond_the_bound_are_counted,
                        WaitSite) {
  BOOST_TEST(call("vm-1", CallerVerb::Submit, Job, "due=65") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(gauge("vm-1", "due_occurrences_not_planned") == 0);
  BOOST_TEST(call("vm-1", CallerVerb::Submit, WorkId("00000000000000aa"),
                  "due=70") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(gauge("vm-1", "due_occurrences_not_planned") == 6);
  BOOST_TEST(gauge("vm-2", "due_occurrences_not_planned") == 0);
}

BOOST_FIXTURE_TEST_CASE(gauges_are_cleared_with_the_ownership, WaitSite) {
  stopOnSilentServer();
  BOOST_TEST(call("vm-1", CallerVerb::Submit, WorkId("00000000000000aa"),
                  "due=70") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(gauge("vm-1", "oldest_stop_order_ms") > 0);
  BOOST_REQUIRE(gauge("vm-1", "due_occurrences_not_planned") > 0);
  Vms.at("vm-1")->Node.drain();
  runFor(Millis(60));
  BOOST_TEST(gauge("vm-1", "due_occurrences_not_planned") == 0);
  BOOST_TEST(gauge("vm-1", "servers_awaiting_leases") == 0);
  checkNoOpenOrders("vm-1");
}

// A link has taken note of an end that the planner did not.
BOOST_AUTO_TEST_CASE(stop_is_untracked_until_the_planner_releases_the_run) {
  const MonoTime now = monoNow();
  PodPlanner planner{PlannerOptions()};
  planner.putServer(
      std::get<ServerEntry>(readServer({"i-1", "ready 1 m render"})), now);
  WorkSpec spec = std::get<WorkSpec>(readSubmission("x"));
  spec.Id = WorkId("00000000000000aa");
  spec.Service = "render";
  planner.addWork(spec, {}, now);
  BOOST_REQUIRE(planner.plan(now, 1).Starts.size() == 1U);
  planner.cancel(spec.Id, 1);
  const PlannedRound round = planner.plan(now, 1);
  BOOST_REQUIRE(round.Stops.size() == 1U);
  const StopOrder &stop = round.Stops.front();

  EventLog log("test", -1);
  OwnerWaits waits(log);
  waits.noteStop(stop, now - Millis(3000));
  const auto linesOf = [&](bool isTracked) {
    OrderReview review;
    review.Lines = 10;
    waits.reviewStops(
        planner, [=](const auto &, const auto &) { return isTracked; }, review);
    return std::pair(10 - review.Lines, review.OldestStop >= Millis(3000));
  };
  BOOST_TEST((linesOf(true) == std::pair<std::size_t, bool>(0, true)));
  BOOST_TEST((linesOf(false) == std::pair<std::size_t, bool>(1, true)));
  BOOST_TEST((linesOf(false) == std::pair<std::size_t, bool>(0, true)));
  planner.recordMissingRun(stop.Task, stop.Run, stop.Server, now);
  BOOST_TEST((linesOf(false) == std::pair<std::size_t, bool>(0, false)));
}

// Guards against a site whose orders all become late at once.
BOOST_AUTO_TEST_CASE(review_writes_a_bounded_number_of_lines) {
  OrderReview review;
  review.Lines = 1;
  BOOST_TEST(!review.takeLine(review.MinAge - Millis(1)));
  BOOST_TEST(review.takeLine(review.MinAge));
  BOOST_TEST(!review.takeLine(review.MinAge));
}

BOOST_AUTO_TEST_SUITE_END()
