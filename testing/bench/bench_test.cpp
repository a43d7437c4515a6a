// The bench's own parts: what it counts as a violation, and its bound.
#include "measures.h"
#include "workload_builder.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using namespace citrongap::bench;

namespace {

const DataCentreEntry Site{DataCentreId("dc"), 2, 2, {8}};

SlotMap slots() {
  SlotMap map;
  for (const auto &it : serversOf(Site))
    map.addServer(it);
  return map;
}

PlacementPart part(const std::string &server, std::uint32_t count) {
  PlacementPart it{BackendServerId(server), {}};
  for (std::uint32_t i = 0; i < count; ++i)
    it.Slots.push_back(i);
  return it;
}

BenchJob job(std::uint32_t gang, std::int64_t runMs) {
  BenchJob it;
  it.Request.Gang.Count = gang;
  it.RunMs = runMs;
  return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(placements_that_are_not_whole_free_and_adjacent_count) {
  SlotMap map = slots();
  BOOST_TEST(!map.take({{part("s000-00", 4)}}, {8}));
  BOOST_TEST(!map.take({{part("s000-00", 4), part("s000-01", 4)}}, {8}));
  BOOST_TEST(!map.take({{part("s000-00", 8), part("s001-00", 8)}}, {16}));
  BOOST_TEST(!map.take({{part("s000-00", 4), part("s000-00", 4)}}, {8}));
  BOOST_TEST(map.take({{part("s000-00", 8), part("s000-01", 8)}}, {16}));
  BOOST_TEST(!map.take({{part("s000-01", 1)}}, {1}));
  BOOST_TEST(map.free().Count == 16U);
  BOOST_TEST(map.largest().Count == 16U);
}

BOOST_AUTO_TEST_CASE(the_bound_is_exact_where_jobs_take_the_whole_pod) {
  Workload workload;
  workload.Site = Site;
  workload.Jobs = {job(32, 120000), job(32, 60000)};
  // The shorter one first: done at 1 and 3 minutes.
  BOOST_TEST(boundMeanCompletion(workload) == 2.0,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(no_scheduler_of_the_bench_beats_the_bound) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    WorkloadBuilder builder("small", Site, seed);
    builder.account("a", {});
    JobFamily family;
    family.Account = "a";
    family.Gangs = {1, 4, 8, 16, 32};
    const Workload workload = builder.load(family, 0.9, 0, 4).build(8, 24);
    const double bound = boundMeanCompletion(workload);
    for (const bool quotas : {false, true}) {
      const auto result =
          simulate(workload, BaselineScheduler({Fit::Best, quotas, quotas}));
      BOOST_TEST(measure(workload, result).MeanCompletion >= bound);
      BOOST_TEST(result.Violations == 0U);
    }
    const auto ours =
        simulate(workload, PodScheduler(PodId("p"), Site.DataCentre));
    BOOST_TEST(measure(workload, ours).MeanCompletion >= bound);
    BOOST_TEST(ours.Violations == 0U);
  }
}
