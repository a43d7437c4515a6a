// Repeating jobs of which thousands of occurrences are due at once, as after an
// outage.
#include "planner_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ctime>

using namespace citrongap;

namespace {

constexpr int ServerCount = 6;
constexpr std::size_t Accelerators = std::size_t{8} * ServerCount;
constexpr std::uint32_t DueOccurrences = 5000;
/// Processor time of a round on an entry VM with a quarter of a core whose
/// rounds follow each other every 100 ms.
constexpr double MaxRoundSeconds = 0.025;

struct SeriesFixture : PlannerFixture {
  SeriesFixture() { addServers(ServerCount); }

  WorkSpec series(const std::string &id, std::uint32_t occurrences,
                  std::uint32_t priority = 1) const {
    WorkSpec spec = job(id, 1, 1, false, priority);
    spec.Steps[0].Requested = {1000, 1024, 1};
    spec.Repetitions = occurrences;
    spec.FirstDueMs = WallMs - Millis(Seconds(3600)).count();
    spec.IntervalMs = 500;
    return spec;
  }
  void submitThree(std::uint32_t priority) {
    for (const char *it : {"a", "b", "c"})
      submit(series(it, DueOccurrences, priority));
  }
  /// The state of such a job as a build stored it that added all due
  /// occurrences.
  static WorkRecord allAdded(const WorkSpec &spec) {
    WorkRecord record;
    record.Occurrences.resize(spec.Repetitions);
    for (Occurrence &it : record.Occurrences) {
      it.Steps.resize(1);
      it.Steps[0].Tasks.resize(1);
    }
    return record;
  }
  /// Runs rounds and ends all that they start as done. Returns the longest
  /// processor time of one, in seconds, of the median of three each.
  double longestRound(int rounds) {
    std::vector<double> times;
    for (int n = 0; n < rounds; ++n) {
      const std::clock_t from = std::clock();
      const PlannedRound round = planAfter(Millis(1000));
      times.push_back(static_cast<double>(std::clock() - from) /
                      CLOCKS_PER_SEC);
      BOOST_TEST(round.Starts.size() >= Accelerators * 3 / 4);
      for (const StartOrder &it : round.Starts)
        end(it, RunOutcome::Done);
    }
    double longest = 0;
    for (std::size_t n = 0; n + 2 < times.size(); n += 3) {
      std::sort(times.begin() + static_cast<std::ptrdiff_t>(n),
                times.begin() + static_cast<std::ptrdiff_t>(n) + 3);
      longest = std::max(longest, times[n + 1]);
    }
    return longest;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(series_load, SeriesFixture)

// Guards against rounds whose time grows with the square of the due
// occurrences: they blocked each owner for longer than its session lasts.
BOOST_AUTO_TEST_CASE(rounds_stay_short_under_thousands_of_due_occurrences) {
  submitThree(1);
  BOOST_TEST(longestRound(30) <= MaxRoundSeconds);
}

// The same, for work that may preempt other work.
BOOST_AUTO_TEST_CASE(rounds_stay_short_under_urgent_occurrences) {
  submitThree(0);
  BOOST_TEST(longestRound(30) <= MaxRoundSeconds);
  // All accelerators are in use.
  plan();
  BOOST_TEST(plan().Starts.empty());
  const std::clock_t from = std::clock();
  planAfter(Millis(8000));
  BOOST_TEST(static_cast<double>(std::clock() - from) / CLOCKS_PER_SEC <=
             MaxRoundSeconds);
}

// The same, after a take-over from a build that added all due occurrences.
BOOST_AUTO_TEST_CASE(rounds_stay_short_with_a_state_of_an_earlier_build) {
  for (const char *it : {"a", "b", "c"}) {
    const WorkSpec spec = series(it, DueOccurrences);
    Planner.addWork(spec, allAdded(spec), Now);
  }
  BOOST_TEST(longestRound(30) <= MaxRoundSeconds);
}

// Guards against a state that is stored with each start and end, and is large
// because of occurrences that wait.
BOOST_AUTO_TEST_CASE(state_does_not_grow_with_the_due_occurrences) {
  submitThree(1);
  longestRound(30);
  for (const char *it : {"a", "b", "c"})
    BOOST_TEST(encode(Planner.find(WorkId(it))->Record).size() <= 10000U);
}

// All occurrences run, each once, and the earlier ones first.
BOOST_AUTO_TEST_CASE(all_due_occurrences_run_in_order) {
  submit(series("a", 700));
  std::vector<std::uint32_t> started;
  for (int n = 0; n < 100 && phase("a") != WorkPhase::Completed; ++n)
    for (const StartOrder &it : planAfter(Millis(1000)).Starts) {
      started.push_back(it.Task.Occurrence);
      end(it, RunOutcome::Done);
    }
  BOOST_TEST((phase("a") == WorkPhase::Completed));
  BOOST_TEST(started.size() == 700U);
  BOOST_TEST(std::is_sorted(started.begin(), started.end()));
}

// An occurrence that ends last, long after the later ones, is not passed over.
BOOST_AUTO_TEST_CASE(occurrence_that_outlasts_the_later_ones_is_awaited) {
  submit(series("a", 300));
  std::vector<StartOrder> starts = plan().Starts;
  const StartOrder first = starts.front();
  starts.erase(starts.begin());
  for (int n = 0; n < 100; ++n) {
    for (const StartOrder &it : starts)
      end(it, it.Task.Occurrence % 7 == 0 && it.Run == 1 ? RunOutcome::Stopped
                                                         : RunOutcome::Done);
    starts = planAfter(Millis(100)).Starts;
  }
  BOOST_TEST(starts.empty());
  BOOST_TEST(!ended(phase("a")));
  end(first, RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

// Guards against guaranteed work that waits behind the occurrences.
BOOST_AUTO_TEST_CASE(guaranteed_job_starts_beside_due_occurrences) {
  Planner.setGuarantees({{ClientAccountId("quetta"), 8}});
  submitThree(1);
  plan();
  submit(job("u", 1, 1, false, 0));
  constexpr Millis ReclaimBound{3400};
  bool started = false;
  for (Millis waited{0}; waited < ReclaimBound && !started;
       waited += Millis(100)) {
    const PlannedRound round = planAfter(Millis(100));
    for (const StartOrder &it : round.Starts)
      started = started || it.Task.Work.str() == "u";
    for (const StopOrder &it : round.Stops)
      Planner.recordRunEnd(it.Task, it.Run, it.Server, RunOutcome::Stopped, "",
                           Now, WallMs);
  }
  BOOST_TEST(started);
}

BOOST_AUTO_TEST_SUITE_END()
