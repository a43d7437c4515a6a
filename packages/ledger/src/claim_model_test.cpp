// Exhaustive search of the claim model: both promises hold in all states, and
// each protection is needed.
#include "claim_model.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <unordered_set>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct SearchResult {
  std::size_t States = 0;
  std::string Violation;
  /// States in which the job is answered or adopted in each way.
  std::size_t Done = 0;
  std::size_t NotRun = 0;
  std::size_t StartedBySuccessor = 0;
  std::size_t Adopted = 0;
};

void count(const ModelState &state, SearchResult &result) {
  ++result.States;
  for (const auto it : state.Answers) {
    result.Done += it == Answer::Done ? 1 : 0;
    result.NotRun += it == Answer::NotRun ? 1 : 0;
  }
  result.StartedBySuccessor += state.Tasks[StartSForA] != Task::None ? 1 : 0;
  result.Adopted += state.Successor == Succession::Adopted ? 1 : 0;
}

/// Breadth first, until the first violation or the end.
SearchResult search(const Protections &protections) {
  ClaimModel model(protections);
  SearchResult result;
  std::unordered_set<std::string> seen;
  std::deque<ModelState> open{model.initial()};
  seen.insert(open.front().bytes());
  while (!open.empty()) {
    const ModelState state = open.front();
    open.pop_front();
    count(state, result);
    result.Violation = ClaimModel::violation(state);
    if (!result.Violation.empty())
      return result;
    for (const ModelState &it : model.successors(state))
      if (seen.insert(it.bytes()).second)
        open.push_back(it);
  }
  return result;
}

void checkNeeded(const char *name, const Protections &protections) {
  const SearchResult result = search(protections);
  fmt::print(stderr, "without '{}': {} after {} states\n", name,
             result.Violation.empty() ? "no violation" : result.Violation,
             result.States);
  BOOST_TEST(!result.Violation.empty(), name << " is not needed");
}

} // namespace

BOOST_AUTO_TEST_CASE(promises_hold_in_all_states_of_the_model) {
  const SearchResult result = search({});
  fmt::print(stderr,
             "all protections: {} states, {} done, {} not run, {} started by "
             "the successor, {} adopted\n",
             result.States, result.Done, result.NotRun,
             result.StartedBySuccessor, result.Adopted);
  BOOST_TEST(result.Violation == "");
  BOOST_TEST(result.Done > 0U);
  BOOST_TEST(result.NotRun > 0U);
  BOOST_TEST(result.StartedBySuccessor > 0U);
  BOOST_TEST(result.Adopted > 0U);
}

BOOST_AUTO_TEST_CASE(each_protection_is_needed) {
  Protections all;
  for (const auto &[name, member] :
       {std::pair("first claim wins", &Protections::FirstClaimWins),
        std::pair("fence before act", &Protections::FenceBeforeAct),
        std::pair("ask the servers", &Protections::AskServers),
        std::pair("take-over record", &Protections::TakeOverRecord),
        std::pair("read the holder", &Protections::ReadHolderBeforeAnswer),
        std::pair("fence before release", &Protections::FenceBeforeRelease),
        std::pair("void", &Protections::VoidBeforeNotRun),
        std::pair("acknowledge after the outcome",
                  &Protections::AcknowledgeAfterOutcome)}) {
    Protections without = all;
    without.*member = false;
    checkNeeded(name, without);
  }
}
