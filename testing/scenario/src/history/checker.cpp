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

std::vector<Millis> startTimes(const History &history,
                               const ClientAccountId &account) {
  const auto runs = history.runsByJob();
  std::vector<Millis> out;
  for (const auto &[job, asks] : history.asksByJob()) {
    std::optional<MonoTime> first;
    const auto found = runs.find(job);
    if (found == runs.end() || (!account.empty() && job.Account != account))
      continue;
    for (const Run *it : found->second)
      if (it->ReleasedAt && (!first || *it->ReleasedAt < *first))
        first = it->ReleasedAt;
    if (first)
      out.push_back(*first - asks.front()->At);
  }
  std::sort(out.begin(), out.end());
  return out;
}

Millis quantile(const std::vector<Millis> &rising, std::size_t percent) {
  if (rising.empty())
    return Millis(0);
  return rising[(rising.size() - 1) * percent / 100];
}

Counts count(const History &history) {
  Counts out;
  const auto starts = startTimes(history, {});
  out.StartMedian = quantile(starts, 50);
  out.Start99 = quantile(starts, 99);
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
