// All rules together, and the counts of a history.
#include "citrongap/history/checker.h"
#include "checks.h"

#include <algorithm>

namespace citrongap::history {

const char *toString(Rule it) {
  switch (it) {
  case Rule::AtMostOnce:
    return "at most once";
  case Rule::TruthfulNotRun:
    return "truthful not run";
  case Rule::TruthfulFailed:
    return "truthful failed";
  case Rule::OwnAnswer:
    return "own answer";
  case Rule::WholeAnswer:
    return "whole answer";
  case Rule::OneResultPerKey:
    return "one result per key";
  case Rule::WholeGang:
    return "whole gang";
  case Rule::NotTwiceAtOnce:
    return "not twice at once";
  case Rule::MonotoneConfiguration:
    return "monotone configuration";
  case Rule::Convergence:
    return "convergence";
  case Rule::LeavingServer:
    return "leaving server";
  case Rule::NoCutRequest:
    return "no cut request";
  case Rule::EveryRequestAnswered:
    return "every request answered";
  }
  return "?";
}

std::vector<Violation> check(const History &history, const Bounds &bounds) {
  Violations out;
  checkAtMostOnce(history, out);
  checkNotRun(history, out);
  checkFailed(history, out);
  checkAnswers(history, out);
  checkOneResult(history, out);
  checkGangs(history, bounds, out);
  checkDoubleRuns(history, bounds, out);
  checkMonotone(history, out);
  checkConvergence(history, out);
  checkLeaving(history, bounds, out);
  checkCuts(history, out);
  checkAnswered(history, out);
  std::stable_sort(
      out.begin(), out.end(), [](const Violation &a, const Violation &b) {
        return std::pair(a.Broken, a.At) < std::pair(b.Broken, b.At);
      });
  return out;
}

Counts count(const History &history) {
  Counts out;
  out.Calls = history.Asks.size();
  for (const auto &[job, asks] : history.asksByJob()) {
    ++out.Jobs;
    const Answer *last = nullptr;
    for (const Ask *it : asks)
      if (it->Got && isOutcome(it->Got->Kind) &&
          (!last || last->At <= it->Got->At))
        last = &*it->Got;
    if (!last)
      ++out.Unanswered;
    else if (last->Kind == AnswerKind::Done)
      ++out.Done;
    else if (last->Kind == AnswerKind::Failed)
      ++out.Failed;
    else if (last->Kind == AnswerKind::NotRun)
      ++out.NotRun;
    else
      ++out.Unknown;
  }
  for (const auto &it : history.Runs)
    if (it.ReleasedAt)
      ++out.Runs;
  return out;
}

} // namespace citrongap::history
