// Server table: when a draining server is expected to leave.
#include "citrongap/workload/server_table.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Start = monoFromMillis(10'000);

ServerEntry draining(std::int64_t remainingMs) {
  ServerEntry entry;
  entry.Incarnation = {BackendServerId("s"), 1};
  entry.Draining = true;
  entry.DrainRemainingMs = remainingMs;
  return entry;
}

} // namespace

// Guards against: the remaining time of a notice that is read late counts from
// the reading, and the task that should make room is left until the server
// leaves.
BOOST_AUTO_TEST_CASE(later_report_corrects_a_drain_notice_that_was_read_late) {
  ServerTable table;
  table.put(draining(20000), Start + Millis(8000));
  const ServerSlot &slot = table.put(draining(11000), Start + Millis(9000));
  BOOST_CHECK(slot.EarliestDepartureAt == Start + Millis(20000));
}

BOOST_AUTO_TEST_CASE(later_report_never_puts_the_departure_off) {
  ServerTable table;
  table.put(draining(20000), Start);
  const ServerSlot &slot = table.put(draining(19000), Start + Millis(5000));
  BOOST_CHECK(slot.EarliestDepartureAt == Start + Millis(20000));
}

BOOST_AUTO_TEST_CASE(second_drain_of_one_incarnation_has_its_own_departure) {
  ServerTable table;
  table.put(draining(1000), Start);
  ServerEntry serving = draining(0);
  serving.Draining = false;
  table.put(serving, Start + Millis(500));
  const ServerSlot &slot = table.put(draining(20000), Start + Millis(9000));
  BOOST_CHECK(slot.EarliestDepartureAt == Start + Millis(29000));
}
