// Offsets, retention and paging of the log model.
#include "citrongap/standins/log_model.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using namespace citrongap::standins;

namespace {
const MonoTime Start = monoFromMillis(1000);
} // namespace

BOOST_AUTO_TEST_CASE(offsets_rise_by_one_and_appends_stand_together) {
  LogModel log{{}};
  BOOST_TEST(log.append("claims", {"a", "b"}, Start).value() == 0U);
  BOOST_TEST(log.append("claims", {"c"}, Start).value() == 2U);
  BOOST_TEST(log.append("other", {"d"}, Start).value() == 0U);
  const auto page = log.read("claims", LogOffset(1), {}, Start);
  BOOST_REQUIRE(page.Records.size() == 2U);
  BOOST_TEST(page.Records[0].Offset.value() == 1U);
  BOOST_TEST(page.Records[0].Body == "b");
  BOOST_TEST(page.End.value() == 3U);
}

BOOST_AUTO_TEST_CASE(old_records_leave_reads_but_not_the_dump) {
  LogModel log{{Millis(100), 1000}};
  log.append("claims", {"old"}, Start);
  log.append("claims", {"new"}, Start + Millis(60));
  const auto page = log.read("claims", LogOffset(0), {}, Start + Millis(100));
  BOOST_TEST(page.FirstRetained.value() == 1U);
  BOOST_REQUIRE(page.Records.size() == 1U);
  BOOST_TEST(page.Records[0].Body == "new");
  BOOST_TEST(log.dump("claims").Records.size() == 2U);
}

BOOST_AUTO_TEST_CASE(offsets_go_on_when_every_record_was_dropped) {
  LogModel log{{Millis(100), 1000}};
  log.append("claims", {"old"}, Start);
  const MonoTime later = Start + Millis(500);
  const auto page = log.read("claims", LogOffset(0), {}, later);
  BOOST_TEST(page.FirstRetained.value() == 1U);
  BOOST_TEST(page.End.value() == 1U);
  BOOST_TEST(log.append("claims", {"new"}, later).value() == 1U);
}

BOOST_AUTO_TEST_CASE(the_count_is_kept_within_the_retention) {
  LogModel log{{Millis(1000), 2}};
  log.append("claims", {"a", "b", "c"}, Start);
  const auto page = log.read("claims", LogOffset(0), {}, Start);
  BOOST_TEST(page.FirstRetained.value() == 1U);
  BOOST_TEST(page.Records.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_read_stops_at_its_limits_and_always_moves_on) {
  LogModel log{{}};
  log.append("claims", {"aaaa", "bbbb", "cccc"}, Start);
  BOOST_TEST(log.read("claims", LogOffset(0), {2, 100}, Start).Records.size() ==
             2U);
  BOOST_TEST(log.read("claims", LogOffset(0), {9, 8}, Start).Records.size() ==
             2U);
  BOOST_TEST(log.read("claims", LogOffset(0), {9, 1}, Start).Records.size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(stream_names_are_checked) {
  BOOST_TEST(isStreamName("claims-2"));
  BOOST_TEST(!isStreamName(""));
  BOOST_TEST(!isStreamName("Claims"));
  BOOST_TEST(!isStreamName("a/b"));
}
