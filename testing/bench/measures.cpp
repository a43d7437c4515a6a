// Figures over job records.
#include "measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citrongap::bench {

namespace {

constexpr double MsPerMinute = 60.0 * 1000;
constexpr double MsPerSecond = 1000;
constexpr double MsPerHour = 60 * MsPerMinute;
/// Shorter jobs count as this long in a slowdown.
constexpr double SlowdownFloorMs = MsPerMinute;

double meanOf(const std::vector<double> &values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double completionMs(const Workload &workload, const BenchJob &job,
                    const JobRecord &record) {
  const MonoTime end =
      record.End == JobEnd::Done ? record.EndedAt : workload.Horizon;
  return static_cast<double>((end - job.Arrival).count());
}

double startMs(const Workload &workload, const BenchJob &job,
               const JobRecord &record) {
  const MonoTime start = record.FirstStart.value_or(workload.Horizon);
  return static_cast<double>((start - job.Arrival).count());
}

void measureFairness(const Workload &workload, const SimulationResult &result,
                     Measures &out) {
  std::map<ClientAccountId, std::vector<double>> slowdowns;
  for (std::size_t n = 0; n < workload.Jobs.size(); ++n) {
    const BenchJob &job = workload.Jobs[n];
    if (!job.runnable())
      continue;
    const double run = std::max(SlowdownFloorMs, double(job.RunMs));
    slowdowns[job.Request.Id.Account].push_back(
        std::max(1.0, completionMs(workload, job, result.Jobs[n]) / run));
  }
  double sum = 0;
  double squares = 0;
  double best = INFINITY;
  double worst = 0;
  for (const auto &[id, values] : slowdowns) {
    const double mean = meanOf(values);
    sum += mean;
    squares += mean * mean;
    best = std::min(best, mean);
    worst = std::max(worst, mean);
  }
  out.SlowdownRatio = worst / best;
  out.Jain = sum * sum / (static_cast<double>(slowdowns.size()) * squares);
}

void measureWaits(const Workload &workload, const SimulationResult &result,
                  Measures &out) {
  std::vector<double> entitled;
  for (std::size_t n = 0; n < workload.Jobs.size(); ++n) {
    const BenchJob &job = workload.Jobs[n];
    const JobRecord &record = result.Jobs[n];
    if (job.CancelAt || job.Impossible)
      continue;
    const double wait = startMs(workload, job, record);
    if (record.Entitled)
      entitled.push_back(wait / MsPerSecond);
    out.LongestWait = std::max(out.LongestWait, wait / MsPerMinute);
    if (job.Request.Gang >= LargeGang)
      out.LongestWaitLargeGang =
          std::max(out.LongestWaitLargeGang, wait / MsPerMinute);
  }
  out.ReclaimP99 = quantileOf(entitled, 0.99);
  out.ReclaimMax = quantileOf(entitled, 1);
}

/// Sum of the mean busy dates, in milliseconds, of the schedule that always
/// works on the waiting job with the least total work.
double sumOfBusyDates(const std::vector<const BenchJob *> &jobs, double speed) {
  struct Open {
    double Work;
    double Left;
    double Moment = 0;
  };
  const auto more = [](const Open &lhs, const Open &rhs) {
    return lhs.Work > rhs.Work;
  };
  std::priority_queue<Open, std::vector<Open>, decltype(more)> open(more);
  double now = 0;
  double sum = 0;
  const auto workUntil = [&](double until) {
    while (!open.empty() && now < until) {
      Open it = open.top();
      open.pop();
      const bool ends = now + it.Left / speed <= until;
      const double end = ends ? now + it.Left / speed : until;
      const double worked = ends ? it.Left : speed * (end - now);
      it.Moment += worked * (now + end) / 2;
      it.Left -= worked;
      now = end;
      if (ends)
        sum += it.Moment / it.Work;
      else
        open.push(it);
    }
    now = std::max(now, until);
  };
  for (const BenchJob *it : jobs) {
    workUntil(static_cast<double>(toMillis(it->Arrival)));
    const double work = double(it->RunMs) * it->Request.Gang.Count;
    open.push({work, work});
  }
  workUntil(INFINITY);
  return sum;
}

} // namespace

double quantileOf(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const double at = std::ceil(q * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::max(0.0, at))];
}

Measures measure(const Workload &workload, const SimulationResult &result) {
  Measures out;
  std::vector<double> completions;
  double byMorning = 0;
  double done = 0;
  for (std::size_t n = 0; n < workload.Jobs.size(); ++n) {
    const BenchJob &job = workload.Jobs[n];
    const JobRecord &record = result.Jobs[n];
    out.Revocations += record.Revocations;
    out.LostHours += record.LostMs / MsPerHour;
    if (!job.runnable())
      continue;
    completions.push_back(completionMs(workload, job, record) / MsPerMinute);
    const bool isDone = record.End == JobEnd::Done;
    done += isDone ? 1 : 0;
    byMorning += isDone && record.EndedAt <= workload.Morning ? 1 : 0;
    out.WronglyFailed += record.End == JobEnd::Failed ? 1 : 0;
    out.NotRun += record.End == JobEnd::NotRun ? 1 : 0;
  }
  const auto count = static_cast<double>(completions.size());
  out.MeanCompletion = meanOf(completions);
  out.P95Completion = quantileOf(completions, 0.95);
  out.DoneByMorning = byMorning / count;
  out.DoneShare = done / count;
  out.UnusableShare = result.Fragments.UnusableShare;
  out.UnusableOfPod = result.Fragments.UnusableOfPod;
  out.LargestShare = result.Fragments.LargestShare;
  out.Violations = result.Violations;
  measureFairness(workload, result, out);
  measureWaits(workload, result, out);
  return out;
}

OthersMeasures measureOthers(const Workload &workload,
                             const SimulationResult &result, MonoTime from,
                             MonoTime until) {
  OthersMeasures out;
  std::vector<double> starts;
  std::vector<double> completions;
  for (std::size_t n = 0; n < workload.Jobs.size(); ++n) {
    const BenchJob &job = workload.Jobs[n];
    const JobRecord &record = result.Jobs[n];
    if (workload.Aggressors.contains(job.Request.Id.Account))
      continue;
    const bool done = record.End == JobEnd::Done && record.EndedAt >= from &&
                      record.EndedAt <= until;
    if (done)
      out.DoneHours += double(job.RunMs) * job.Request.Gang.Count / MsPerHour;
    if (job.Arrival < from || job.Arrival > until)
      continue;
    starts.push_back(startMs(workload, job, record) / MsPerSecond);
    completions.push_back(completionMs(workload, job, record) / MsPerMinute);
  }
  out.MeanCompletion = meanOf(completions);
  out.P99Start = quantileOf(starts, 0.99);
  out.MeanStart = meanOf(starts);
  return out;
}

double boundMeanCompletion(const Workload &workload) {
  std::vector<const BenchJob *> jobs;
  double arrivals = 0;
  double runs = 0;
  for (const auto &it : workload.Jobs)
    if (it.runnable()) {
      jobs.push_back(&it);
      arrivals += static_cast<double>(toMillis(it.Arrival));
      runs += static_cast<double>(it.RunMs);
    }
  const double speed = workload.Site.total().Count;
  const double relaxed = sumOfBusyDates(jobs, speed) + runs / 2 - arrivals;
  return std::max(relaxed, runs) / (double(jobs.size()) * MsPerMinute);
}

Workload withoutAggressors(const Workload &workload) {
  Workload out = workload;
  std::erase_if(out.Jobs, [&](const BenchJob &it) {
    return out.Aggressors.contains(it.Request.Id.Account);
  });
  return out;
}

} // namespace citrongap::bench
