// Appends happen once and in order, whatever becomes of the answers.
#include "citrongap/store/batch_appender.h"
#include "citrongap/store/memory_store.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const TopicId Jobs("keyed.jobs");
constexpr AppenderTerms QuickTerms{Millis(30), Millis(5), 1U << 20U};

struct Fixture {
  EventLoop Loop;
  MemoryStore Store{Loop};
  MemoryStoreView View{Store};
  BatchAppender Appender{Loop, View, Jobs, "vm-1", Epoch(1), QuickTerms};
  int Appended = 0;
  int Failed = 0;

  void append(const std::string &key) {
    Appender.append({{key, "v"}},
                    [this](bool ok) { (ok ? Appended : Failed) += 1; });
  }
  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_appender, Fixture)

BOOST_AUTO_TEST_CASE(record_is_appended_once_when_the_answer_is_lost) {
  View.Faults.LoseAnswers = true;
  append("a");
  runFor(Millis(100));
  BOOST_TEST(Appended == 0);
  View.Faults.LoseAnswers = false;
  runFor(Millis(100));
  BOOST_TEST(Appended == 1);
  BOOST_TEST(Store.size(Jobs) == 1U);
}

BOOST_AUTO_TEST_CASE(busy_store_is_asked_again) {
  View.Faults.Busy = true;
  append("a");
  append("b");
  runFor(Millis(30));
  View.Faults.Busy = false;
  runFor(Millis(60));
  BOOST_TEST(Appended == 2);
  BOOST_TEST(Store.size(Jobs) == 2U);
}

BOOST_AUTO_TEST_CASE(older_epoch_appends_nothing_after_a_newer_one) {
  append("a");
  runFor(Millis(20));
  BatchAppender newer(Loop, View, Jobs, "vm-1", Epoch(2), QuickTerms);
  newer.append({}, nullptr);
  runFor(Millis(20));
  bool told = false;
  Appender.OnFenced = [&] { told = true; };
  append("b");
  runFor(Millis(20));
  BOOST_TEST(told);
  BOOST_TEST(Failed == 1);
  BOOST_TEST(Store.size(Jobs) == 1U);
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

BOOST_AUTO_TEST_CASE(sequence_taken_by_another_is_not_an_answer) {
  append("a");
  runFor(Millis(20));
  // A second appender under the same name and epoch starts at zero again.
  BatchAppender twin(Loop, View, Jobs, "vm-1", Epoch(1), QuickTerms);
  append("b");
  runFor(Millis(20));
  bool appended = false;
  bool refused = false;
  twin.append({{"c", "v"}}, [&](bool ok) { (ok ? appended : refused) = true; });
  runFor(Millis(40));
  BOOST_TEST(!appended);
  BOOST_TEST(refused);
  BOOST_TEST(Store.size(Jobs) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
