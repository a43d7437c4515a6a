// An entry VM that the store refuses makes its calls through a peer. It returns
// StoreBusy, which means that the call had no effect, only if no path left the
// outcome unknown.
#include "citrongap/store/batch_appender.h"
#include "citrongap/store/memory_store.h"
#include "citrongap/store/store_relay.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const TopicId Jobs("keyed.jobs");

struct Fixture {
  EventLoop Loop;
  MemoryStore Store{Loop};
  MemoryStoreView Refused{Store};
  MemoryStoreView Served{Store};
  bool PeerUnreachable = false;
  RelayedStore Relay{
      Loop, Refused,
      [this](const Endpoint &, const std::string &bytes, CallDeadline deadline,
             const std::function<void(std::optional<std::string>)> &done) {
        if (PeerUnreachable) {
          Timeouts.push_back(
              Loop.at(deadline.At, [done] { done(std::nullopt); }));
          return;
        }
        serveStoreCall(Served, bytes, deadline,
                       [done](std::string reply) { done(std::move(reply)); });
      },
      RelayOptions{Millis(20), Millis(60), 3, Millis(30)}};
  std::vector<Timer> Timeouts;

  Fixture() { Relay.setPeer("vm-2", {"10.0.0.2", 1}); }

  StoreResult<AppendAcknowledged> append(std::uint64_t sequence) {
    std::optional<StoreResult<AppendAcknowledged>> out;
    Relay.append(Jobs, {"vm-1", Epoch(1), sequence}, {{"k", "v"}},
                 monoNow() + Millis(80), [&](auto it) { out = std::move(it); });
    for (int n = 0; n < 30 && !out; ++n)
      Loop.runUntil(monoNow() + Millis(5));
    BOOST_REQUIRE(out);
    return *out;
  }
  static bool done(const StoreResult<AppendAcknowledged> &it) {
    return std::holds_alternative<AppendAcknowledged>(it);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_relay, Fixture)

BOOST_AUTO_TEST_CASE(refused_append_is_made_by_a_peer) {
  Refused.Faults.Busy = true;
  BOOST_TEST(done(append(0)));
  BOOST_TEST(Store.size(Jobs) == 1U);
}

BOOST_AUTO_TEST_CASE(append_without_an_answer_is_made_once) {
  Refused.Faults.LoseAnswers = true;
  BOOST_TEST(done(append(0)));
  BOOST_TEST(done(append(1)));
  BOOST_TEST(Store.size(Jobs) == 2U);
}

BOOST_AUTO_TEST_CASE(silent_store_is_reached_through_a_peer) {
  Refused.Faults.Silent = true;
  BOOST_TEST(done(append(0)));
  std::optional<std::size_t> seen;
  Relay.read(Jobs, LogOffset(0), monoNow(), monoNow() + Millis(200),
             [&](StoreResult<TopicPage> it) {
               if (auto *page = std::get_if<TopicPage>(&it))
                 seen = page->Records.size();
             });
  Loop.runUntil(monoNow() + Millis(150));
  BOOST_TEST(seen.value_or(0) == 1U);
}

BOOST_AUTO_TEST_CASE(busy_is_returned_only_when_every_path_answered) {
  Refused.Faults.Busy = true;
  PeerUnreachable = true;
  const auto result = append(0);
  BOOST_REQUIRE(!done(result));
  BOOST_TEST(std::holds_alternative<StoreOutcomeUnknown>(
      std::get<StoreError>(result)));
}

BOOST_AUTO_TEST_CASE(refusal_by_a_peer_is_not_definite_after_a_lost_answer) {
  Refused.Faults.LoseAnswers = true;
  Served.Faults.RefuseWith = 400;
  const auto result = append(0);
  BOOST_REQUIRE(!done(result));
  BOOST_TEST(std::holds_alternative<StoreOutcomeUnknown>(
      std::get<StoreError>(result)));
  BOOST_TEST(Store.size(Jobs) == 1U);
}

// Guards against a fence that a peer reports while the direct attempt has no
// answer: the record counted as not appended, but it is stored.
BOOST_AUTO_TEST_CASE(fence_by_a_peer_is_not_definite_after_a_lost_answer) {
  Refused.Faults.LoseAnswers = true;
  BatchAppender appender(Loop, Relay, Jobs, "vm-1", Epoch(1),
                         {Millis(80), Millis(5)});
  std::optional<AppendOutcome> outcome;
  appender.append({{"k", "v"}}, [&](AppendOutcome it) { outcome = it; });
  BOOST_REQUIRE(Store.size(Jobs) == 1U);
  Served.append(Jobs, {"vm-1", Epoch(2), 0}, {}, monoNow(),
                [](const auto &) {});
  for (int n = 0; n < 1000 && !outcome; ++n)
    Loop.runUntil(monoNow() + Millis(2));
  BOOST_REQUIRE(outcome);
  BOOST_TEST((*outcome == AppendOutcome::Unknown));
  BOOST_TEST(appender.fenced());
}

BOOST_AUTO_TEST_CASE(direct_path_is_used_again_when_it_works) {
  int changes = 0;
  Relay.OnRelaying = [&](bool, const std::string &) { ++changes; };
  Refused.Faults.Busy = true;
  BOOST_TEST(done(append(0)));
  Refused.Faults.Busy = false;
  Loop.runUntil(monoNow() + Millis(80));
  BOOST_TEST(done(append(1)));
  BOOST_TEST(changes == 2);
}

BOOST_AUTO_TEST_CASE(recovered_store_is_used_by_the_next_call) {
  Refused.Faults.Busy = true;
  Served.Faults.Busy = true;
  BOOST_TEST(!done(append(0)));
  Refused.Faults.Busy = false;
  // The peer is still refused, and the direct path was in backoff until the
  // first call failed on every path.
  BOOST_TEST(done(append(0)));
}

BOOST_AUTO_TEST_CASE(peer_that_is_refused_itself_is_not_chosen_again_soon) {
  // Three of ten peers reach the store; the others answer that they do not.
  std::map<std::uint16_t, int> calls;
  RelayedStore relay(
      Loop, Refused,
      [&](const Endpoint &peer, const std::string &bytes, CallDeadline deadline,
          const std::function<void(std::optional<std::string>)> &done) {
        ++calls[peer.Port];
        if (peer.Port > 3)
          done(encode(StoreReply(StoreError(StoreBusy{0}))));
        else
          serveStoreCall(Served, bytes, deadline,
                         [done](std::string reply) { done(std::move(reply)); });
      },
      RelayOptions{Millis(20), Millis(60), 3, Millis(30)});
  for (std::uint16_t n = 10; n > 0; --n)
    relay.setPeer("vm-" + std::to_string(10 - n), {"10.0.0.2", n});
  Refused.Faults.Busy = true;
  int appended = 0;
  for (std::uint64_t n = 0; n < 40; ++n) {
    relay.append(Jobs, {"vm-" + std::to_string(n), Epoch(1), 0}, {{"k", "v"}},
                 monoNow() + Millis(80),
                 [&](auto it) { appended += done(it); });
    Loop.runUntil(monoNow() + Millis(3));
  }
  int refused = 0;
  for (const auto &[port, n] : calls)
    refused += port > 3 ? n : 0;
  BOOST_TEST(appended >= 37);
  BOOST_TEST(refused <= 14);
}

BOOST_AUTO_TEST_CASE(peer_serves_small_loads_beside_one_bulk_read) {
  // The store sends a page in 1 s.
  Store.put(Jobs, {"k", std::string(1000, 'x')});
  Store.ReadBytesPerSecond = 1000;
  RelayedStore peer(
      Loop, Served,
      [](const Endpoint &, const std::string &, CallDeadline,
         const std::function<void(std::optional<std::string>)> &done) {
        done(std::nullopt);
      },
      RelayOptions{});
  const auto isRefused = [&](ReadSize size) {
    bool refused = false;
    peer.serve(encode(StoreCall(ReadLatestCall{Jobs, "", size})),
               CallDeadline(monoNow() + Seconds(2), Seconds(2)),
               [&](const std::string &bytes) {
                 const auto reply = decodeStoreReply(bytes);
                 refused = reply && std::holds_alternative<StoreError>(*reply);
               });
    return refused;
  };
  BOOST_TEST(!isRefused(ReadSize::Bulk));
  BOOST_TEST(isRefused(ReadSize::Bulk));
  BOOST_TEST(!isRefused(ReadSize::Small));
  // The callbacks refer to this scope.
  Loop.runUntil(monoNow() + Millis(2200));
}

BOOST_AUTO_TEST_CASE(load_of_an_earlier_build_is_read_as_bulk) {
  const std::string now = encode(StoreCall(ReadLatestCall{Jobs, "a"}));
  const auto earlier = decodeStoreCall(now.substr(0, now.size() - 1));
  BOOST_REQUIRE(earlier);
  BOOST_TEST((std::get<ReadLatestCall>(*earlier).Size == ReadSize::Bulk));
}

BOOST_AUTO_TEST_CASE(page_of_an_earlier_build_has_no_offsets) {
  LatestValuesPage page;
  page.Records = {{"a", "1"}, {"b", std::nullopt}};
  page.Offsets = {LogOffset(3), LogOffset(4)};
  page.End = LogOffset(7);
  const auto read = [](const std::string &bytes) {
    const auto reply = decodeStoreReply(bytes);
    BOOST_REQUIRE(reply);
    return std::get<LatestValuesPage>(*reply);
  };
  const std::string now = encode(StoreReply(page));
  BOOST_TEST((read(now).Offsets == page.Offsets));
  // A count and two offsets of 8 bytes each.
  const LatestValuesPage earlier = read(now.substr(0, now.size() - 24));
  BOOST_TEST((earlier.Records == page.Records));
  BOOST_TEST((earlier.End == page.End));
  BOOST_TEST(earlier.Offsets.empty());
  BOOST_TEST(read(now.substr(0, now.size() - 1)).Offsets.empty());
  // What a later build adds is ignored, as an earlier one ignores the offsets.
  BOOST_TEST((read(now + "more").Offsets == page.Offsets));
}

BOOST_AUTO_TEST_CASE(malformed_call_is_refused) {
  std::optional<StoreReply> reply;
  serveStoreCall(Served, "nonsense", monoNow(),
                 [&](const std::string &it) { reply = decodeStoreReply(it); });
  BOOST_REQUIRE(reply);
  BOOST_TEST(std::holds_alternative<StoreError>(*reply));
}

BOOST_AUTO_TEST_SUITE_END()
