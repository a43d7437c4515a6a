// A reader gets the latest value of every key, also after the store has
// truncated the records that the reader had not read yet.
#include "citrongap/store/memory_store.h"
#include "citrongap/store/topic_reader.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <list>
#include <map>

using namespace citrongap;

namespace {

const TopicId Topic("keyed.op");

struct Fixture {
  EventLoop Loop;
  MemoryStore Store{Loop};
  MemoryStoreView View{Store};
  std::map<std::string, std::string> Seen;
  TopicReader Reader{Loop,
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

/// A view whose answers to reads arrive some time after the store gave them.
struct LateView : MemoryStoreView {
  LateView(EventLoop &loop, MemoryStore &store, Millis delay)
      : MemoryStoreView(store), Loop(loop), Delay(delay) {}

  void read(const TopicId &topic, LogOffset from, MonoTime waitUntil,
            MonoTime deadline, StoreCallback<TopicPage> done) override {
    MemoryStoreView::read(
        topic, from, waitUntil, deadline,
        [this, done](const StoreResult<TopicPage> &result) {
          Answers.push_back(
              Loop.at(monoNow() + Delay, [done, result] { done(result); }));
          OnAnswered();
        });
  }

  EventLoop &Loop;
  Millis Delay;
  /// Called when the store has given an answer, before it arrives.
  std::function<void()> OnAnswered;
  std::list<Timer> Answers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(topic_reader, Fixture)

BOOST_AUTO_TEST_CASE(reads_all_pages_then_what_follows) {
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "old"});
  Store.compact(Topic);
  Reader.start();
  runFor(Millis(30));
  BOOST_TEST(Seen.size() == 8U);
  Store.put(Topic, {"k3", "new"});
  Store.put(Topic, {"k4", std::nullopt});
  runFor(Millis(30));
  BOOST_TEST(Seen["k3"] == "new");
  BOOST_TEST(!Seen.contains("k4"));
}

BOOST_AUTO_TEST_CASE(truncated_reader_reloads_the_latest_values) {
  Store.put(Topic, {"a", "1"});
  Reader.start();
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

BOOST_AUTO_TEST_CASE(read_now_does_not_interrupt_an_incomplete_reload) {
  Reader.start();
  runFor(Millis(20));
  View.Faults.Silent = true;
  runFor(Millis(60));
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "1"});
  Store.compact(Topic);
  // The first page is answered; the second is not until a later iteration.
  bool failed = false;
  Reader.OnReload = [&] { View.Faults.Silent = !failed; };
  View.Faults.Silent = false;
  for (int n = 0; n < 300; ++n) {
    runFor(Millis(1));
    failed = failed || (View.Faults.Silent && n > 100);
    if (failed)
      View.Faults.Silent = false;
    Reader.readNow();
  }
  BOOST_TEST(Seen.size() == 8U);
}

BOOST_AUTO_TEST_CASE(next_offset_is_never_ahead_of_the_records_seen) {
  Reader.start();
  runFor(Millis(20));
  const LogOffset before = Reader.nextOffset();
  View.Faults.Silent = true;
  runFor(Millis(60));
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "1"});
  Store.compact(Topic);
  View.Faults.Silent = false;
  const MonoTime limit = monoNow() + Millis(500);
  while (Reader.nextOffset() == before && monoNow() < limit)
    Loop.runUntil(monoNow());
  BOOST_TEST((Reader.nextOffset() > before));
  BOOST_TEST(Seen.size() == 8U);
}

BOOST_AUTO_TEST_CASE(
    current_as_of_stands_still_while_the_store_is_unreachable) {
  Reader.start();
  runFor(Millis(60));
  BOOST_REQUIRE(Reader.currentAsOf());
  View.Faults.Busy = true;
  runFor(Millis(100));
  const MonoTime stale = *Reader.currentAsOf();
  BOOST_TEST((monoNow() - stale >= Millis(40)));
  View.Faults.Busy = false;
  runFor(Millis(100));
  BOOST_TEST((*Reader.currentAsOf() > stale));
}

BOOST_AUTO_TEST_CASE(restart_during_a_read_reads_each_record_once) {
  int seen = 0;
  TopicReader reader(
      Loop, View, Topic,
      TopicReaderOptions{.Wait = Millis(40), .RetryDelay = Millis(5)},
      [&](const KeyedRecord &) { ++seen; }, [] {});
  reader.start();
  runFor(Millis(20));
  reader.stop();
  reader.start();
  runFor(Millis(10));
  Store.put(Topic, {"a", "1"});
  Store.put(Topic, {"b", "1"});
  runFor(Millis(60));
  BOOST_TEST(seen == 2);
}

// Guards against a load whose later pages are ahead of the first one: the
// records in order after it led a key back to earlier values.
BOOST_AUTO_TEST_CASE(key_never_goes_back_after_a_load_of_several_pages) {
  for (int n = 0; n < 8; ++n)
    Store.put(Topic, {"k" + std::to_string(n), "1"});
  std::vector<std::string> seen;
  TopicReader reader(
      Loop, View, Topic,
      TopicReaderOptions{.Wait = Millis(40), .RetryDelay = Millis(5)},
      [&](const KeyedRecord &it) {
        if (it.Key == "k7")
          seen.push_back(it.Value.value_or("removed"));
      },
      [] {});
  reader.OnReload = [&] {
    Store.put(Topic, {"k7", "2"});
    Store.put(Topic, {"k7", std::nullopt});
    Store.put(Topic, {"k7", "3"});
  };
  reader.start();
  runFor(Millis(30));
  Store.put(Topic, {"k7", "4"});
  Store.put(Topic, {"k7", "5"});
  runFor(Millis(30));
  const std::vector<std::string> expected{"3", "4", "5"};
  BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

// Guards against an answer that arrives late: the topic counted as current up
// to its arrival, beyond records that the store had appended meanwhile.
BOOST_AUTO_TEST_CASE(late_answer_without_records_claims_no_later_records) {
  LateView late(Loop, Store, Millis(60));
  std::optional<MonoTime> appendedAt;
  bool seen = false;
  Timer appendTimer;
  TopicReader reader(
      Loop, late, Topic,
      TopicReaderOptions{.Wait = Millis(40), .RetryDelay = Millis(5)},
      [&](const KeyedRecord &) { seen = true; }, [] {});
  late.OnAnswered = [&] {
    if (!reader.currentAsOf() || appendTimer.pending() || appendedAt)
      return;
    // The store in memory may end a wait a few milliseconds early.
    appendTimer = Loop.at(monoNow() + Millis(20), [&] {
      appendTimer.cancel();
      appendedAt = monoNow();
      Store.put(Topic, {"a", "1"});
    });
  };
  reader.start();
  for (int n = 0; n < 400 && !seen; ++n) {
    runFor(Millis(1));
    if (appendedAt && !seen)
      BOOST_REQUIRE((*reader.currentAsOf() <= *appendedAt));
  }
  BOOST_TEST(seen);
}

BOOST_AUTO_TEST_SUITE_END()
