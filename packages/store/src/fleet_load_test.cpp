// All entry VMs of a large site load a topic at once, as after a loss of power:
// the store's read rate is shared and the links are slow. The load goes on from
// the last key, so it ends after about the time that its bytes take.
#include "citrongap/store/memory_store.h"
#include "citrongap/store/topic_reader.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace citrongap;

namespace {

const TopicId Topic("keyed.jobs");
constexpr std::size_t Readers = 100;
constexpr std::size_t Keys = 200;
constexpr std::size_t RecordBytes = 1000;
/// With its key.
constexpr std::size_t TopicBytes = Keys * (RecordBytes + 6);

struct Fleet {
  EventLoop Loop;
  MemoryStore Store{Loop};
  struct Follower {
    Follower(Fleet &fleet, std::size_t linkBytesPerSecond)
        : View(fleet.Store),
          Reader(
              fleet.Loop, View, Topic,
              TopicReaderOptions{.Wait = Millis(0),
                                 .ReadInterval = Millis(200),
                                 .RetryDelay = Millis(15),
                                 .AnswerTimeout = Millis(100),
                                 .Load = ReadSize::Bulk,
                                 .LoadTimeout = Millis(150)},
              [](const KeyedRecord &) {}, [] {}) {
      View.LinkBytesPerSecond = linkBytesPerSecond;
    }
    MemoryStoreView View;
    TopicReader Reader;
  };
  std::deque<Follower> Followers;

  Fleet() {
    Store.LatestPageRecords = 20;
    Store.ReadBytesPerSecond = 10'000'000;
    for (std::size_t n = 0; n < Keys; ++n) {
      std::string key = std::to_string(n);
      key.insert(0, 6 - key.size(), '0');
      Store.put(Topic, {key, std::string(RecordBytes, 'x')});
    }
    for (std::size_t n = 0; n < Readers; ++n)
      Followers.emplace_back(*this, 400'000);
  }

  void start() {
    for (Follower &it : Followers)
      it.Reader.start();
  }
  std::size_t loaded() const {
    return static_cast<std::size_t>(
        std::count_if(Followers.begin(), Followers.end(),
                      [](const Follower &it) { return it.Reader.loaded(); }));
  }
  /// Number of loaded followers after `limit`, or as soon as all are.
  std::size_t loadedWithin(Millis limit) {
    const MonoTime end = monoNow() + limit;
    while (loaded() < Readers && monoNow() < end)
      Loop.runUntil(monoNow() + Millis(20));
    return loaded();
  }
  /// Most bytes that one follower was sent, as a multiple of the topic's size.
  double mostBytes() const {
    std::size_t most = 0;
    for (const Follower &it : Followers)
      most = std::max(most, it.View.bytesSent());
    return static_cast<double>(most) / static_cast<double>(TopicBytes);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_load, Fleet)

// The bytes of all loads take 2 s at the store's rate.
BOOST_AUTO_TEST_CASE(hundred_readers_load_at_once_in_the_time_of_their_bytes) {
  start();
  BOOST_TEST(loadedWithin(Millis(4000)) == Readers);
  BOOST_TEST(mostBytes() <= 1.3);
}

BOOST_AUTO_TEST_CASE(refused_load_goes_on_from_its_last_key) {
  start();
  for (int n = 0; n < 4; ++n) {
    loadedWithin(Millis(250));
    for (Follower &it : Followers)
      it.View.Faults.Busy = n % 2 == 0;
  }
  BOOST_TEST(loadedWithin(Millis(4000)) == Readers);
  BOOST_TEST(mostBytes() <= 1.3);
}

BOOST_AUTO_TEST_CASE(load_behind_a_silent_path_goes_on_from_its_last_key) {
  start();
  loadedWithin(Millis(500));
  for (Follower &it : Followers)
    it.View.Faults.Silent = true;
  loadedWithin(Millis(400));
  for (Follower &it : Followers)
    it.View.Faults.Silent = false;
  BOOST_TEST(loadedWithin(Millis(5000)) == Readers);
  BOOST_TEST(mostBytes() <= 1.3);
}

BOOST_AUTO_TEST_SUITE_END()
