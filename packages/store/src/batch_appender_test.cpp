// Records are appended once and in order, also when answers are lost or calls
// are refused.
#include "citrongap/store/batch_appender.h"
#include "citrongap/store/memory_store.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <list>

using namespace citrongap;

namespace {

const TopicId Jobs("keyed.jobs");
constexpr AppenderOptions QuickOptions{Millis(30), Millis(5)};

/// A view that gives the next answers to appends itself.
struct ScriptedView : MemoryStoreView {
  ScriptedView(EventLoop &loop, MemoryStore &store)
      : MemoryStoreView(store), Loop(loop) {}

  void append(const TopicId &, const AppendStamp &,
              const std::vector<KeyedRecord> &, MonoTime,
              StoreCallback<AppendAcknowledged> done) override {
    BOOST_REQUIRE(!Answers.empty());
    Posted.push_back(
        Loop.at(monoNow(), [done, answer = Answers.front()] { done(answer); }));
    Answers.pop_front();
  }

  EventLoop &Loop;
  std::deque<StoreError> Answers;
  std::list<Timer> Posted;
};

struct Fixture {
  EventLoop Loop;
  MemoryStore Store{Loop};
  MemoryStoreView View{Store};
  BatchAppender Appender{Loop, View, Jobs, "vm-1", Epoch(1), QuickOptions};
  int Appended = 0;
  int Failed = 0;
  int Unknown = 0;

  void append(const std::string &key) { append(Appender, key); }
  void append(BatchAppender &appender, const std::string &key) {
    appender.append({{key, "v"}}, [this](AppendOutcome it) {
      Appended += it == AppendOutcome::Appended ? 1 : 0;
      Failed += it == AppendOutcome::NotAppended ? 1 : 0;
      Unknown += it == AppendOutcome::Unknown ? 1 : 0;
    });
  }
  /// The outcome of an append that the store answers so.
  void appendWith(std::deque<StoreError> answers) {
    ScriptedView view(Loop, Store);
    view.Answers = std::move(answers);
    BatchAppender appender(Loop, view, Jobs, "vm-4", Epoch(1), QuickOptions);
    append(appender, "a");
    runUntil([&] { return appender.idle(); });
    BOOST_TEST(view.Answers.empty());
  }
  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }
  /// Runs the loop until `done`. Time in which the process was not scheduled
  /// does not count towards the limit.
  void runUntil(const std::function<bool()> &done) {
    for (int n = 0; n < 5000 && !done(); ++n)
      runFor(Millis(2));
    BOOST_REQUIRE(done());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_appender, Fixture)

BOOST_AUTO_TEST_CASE(record_is_appended_once_when_the_answer_is_lost) {
  View.Faults.LoseAnswers = true;
  append("a");
  runUntil([this] { return Store.appendCalls() >= 3U; });
  BOOST_TEST(Appended + Failed + Unknown == 0);
  View.Faults.LoseAnswers = false;
  runUntil([this] { return Appender.idle(); });
  BOOST_TEST(Appended == 1);
  // A second report would come by the end of this, or a repeat of the record
  // before the next one.
  runFor(QuickOptions.AnswerTimeout + QuickOptions.RetryDelay);
  append("b");
  runUntil([this] { return Appender.idle(); });
  BOOST_TEST(Appended == 2);
  BOOST_TEST(Failed + Unknown == 0);
  const std::vector<KeyedRecord> expected{{"a", "v"}, {"b", "v"}};
  BOOST_TEST((Store.records(Jobs) == expected));
}

BOOST_AUTO_TEST_CASE(append_is_retried_while_the_store_is_busy) {
  View.Faults.Busy = true;
  append("a");
  append("b");
  runFor(Millis(30));
  View.Faults.Busy = false;
  runFor(Millis(60));
  BOOST_TEST(Appended == 2);
  BOOST_TEST(Store.size(Jobs) == 2U);
}

// Guards against a batch that the store refuses since its appends are too large
// for one call only together.
BOOST_AUTO_TEST_CASE(appends_too_large_for_one_call_are_sent_apart) {
  Store.MaxCallBytes = 800;
  AppenderOptions options = QuickOptions;
  options.MaxBatchBytes = 500;
  BatchAppender appender(Loop, View, Jobs, "vm-3", Epoch(1), options);
  append(appender, "a");
  for (const char *it : {"b", "c"})
    append(appender, it + std::string(450, 'x'));
  runUntil([&] { return appender.idle(); });
  BOOST_TEST(Appended == 3);
  BOOST_TEST(Failed + Unknown == 0);
}

BOOST_AUTO_TEST_CASE(batch_that_is_only_refused_fails_and_is_never_appended) {
  BatchAppender limited(Loop, View, Jobs, "vm-3", Epoch(1),
                        {Millis(30), Millis(5), Millis(20)});
  View.Faults.Busy = true;
  int failed = 0;
  limited.append({{"a", "v"}}, [&](AppendOutcome it) {
    failed += it == AppendOutcome::NotAppended ? 1 : 0;
  });
  runFor(Millis(60));
  BOOST_TEST(failed == 1);
  View.Faults.Busy = false;
  limited.append({{"b", "v"}}, nullptr);
  runFor(Millis(60));
  BOOST_REQUIRE(Store.size(Jobs) == 1U);
  BOOST_TEST(Store.records(Jobs)[0].Key == "b");
}

BOOST_AUTO_TEST_CASE(batch_that_may_be_appended_does_not_fail) {
  BatchAppender limited(Loop, View, Jobs, "vm-3", Epoch(1),
                        {Millis(30), Millis(5), Millis(20)});
  View.Faults.LoseAnswers = true;
  int answers = 0;
  limited.append({{"a", "v"}}, [&](AppendOutcome) { ++answers; });
  runFor(Millis(45));
  View.Faults.LoseAnswers = false;
  View.Faults.Busy = true;
  runFor(Millis(60));
  BOOST_TEST(answers == 0);
}

// Guards against a submission that is stored long after its caller was told
// that it may have been accepted: its job may have ended and be forgotten.
BOOST_AUTO_TEST_CASE(batch_that_may_be_appended_is_given_up_in_time) {
  AppenderOptions options = QuickOptions;
  options.UnknownTimeout = Millis(100);
  BatchAppender appender(Loop, View, Jobs, "vm-5", Epoch(1), options);
  View.Faults.Silent = true;
  append(appender, "late");
  runUntil([&] { return Unknown == 1; });
  View.Faults.Silent = false;
  append(appender, "next");
  runUntil([&] { return appender.idle(); });
  BOOST_TEST(Appended == 1);
  BOOST_TEST(Store.records(Jobs).size() == 1U);
  BOOST_TEST(Store.records(Jobs).front().Key == "next");
}

BOOST_AUTO_TEST_CASE(older_epoch_appends_nothing_after_a_newer_one) {
  append("a");
  runFor(Millis(20));
  BatchAppender newer(Loop, View, Jobs, "vm-1", Epoch(2), QuickOptions);
  newer.append({}, nullptr);
  runFor(Millis(20));
  bool notified = false;
  Appender.OnFenced = [&] { notified = true; };
  append("b");
  runFor(Millis(20));
  BOOST_TEST(notified);
  BOOST_TEST(Failed == 1);
  BOOST_TEST(Store.size(Jobs) == 1U);
}

BOOST_AUTO_TEST_CASE(refusal_after_a_lost_answer_leaves_the_outcome_unknown) {
  View.Faults.LoseAnswers = true;
  append("a");
  runFor(Millis(15));
  BOOST_REQUIRE(Store.size(Jobs) == 1U);
  View.Faults.RefuseWith = 400;
  runFor(Millis(60));
  BOOST_TEST(Failed == 0);
  BOOST_TEST(Unknown == 1);
  // The next append must not be taken for a repeat of this one.
  View.Faults = {};
  append("b");
  runFor(Millis(30));
  BOOST_TEST(Appended == 1);
  BOOST_TEST(Store.size(Jobs) == 2U);
}

BOOST_AUTO_TEST_CASE(append_that_was_not_sent_can_be_withdrawn) {
  View.Faults.Silent = true;
  append("a");
  append("b");
  BOOST_TEST(!Appender.withdraw(Appender.lastTicket() - 1));
  BOOST_TEST(Appender.withdraw(Appender.lastTicket()));
  View.Faults.Silent = false;
  runFor(Millis(100));
  BOOST_TEST(Store.size(Jobs) == 1U);
  BOOST_TEST(Appended == 1);
}

BOOST_AUTO_TEST_CASE(
    sequence_number_used_by_another_appender_is_not_an_acknowledgement) {
  append("a");
  runFor(Millis(20));
  // A second appender with the same producer name and epoch starts at sequence
  // number zero again.
  BatchAppender twin(Loop, View, Jobs, "vm-1", Epoch(1), QuickOptions);
  append("b");
  runFor(Millis(20));
  bool appended = false;
  bool refused = false;
  twin.append({{"c", "v"}}, [&](AppendOutcome it) {
    (it == AppendOutcome::Appended ? appended : refused) = true;
  });
  runFor(Millis(40));
  BOOST_TEST(!appended);
  BOOST_TEST(refused);
  BOOST_TEST(Store.size(Jobs) == 2U);
}

// Guards against an appender whose attempts were only refused: it took another
// one's use of its number for an acknowledgement.
BOOST_AUTO_TEST_CASE(number_used_while_all_attempts_were_refused_is_another_s) {
  appendWith({StoreBusy{503}, StoreOutOfSequence{1}});
  BOOST_TEST(Appended == 0);
  BOOST_TEST(Failed == 1);
}

BOOST_AUTO_TEST_CASE(number_used_by_an_unanswered_attempt_is_acknowledged) {
  appendWith({StoreOutcomeUnknown{"lost"}, StoreOutOfSequence{1}});
  BOOST_TEST(Appended == 1);
}

BOOST_AUTO_TEST_CASE(fence_after_an_unanswered_attempt_leaves_it_unknown) {
  appendWith({StoreOutcomeUnknown{"lost"}, StoreBusy{503}, StoreFenced{}});
  BOOST_TEST(Unknown == 1);
}

BOOST_AUTO_TEST_SUITE_END()
