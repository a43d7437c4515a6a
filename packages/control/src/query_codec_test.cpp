// Questions between entry VMs, and their answers, of malformed bytes. Guards
// against bytes of a peer that end the process, or make it hold memory for a
// size that they only claim.
#include "citrongap/control/query_relay.h"
#include "citrongap/testing/broken_bytes.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Now{Millis(1000000)};

std::vector<std::string> goodQuestions() {
  return {encode(JobQuestion{CallerVerb::Query, QueueId("q"),
                             ClientAccountId("quetta"),
                             WorkId("5c0e7a21d94b36f8"), Now + Millis(80)},
                 Now)};
}

std::vector<std::string> goodAnswers() {
  return {encode(std::optional<CallerAnswer>(
              AnswerNotRun{"the store is out of reach", Millis(1000)})),
          encode(std::optional<CallerAnswer>(AnswerState{WorkPhase::Running})),
          encode(std::optional<CallerAnswer>())};
}

/// Far more than decoding a message of some bytes takes.
constexpr long MemoryBoundKb = 64L * 1024;

} // namespace

BOOST_AUTO_TEST_SUITE(query_codec)

BOOST_AUTO_TEST_CASE(claimed_sizes_take_no_memory) {
  const long before = testing::peakMemoryKb();
  for (const std::string &good : goodQuestions())
    for (const std::string &it : testing::hugeClaims(good))
      decodeJobQuestion(it, Now);
  for (const std::string &good : goodAnswers())
    for (const std::string &it : testing::hugeClaims(good))
      decodePeerAnswer(it);
  BOOST_TEST(testing::peakMemoryKb() - before < MemoryBoundKb);
}

BOOST_AUTO_TEST_CASE(broken_questions_are_refused_or_within_bounds) {
  for (const std::string &it : goodQuestions())
    BOOST_TEST(decodeJobQuestion(it, Now).has_value());
  testing::readBroken(goodQuestions(), 20261208, [](const std::string &it) {
    const auto question = decodeJobQuestion(it, Now);
    BOOST_TEST((!question || question->Deadline - Now <= Millis(60000)));
  });
}

BOOST_AUTO_TEST_CASE(broken_answers_are_refused_or_encode_again) {
  for (const std::string &it : goodAnswers())
    BOOST_TEST(decodePeerAnswer(it).has_value());
  testing::readBroken(goodAnswers(), 20261209, [](const std::string &it) {
    if (const auto answer = decodePeerAnswer(it))
      BOOST_TEST(decodePeerAnswer(encode(*answer)).has_value());
  });
}

// Guards against a time to retry of a peer that overflows when it is rounded up
// to seconds, so that the caller is told a negative one.
BOOST_AUTO_TEST_CASE(time_to_retry_out_of_range_is_refused) {
  const auto answer = [](Millis retryAfter) {
    return encode(std::optional<CallerAnswer>(
        AnswerNotRun{"the store is out of reach", retryAfter}));
  };
  BOOST_TEST(decodePeerAnswer(answer(Seconds(60))).has_value());
  BOOST_TEST(!decodePeerAnswer(answer(Millis::max())).has_value());
  BOOST_TEST(!decodePeerAnswer(answer(Millis(-1))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
