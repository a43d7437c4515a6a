// Rules on what ran: at most once, whole gangs, not twice at once, and nothing
// new on a leaving server.
#include "checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace citrongap::history {

namespace {

using Runs = std::vector<const Run *>;

Runs released(const Runs &runs) {
  Runs out;
  std::copy_if(runs.begin(), runs.end(), std::back_inserter(out),
               [](const Run *it) { return it->ReleasedAt.has_value(); });
  return out;
}

MonoTime endOf(const Run &run, const History &history) {
  return run.EndedAt.value_or(history.End);
}

bool unrepeatable(const std::vector<const Ask *> &asks) {
  return std::any_of(asks.begin(), asks.end(),
                     [](const Ask *it) { return !it->Repeatable; });
}

/// A release or an end of a part of one gang.
struct Step {
  MonoTime At;
  bool IsRelease;
  const Run *Task;
};

std::vector<Step> stepsOf(const Runs &runs) {
  std::vector<Step> steps;
  for (const Run *it : runs) {
    steps.push_back({*it->ReleasedAt, true, it});
    if (it->EndedAt)
      steps.push_back({*it->EndedAt, false, it});
  }
  // A task that ends as it starts must start first.
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step &a, const Step &b) { return a.At < b.At; });
  return steps;
}

/// Follows which parts of one gang run.
class GangTracker {
public:
  void apply(const Step &step) {
    if (step.IsRelease) {
      if (Running.empty())
        Finished.clear();
      Running.insert(step.Task);
      return;
    }
    Running.erase(step.Task);
    if (step.Task->Status == TaskStatus::Done)
      Finished.insert(step.Task->Part);
  }

  /// True when some parts run and others neither run nor are done.
  bool partial() const {
    if (Running.empty())
      return false;
    std::set<std::uint32_t> present = Finished;
    for (const Run *it : Running)
      present.insert(it->Part);
    return present.size() < (*Running.begin())->Parts;
  }

private:
  std::set<const Run *> Running;
  /// Parts that ended as done in the present attempt.
  std::set<std::uint32_t> Finished;
};

struct Span {
  MonoTime From;
  MonoTime To;
};

/// When only some parts of the gang ran.
std::vector<Span> partialSpans(const Runs &runs, MonoTime end) {
  std::vector<Span> spans;
  GangTracker tracker;
  bool open = false;
  for (const auto &step : stepsOf(runs)) {
    tracker.apply(step);
    if (tracker.partial() == open)
      continue;
    if (open)
      spans.back().To = step.At;
    else
      spans.push_back({step.At, end});
    open = !open;
  }
  return spans;
}

} // namespace

void checkAtMostOnce(const History &history, Violations &out) {
  const auto byJob = history.runsByJob();
  for (const auto &[job, asks] : history.asksByJob()) {
    const auto found = byJob.find(job);
    if (found == byJob.end() || !unrepeatable(asks))
      continue;
    std::set<std::uint32_t> parts;
    std::set<std::uint32_t> sizes;
    for (const Run *it : released(found->second)) {
      sizes.insert(it->Parts);
      const bool again = !parts.insert(it->Part).second;
      if (again || sizes.size() > 1)
        out.push_back(
            {Rule::AtMostOnce, *it->ReleasedAt,
             fmt::format("unrepeatable {} ran again as {} on {}", job.str(),
                         it->Task.str(), it->Server.str())});
    }
  }
}

void checkGangs(const History &history, const Bounds &bounds, Violations &out) {
  for (const auto &[job, all] : history.runsByJob()) {
    const Runs runs = released(all);
    const bool isGang = std::any_of(
        runs.begin(), runs.end(), [](const Run *it) { return it->Parts > 1; });
    if (!isGang)
      continue;
    for (const auto &it : partialSpans(runs, history.End))
      if (it.To - it.From > bounds.PartialGang)
        out.push_back({Rule::WholeGang, it.From,
                       fmt::format("{} ran in part for {} ms", job.str(),
                                   (it.To - it.From).count())});
  }
}

void checkDoubleRuns(const History &history, const Bounds &bounds,
                     Violations &out) {
  for (const auto &[job, all] : history.runsByJob()) {
    const Runs runs = released(all);
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        if (runs[i]->Part != runs[j]->Part)
          continue;
        const MonoTime from =
            std::max(*runs[i]->ReleasedAt, *runs[j]->ReleasedAt);
        const MonoTime to =
            std::min(endOf(*runs[i], history), endOf(*runs[j], history));
        if (to - from > bounds.DoubleRun)
          out.push_back(
              {Rule::NotTwiceAtOnce, from,
               fmt::format("{} part {} ran twice for {} ms", job.str(),
                           runs[i]->Part, (to - from).count())});
      }
    }
  }
}

void checkLeaving(const History &history, const Bounds &bounds,
                  Violations &out) {
  for (const auto &leaving : history.LeavingServers) {
    const MonoTime last = leaving.SeenAt + bounds.LeavingGrace;
    for (const auto &run : history.Runs) {
      const MonoTime newest =
          std::max(run.PreparedAt.value_or(MonoTime::min()),
                   run.ReleasedAt.value_or(MonoTime::min()));
      if (run.Server == leaving.Server && newest > last)
        out.push_back({Rule::LeavingServer, newest,
                       fmt::format("{} got {} {} ms after it was listed as "
                                   "leaving",
                                   run.Server.str(), run.Task.str(),
                                   (newest - leaving.SeenAt).count())});
    }
  }
}

} // namespace citrongap::history
