// The plan of a seed.
#include "fault_plan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace citrongap;
using namespace citrongap::soak;

BOOST_AUTO_TEST_SUITE(fault_plan)

BOOST_AUTO_TEST_CASE(series_kinds_are_not_drawn_one_by_one) {
  const MonoTime from{Millis(1000)};
  for (const PlannedFault &it :
       planFaults(7, 1000, from, from + Seconds(12), {}))
    BOOST_TEST((it.Kind <= FaultKind::Publish));
}

BOOST_AUTO_TEST_CASE(series_cuts_servers_off_while_their_calls_are_late) {
  SiteShape shape;
  shape.MaxLease = Millis(3000);
  const MonoTime from{Millis(1000)};
  const MonoTime until = from + seriesLength(shape) * 2;
  std::size_t killed = 0;
  std::size_t cut = 0;
  for (const PlannedFault &it : planSeries(7, from, until, shape)) {
    BOOST_TEST((it.At + it.Span <= until));
    killed += it.Kind == FaultKind::OwnerKilled ? 1U : 0U;
    const bool isCut = it.Kind == FaultKind::ServerCut ||
                       it.Kind == FaultKind::ServerAnswersLost;
    cut += isCut ? 1U : 0U;
    // Up to a lease is left of those that the lost owner gave.
    if (isCut)
      BOOST_TEST((it.Span > shape.MaxLease));
  }
  BOOST_TEST(killed == 2U);
  BOOST_TEST(cut > 0U);
}

BOOST_AUTO_TEST_CASE(data_centre_is_cut_in_each_series_and_calm_follows) {
  const MonoTime from{Millis(1000)};
  std::size_t cuts = 0;
  MonoTime last = from;
  for (const PlannedFault &it :
       planDataCentres(7, 5, from, from + Seconds(22), guildSite())) {
    const bool cut = it.Kind >= FaultKind::DataCentreFromStore;
    cuts += cut ? 1U : 0U;
    if (cut)
      BOOST_TEST(it.Target < 3U);
    last = std::max(last, it.At + it.Span);
  }
  BOOST_TEST(cuts == 2U);
  BOOST_TEST((last < from + Seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
