// A reader of a topic sees every key's newest value, also after a cut.
#include "citrongap/store/memory_store.h"
#include "citrongap/store/topic_reader.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace citrongap;

namespace {

const TopicId Topic("keyed.op");

struct Fixture {
  EventLoop Loop;
  MemoryStore Store{Loop};
  MemoryStoreView View{Store};
  std::map<std::string, std::string> Seen;
  TopicReader Tail{Loop,
                   View,
                   Topic,
                   TopicReaderOptions{.Wait = Millis(40),
                                      .RetryDelay = Millis(5),
                                      .AnswerTimeout = Millis(40)},
                   [this](const KeyedRecord &it) {
                     if (it.Value)
                       Seen[it.Key] = *it.Value;
                     else
                       Seen.erase(it.Key);
                   },
                   [] {}};

  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(topic_tail, Fixture)

BOOST_AUTO_TEST_CASE(reads_all_pages_then_what_follows) {
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "old"});
  Store.compact(Topic);
  Tail.start();
  runFor(Millis(30));
  BOOST_TEST(Seen.size() == 8U);
  Store.put(Topic, {"k3", "new"});
  Store.put(Topic, {"k4", std::nullopt});
  runFor(Millis(30));
  BOOST_TEST(Seen["k3"] == "new");
  BOOST_TEST(!Seen.contains("k4"));
}

BOOST_AUTO_TEST_CASE(cut_history_is_made_up_for_by_the_newest) {
  Store.put(Topic, {"a", "1"});
  Tail.start();
  runFor(Millis(20));
  View.Faults.Silent = true;
  runFor(Millis(60));
  Store.put(Topic, {"a", "2"});
  Store.put(Topic, {"b", "1"});
  Store.compact(Topic);
  View.Faults.Silent = false;
  runFor(Millis(150));
  BOOST_TEST(Seen["a"] == "2");
  BOOST_TEST(Seen["b"] == "1");
}

BOOST_AUTO_TEST_CASE(poke_does_not_end_a_reload_that_has_not_seen_all) {
  Tail.start();
  runFor(Millis(20));
  View.Faults.Silent = true;
  runFor(Millis(60));
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "1"});
  Store.compact(Topic);
  // The first page comes, the second does not for a while.
  bool failed = false;
  Tail.OnReload = [&] { View.Faults.Silent = !failed; };
  View.Faults.Silent = false;
  for (int n = 0; n < 300; ++n) {
    runFor(Millis(1));
    failed = failed || (View.Faults.Silent && n > 100);
    if (failed)
      View.Faults.Silent = false;
    Tail.readNow();
  }
  BOOST_TEST(Seen.size() == 8U);
}

BOOST_AUTO_TEST_CASE(place_in_the_topic_is_never_ahead_of_what_was_seen) {
  Tail.start();
  runFor(Millis(20));
  const LogOffset before = Tail.nextOffset();
  View.Faults.Silent = true;
  runFor(Millis(60));
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "1"});
  Store.compact(Topic);
  View.Faults.Silent = false;
  const MonoTime limit = monoNow() + Millis(500);
  while (Tail.nextOffset() == before && monoNow() < limit)
    Loop.runUntil(monoNow());
  BOOST_TEST((Tail.nextOffset() > before));
  BOOST_TEST(Seen.size() == 8U);
}

BOOST_AUTO_TEST_CASE(freshness_ends_while_the_store_is_away) {
  Tail.start();
  runFor(Millis(60));
  BOOST_REQUIRE(Tail.currentAsOf());
  View.Faults.Busy = true;
  runFor(Millis(100));
  const MonoTime stale = *Tail.currentAsOf();
  BOOST_TEST((monoNow() - stale >= Millis(40)));
  View.Faults.Busy = false;
  runFor(Millis(100));
  BOOST_TEST((*Tail.currentAsOf() > stale));
}

BOOST_AUTO_TEST_CASE(restart_while_a_read_is_out_reads_each_record_once) {
  int seen = 0;
  TopicReader tail(
      Loop, View, Topic,
      TopicReaderOptions{.Wait = Millis(40), .RetryDelay = Millis(5)},
      [&](const KeyedRecord &) { ++seen; }, [] {});
  tail.start();
  runFor(Millis(20));
  tail.stop();
  tail.start();
  runFor(Millis(10));
  Store.put(Topic, {"a", "1"});
  Store.put(Topic, {"b", "1"});
  runFor(Millis(60));
  BOOST_TEST(seen == 2);
}

BOOST_AUTO_TEST_SUITE_END()
