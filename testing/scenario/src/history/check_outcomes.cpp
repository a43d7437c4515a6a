// Rules on what callers were told: truthful, own, whole, the same for one key,
// and given to each request.
#include "checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace citrongap::history {

namespace {

bool told(const Ask &ask, AnswerKind kind) {
  return ask.Got && ask.Got->Kind == kind;
}

/// True when `ask` may have led to a start at `at`.
bool explains(const Ask &ask, MonoTime at) {
  return ask.Kind == CallKind::Submit && ask.At <= at &&
         !told(ask, AnswerKind::NotRun) && !told(ask, AnswerKind::NotSent);
}

/// True when `refusal`, told "not run", leaves room for a start at `at`: a
/// call that was open beside it, or came later, explains that start. A
/// cancellation speaks for the calls beside it too.
bool leavesRoom(const Ask &refusal, const std::vector<const Ask *> &asks,
                MonoTime at) {
  if (at <= refusal.At)
    return false;
  return std::any_of(asks.begin(), asks.end(), [&](const Ask *it) {
    if (!explains(*it, at))
      return false;
    if (refusal.Kind == CallKind::Cancel)
      return it->At > refusal.Got->At;
    return !it->Got || it->Got->At > refusal.At;
  });
}

/// Null when the start of `run` agrees with what the callers were told.
const char *falseRefusal(const Run &run, const std::vector<const Ask *> &asks) {
  const MonoTime at = *run.ReleasedAt;
  const bool asked = std::any_of(asks.begin(), asks.end(), [&](const Ask *it) {
    return explains(*it, at);
  });
  if (!asked)
    return "each call by then was told \"not run\", or there was none";
  for (const Ask *it : asks)
    if (told(*it, AnswerKind::NotRun) && !leavesRoom(*it, asks, at))
      return "a call was told \"not run\" about it";
  return nullptr;
}

bool ran(const std::vector<const Run *> &runs) {
  return std::any_of(runs.begin(), runs.end(),
                     [](const Run *it) { return it->ReleasedAt.has_value(); });
}

const std::vector<const Run *> &
runsOf(const std::map<JobId, std::vector<const Run *>> &runs,
       const JobId &job) {
  static const std::vector<const Run *> None;
  const auto it = runs.find(job);
  return it == runs.end() ? None : it->second;
}

/// Checks one result of a `Done` answer against the task that gave it.
void checkPart(const Ask &ask, const PartResult &result,
               const std::vector<const Run *> &runs, Violations &out) {
  const auto at = ask.Got->At;
  if (result.Text != ask.Expected)
    out.push_back({Rule::OwnAnswer, at,
                   fmt::format("{} got \"{}\" instead of \"{}\"", ask.Job.str(),
                               result.Text, ask.Expected)});
  const bool known = std::any_of(runs.begin(), runs.end(), [&](const Run *it) {
    return it->Task == result.Task && it->Part == result.Part &&
           it->Status == TaskStatus::Done;
  });
  if (!known)
    out.push_back({Rule::OwnAnswer, at,
                   fmt::format("{} was told of task {} part {}, which is not "
                               "a done task of it",
                               ask.Job.str(), result.Task.str(), result.Part)});
}

/// Checks that the parts are 0 to n-1, once each, on the asked accelerators.
void checkWhole(const Ask &ask, const std::vector<const Run *> &runs,
                Violations &out) {
  std::set<std::uint32_t> parts;
  std::size_t wanted = 1;
  Accelerators slots;
  for (const auto &result : ask.Got->Results) {
    parts.insert(result.Part);
    for (const Run *it : runs) {
      if (it->Task != result.Task || it->Part != result.Part ||
          it->Status != TaskStatus::Done)
        continue;
      wanted = it->Parts;
      slots += it->Slots;
    }
  }
  const bool whole = parts.size() == wanted &&
                     ask.Got->Results.size() == wanted && !parts.empty() &&
                     *parts.rbegin() == wanted - 1;
  if (!whole)
    out.push_back({Rule::WholeAnswer, ask.Got->At,
                   fmt::format("{} got {} of {} parts", ask.Job.str(),
                               parts.size(), wanted)});
  else if (slots != ask.Gang)
    out.push_back({Rule::WholeGang, ask.Got->At,
                   fmt::format("{} ran on {} of {} accelerators", ask.Job.str(),
                               slots.Count, ask.Gang.Count)});
}

} // namespace

void checkNotRun(const History &history, Violations &out) {
  static const std::vector<const Ask *> None;
  const auto byJob = history.asksByJob();
  for (const auto &run : history.Runs) {
    if (!run.ReleasedAt)
      continue;
    const auto it = byJob.find(run.Job);
    const char *why = falseRefusal(run, it == byJob.end() ? None : it->second);
    if (why)
      out.push_back({Rule::TruthfulNotRun, *run.ReleasedAt,
                     fmt::format("{} ran as {} on {}, but {}", run.Job.str(),
                                 run.Task.str(), run.Server.str(), why)});
  }
}

void checkFailed(const History &history, Violations &out) {
  const auto runs = history.runsByJob();
  for (const auto &ask : history.Asks)
    if (told(ask, AnswerKind::Failed) && !ran(runsOf(runs, ask.Job)))
      out.push_back(
          {Rule::TruthfulFailed, ask.Got->At,
           fmt::format("{} was told \"failed\" and never ran", ask.Job.str())});
}

void checkAnswers(const History &history, Violations &out) {
  const auto byJob = history.runsByJob();
  for (const auto &ask : history.Asks) {
    if (!told(ask, AnswerKind::Done))
      continue;
    const auto &runs = runsOf(byJob, ask.Job);
    for (const auto &it : ask.Got->Results)
      checkPart(ask, it, runs, out);
    checkWhole(ask, runs, out);
  }
}

void checkOneResult(const History &history, Violations &out) {
  for (const auto &[job, asks] : history.asksByJob()) {
    const Answer *first = nullptr;
    for (const Ask *it : asks) {
      if (!told(*it, AnswerKind::Done))
        continue;
      if (!first)
        first = &*it->Got;
      else if (first->Results != it->Got->Results)
        out.push_back(
            {Rule::OneResultPerKey, it->Got->At,
             fmt::format("{} was answered with two results", job.str())});
    }
  }
}

void checkCuts(const History &history, Violations &out) {
  for (const auto &ask : history.Asks) {
    if (!told(ask, AnswerKind::Cut))
      continue;
    const bool excused = std::any_of(
        history.Faults.begin(), history.Faults.end(), [&](const Fault &it) {
          return it.At <= ask.Got->At &&
                 (it.Node.empty() || it.Node == ask.Node);
        });
    if (!excused)
      out.push_back({Rule::NoCutRequest, ask.Got->At,
                     fmt::format("{} was cut by {}, which had no fault",
                                 ask.Job.str(), ask.Node.str())});
  }
}

void checkAnswered(const History &history, Violations &out) {
  for (const auto &[job, asks] : history.asksByJob()) {
    const bool answered =
        std::any_of(asks.begin(), asks.end(), [](const Ask *it) {
          return it->Got && isOutcome(it->Got->Kind);
        });
    if (!answered)
      out.push_back({Rule::EveryRequestAnswered, asks.back()->At,
                     fmt::format("{} got no outcome in {} calls", job.str(),
                                 asks.size())});
  }
}

} // namespace citrongap::history
