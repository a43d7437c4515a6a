// Servers reserved for waiting gangs and for urgent work: never for work that
// can't use them.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

struct Fixture : PlannerFixture {
  /// A lasting job with one task on each of `servers`, which all report to be
  /// at work.
  std::vector<StartOrder> startLasting(std::uint32_t servers,
                                       std::int64_t gpus) {
    WorkSpec lasting = job("lasting", servers, gpus, false);
    lasting.LongRunning = true;
    lasting.Steps[0].MaxPerServer = 1;
    submit(lasting);
    const PlannedRound round = plan();
    BOOST_REQUIRE(round.Starts.size() == servers);
    report(round.Starts, 100);
    return round.Starts;
  }

  void report(const std::vector<StartOrder> &runs, int percent) {
    for (const StartOrder &it : runs)
      Planner.recordProgress(it.Task, it.Run, it.Server, percent, Now);
  }

  std::size_t startsOfSmallJobs(const std::string &tag) {
    for (int n = 0; n < 4; ++n)
      submit(job(tag + std::to_string(n), 1, 1, false, 2));
    const PlannedRound round = plan();
    confirm(round);
    return round.Starts.size();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reservation, Fixture)

// Guards against work that never starts beside free servers, because they are
// kept for a gang that waits for the end of lasting work.
BOOST_AUTO_TEST_CASE(gang_gets_no_servers_that_lasting_work_occupies) {
  addServers(4);
  const auto lasting = startLasting(4, 3);
  submit(job("large", 4, 8, true));
  for (int n = 0; n < 10; ++n) {
    Now += Seconds(1);
    report(lasting, 100);
    BOOST_TEST(plan().Starts.empty());
  }
  BOOST_TEST(startsOfSmallJobs("small") == 4U);
}

BOOST_AUTO_TEST_CASE(gang_gets_the_servers_of_lasting_work_that_is_stopped) {
  addServers(2);
  const auto lasting = startLasting(2, 3);
  submit(job("large", 2, 8, true));
  BOOST_TEST(plan().Starts.empty());
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
  Planner.cancel(WorkId("lasting"), WallMs);
  // Expected ends are computed anew.
  BOOST_TEST(planAfter(PlannerOptions{}.ReleasesMaxAge).Starts.empty());
  BOOST_TEST(startsOfSmallJobs("small") == 0U);
  for (const StartOrder &it : lasting)
    end(it, RunOutcome::Stopped);
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 2U);
  BOOST_TEST(round.Starts[0].Task.Work.str() == "large");
}

// Guards against the servers of one service being kept for the urgent work of
// another, so that nothing starts there.
BOOST_AUTO_TEST_CASE(urgent_work_of_another_service_gets_no_servers) {
  addServers(8);
  ServerEntry other;
  other.Incarnation = incarnation(8);
  other.Service = "proofs";
  other.Rack = RackId("r4");
  other.Capacity = {128000, 512000, 8};
  Planner.putServer(other, Now);
  // No server of their own service is empty.
  for (int n = 0; n < 8; ++n)
    submit(job("urgent-" + std::to_string(n), 1, 5, false, 0));
  confirm(plan());
  WorkSpec proof = job("proof", 1, 1, false, 2);
  proof.Service = "proofs";
  submit(proof);
  BOOST_TEST(plan().Starts.size() == 1U);
}

// Guards against work that never starts because all servers that could hold it
// are kept for urgent work.
BOOST_AUTO_TEST_CASE(reserved_servers_take_work_that_fits_nowhere_else) {
  addServers(8);
  for (int n = 0; n < 8; ++n) {
    ServerEntry entry = Planner.servers().find(incarnation(n).Id)->Entry;
    entry.Labels.emplace_back(n == 0 ? "first" : "others");
    Planner.putServer(entry, Now);
  }
  for (int n = 0; n < 10; ++n) {
    WorkSpec urgent = job("urgent-" + std::to_string(n), 1, 5, false, 0);
    urgent.Steps[0].RequiredLabel = "others";
    submit(urgent);
  }
  confirm(plan());
  WorkSpec anywhere = job("anywhere", 1, 8, false, 2);
  submit(anywhere);
  BOOST_TEST(plan().Starts.empty());
  WorkSpec first = job("first", 1, 1, false, 2);
  first.Steps[0].RequiredLabel = "first";
  submit(first);
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 1U);
  BOOST_TEST(round.Starts[0].Task.Work.str() == "first");
}

namespace {

/// The platform's bound on the time in which a job has nothing running while
/// there is room for it.
constexpr Millis LongestIdle{3000};

/// Pod of eight servers, two of which have the label that a gang of two whole
/// servers needs. One of these is occupied, so that the gang keeps the other.
struct KeptServer : Fixture {
  explicit KeptServer(int unlabelledInUse) {
    addServers(8);
    for (int n = 0; n < 8; ++n) {
      ServerEntry entry = Planner.servers().find(incarnation(n).Id)->Entry;
      entry.Labels.emplace_back(n < 2 ? "rare" : "usual");
      Planner.putServer(entry, Now);
    }
    for (int n = 0; n < 1 + unlabelledInUse; ++n) {
      WorkSpec busy = labelled("busy-" + std::to_string(n), 1, 8);
      busy.Steps[0].RequiredLabel = n == 0 ? "rare" : "usual";
      busy.Steps[0].Requested.CpuMillis = 100000;
      submit(busy);
    }
    confirm(plan());
    WorkSpec gang = labelled("gang", 2, 8);
    gang.Steps[0].Gang = true;
    submit(gang);
    confirm(plan());
    BOOST_TEST(planAfter(Millis(500)).Starts.empty());
  }

  static WorkSpec labelled(const std::string &id, std::uint32_t tasks,
                           std::int64_t gpus) {
    WorkSpec spec = job(id, tasks, gpus, false);
    spec.Steps[0].RequiredLabel = "rare";
    return spec;
  }

  /// Number of starts within the bound, by rounds of 100 ms.
  std::size_t startsInTime() {
    std::size_t starts = 0;
    for (Millis waited(0); waited < LongestIdle; waited += Millis(100)) {
      const PlannedRound round = planAfter(Millis(100));
      confirm(round);
      starts += round.Starts.size();
    }
    return starts;
  }
};

struct QuietPod : KeptServer {
  QuietPod() : KeptServer(0) {}
};
struct BusyPod : KeptServer {
  BusyPod() : KeptServer(5) {}
};

} // namespace

// Guards against a job of which nothing runs for 3 s beside free servers, which
// are kept for a gang, on a service that is hardly used.
BOOST_FIXTURE_TEST_CASE(idle_job_takes_kept_room_of_a_quiet_service, QuietPod) {
  submit(labelled("small", 1, 1));
  BOOST_TEST(startsInTime() == 1U);
}

// Guards against servers that lose their reservation with each start on them,
// until the expected ends are computed again. One task of the job is enough.
BOOST_FIXTURE_TEST_CASE(job_that_runs_takes_no_kept_room, QuietPod) {
  submit(labelled("small", 4, 1));
  BOOST_TEST(startsInTime() == 1U);
}

// Guards against a wait that begins anew with each start that a server refuses.
BOOST_FIXTURE_TEST_CASE(refused_starts_do_not_prolong_the_wait, QuietPod) {
  ServerEntry small = Planner.servers().find(incarnation(0).Id)->Entry;
  small.Incarnation = incarnation(8);
  small.Capacity = {16000, 64000, 1};
  Planner.putServer(small, Now);
  submit(labelled("small", 1, 1));
  const auto startsOnKeptServer = [&] {
    const PlannedRound round = planAfter(Millis(100));
    for (const StartOrder &it : round.Starts) {
      if (it.Server != small.Incarnation)
        return true;
      Planner.recordStartRefusal(it.Task, it.Run, it.Server,
                                 StartRefusal::NoRoom, Now);
    }
    return false;
  };
  Millis waited(100);
  while (waited < LongestIdle && !startsOnKeptServer())
    waited += Millis(100);
  BOOST_TEST(waited.count() < LongestIdle.count());
}

BOOST_FIXTURE_TEST_CASE(kept_room_of_a_busy_service_is_left_to_the_gang,
                        BusyPod) {
  submit(labelled("small", 1, 1));
  BOOST_TEST(startsInTime() == 0U);
}

// Guards against lasting work that is away for 3 s beside kept room; the bound
// holds however full the service is.
BOOST_FIXTURE_TEST_CASE(lasting_work_takes_kept_room_of_a_busy_service,
                        BusyPod) {
  WorkSpec lasting = labelled("lasting", 1, 1);
  lasting.LongRunning = true;
  submit(lasting);
  BOOST_TEST(startsInTime() == 1U);
}

// Guards against lasting work that is away beside a server that is reserved for
// arrivals of urgent work, as the only other one with its label is full.
BOOST_AUTO_TEST_CASE(lasting_work_takes_a_server_reserved_for_arrivals) {
  addServers(8);
  for (int n = 0; n < 8; ++n) {
    ServerEntry entry = Planner.servers().find(incarnation(n).Id)->Entry;
    entry.Labels.emplace_back(n < 2 ? "rare" : "usual");
    Planner.putServer(entry, Now);
  }
  for (int n = 0; n < 7; ++n) {
    WorkSpec urgent = job("urgent-" + std::to_string(n), 1, 8, false, 0);
    urgent.Steps[0].RequiredLabel = n == 0 ? "rare" : "usual";
    submit(urgent);
  }
  confirm(plan());
  WorkSpec lasting = job("lasting", 1, 1, false);
  lasting.Steps[0].RequiredLabel = "rare";
  lasting.LongRunning = true;
  submit(lasting);
  BOOST_TEST(plan().Starts.empty());
  Millis waited(100);
  while (waited < LongestIdle && planAfter(Millis(100)).Starts.empty())
    waited += Millis(100);
  BOOST_TEST(waited.count() < LongestIdle.count());
}

BOOST_AUTO_TEST_SUITE_END()
