// Prints to standard output.
#include "report.h"

#include "citrongap/policy/reservation.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

namespace citrongap::bench {

namespace {

constexpr double BoundRatio = 1.15;
constexpr double BaselineRatio = 1.3;
constexpr double KeptShare = 0.95;
constexpr double SmallStartRatio = 1.2;
constexpr double MsPerMinute = 60.0 * 1000;
constexpr std::size_t TracedJobs = 8;
/// A checkpoint takes 5 s in the simulation, and decisions see whole seconds.
constexpr double ReclaimBoundSeconds = 6;

using Figure = std::function<double(const SchedulerRun &)>;

void printRow(const std::string &name, const std::vector<SchedulerRun> &runs,
              int digits, const Figure &figure, const std::string &bound = "") {
  fmt::print("  {:<44}", name);
  for (const auto &it : runs)
    fmt::print("{:>16.{}f}", figure(it), digits);
  fmt::print("{:>10}\n", bound);
}

void printCompletion(const std::vector<SchedulerRun> &runs, double bound) {
  printRow(
      "completion mean, min", runs, 1,
      [](const auto &it) { return it.Figures.MeanCompletion; },
      fmt::format("{:.1f}", bound));
  printRow("completion p95, min", runs, 1,
           [](const auto &it) { return it.Figures.P95Completion; });
  printRow("mean against the bound", runs, 2, [bound](const auto &it) {
    return it.Figures.MeanCompletion / bound;
  });
  printRow("share done by morning", runs, 3,
           [](const auto &it) { return it.Figures.DoneByMorning; });
  printRow("share done at all", runs, 3,
           [](const auto &it) { return it.Figures.DoneShare; });
}

void printSharing(const std::vector<SchedulerRun> &runs) {
  printRow("free accelerators no queued gang can use", runs, 3,
           [](const auto &it) { return it.Figures.UnusableShare; });
  printRow("the same as a share of the pod", runs, 3,
           [](const auto &it) { return it.Figures.UnusableOfPod; });
  printRow("largest free cell against free total", runs, 3,
           [](const auto &it) { return it.Figures.LargestShare; });
  printRow("slowdown, worst against best account", runs, 2,
           [](const auto &it) { return it.Figures.SlowdownRatio; });
  printRow("Jain's index of slowdowns", runs, 3,
           [](const auto &it) { return it.Figures.Jain; });
  printRow("start within the guarantee p99, s", runs, 1,
           [](const auto &it) { return it.Figures.ReclaimP99; });
  printRow("start within the guarantee max, s", runs, 1,
           [](const auto &it) { return it.Figures.ReclaimMax; });
  printRow("longest wait of any gang, min", runs, 1,
           [](const auto &it) { return it.Figures.LongestWait; });
  printRow(fmt::format("longest wait of gangs from {}, min", LargeGang.Count),
           runs, 1,
           [](const auto &it) { return it.Figures.LongestWaitLargeGang; });
}

void printCosts(const std::vector<SchedulerRun> &runs) {
  printRow("revocations", runs, 0,
           [](const auto &it) { return it.Figures.Revocations; });
  printRow("revoked work lost, accelerator-hours", runs, 1,
           [](const auto &it) { return it.Figures.LostHours; });
  printRow("sound jobs ended as failed", runs, 0,
           [](const auto &it) { return it.Figures.WronglyFailed; });
  printRow("sound jobs refused as not run", runs, 0,
           [](const auto &it) { return it.Figures.NotRun; });
  printRow("violations", runs, 0,
           [](const auto &it) { return it.Figures.Violations; });
  printRow("real time of the simulation, s", runs, 2,
           [](const auto &it) { return it.Seconds; });
}

double keptShare(const SchedulerRun &run) {
  return run.Beside->DoneHours / run.Alone->DoneHours;
}

double startRatio(const SchedulerRun &run) {
  return run.Beside->P99Start / std::max(run.Alone->P99Start, 1.0);
}

void printOthers(const std::vector<SchedulerRun> &runs) {
  printRow("others' throughput kept", runs, 3, keptShare);
  printRow("others' completion mean, alone, min", runs, 1,
           [](const auto &it) { return it.Alone->MeanCompletion; });
  printRow("others' completion mean, beside, min", runs, 1,
           [](const auto &it) { return it.Beside->MeanCompletion; });
  printRow("others' start mean, alone, s", runs, 1,
           [](const auto &it) { return it.Alone->MeanStart; });
  printRow("others' start mean, beside, s", runs, 1,
           [](const auto &it) { return it.Beside->MeanStart; });
  printRow("others' start p99, alone, s", runs, 1,
           [](const auto &it) { return it.Alone->P99Start; });
  printRow("others' start p99, beside, s", runs, 1,
           [](const auto &it) { return it.Beside->P99Start; });
}

bool has(const Workload &workload, const std::string &text) {
  return workload.Name.find(text) != std::string::npos;
}

} // namespace

void printTable(const Workload &workload,
                const std::vector<SchedulerRun> &runs) {
  fmt::print("\n{}: {} jobs, {} accelerators\n  {:<44}", workload.Name,
             workload.Jobs.size(), workload.Site.total().Count, "");
  for (const auto &it : runs)
    fmt::print("{:>16}", it.Scheduler);
  fmt::print("{:>10}\n", "bound");
  printCompletion(runs, boundMeanCompletion(workload));
  printSharing(runs);
  if (runs.front().Beside)
    printOthers(runs);
  printCosts(runs);
  for (const auto &it : runs)
    if (!it.Result.FirstViolation.empty())
      fmt::print("  first violation, {}: {}\n", it.Scheduler,
                 it.Result.FirstViolation);
}

void checkTargets(const Workload &workload,
                  const std::vector<SchedulerRun> &runs, Targets &targets) {
  const SchedulerRun &ours = runs.front();
  const auto check = [&](const std::string &text, double figure, bool met) {
    targets.push_back({workload.Name + ": " + text, figure, met});
  };
  if (has(workload, "dusk rush")) {
    const double mean = ours.Figures.MeanCompletion;
    const double bound = mean / boundMeanCompletion(workload);
    check("mean completion within 1.15 of the bound", bound,
          bound <= BoundRatio);
    for (std::size_t i = 1; i < runs.size(); ++i) {
      const double ratio = runs[i].Figures.MeanCompletion / mean;
      check("mean 1.3 times better than " + runs[i].Scheduler, ratio,
            ratio >= BaselineRatio);
    }
  }
  if (has(workload, "flood"))
    check("others keep 0.95 of their throughput", keptShare(ours),
          keptShare(ours) >= KeptShare);
  if (has(workload, "mint"))
    check("small callers' p99 start within 1.2", startRatio(ours),
          startRatio(ours) <= SmallStartRatio);
  check(fmt::format("guaranteed starts within {:.0f} s", ReclaimBoundSeconds),
        ours.Figures.ReclaimMax,
        ours.Figures.ReclaimMax <= ReclaimBoundSeconds);
  const double starvation = double(StarvationBound.count()) / MsPerMinute;
  const double longest = ours.Figures.LongestWaitLargeGang;
  if (longest > 0)
    check(fmt::format("gangs from {} start within {:.0f} min", LargeGang.Count,
                      starvation),
          longest, longest <= starvation);
  check("no violation", ours.Figures.Violations, ours.Figures.Violations == 0);
}

void printTargets(const Targets &targets) {
  fmt::print("\ntargets\n");
  for (const auto &it : targets)
    fmt::print("  {:<80}{:>10.3f}  {}\n", it.Text, it.Figure,
               it.Met ? "met" : "NOT MET");
}

void printTrace(const Workload &workload, const SchedulerRun &run) {
  struct Waits {
    std::int64_t Full = 0;
    std::int64_t Scattered = 0;
    std::int64_t Held = 0;
  };
  std::map<ClientAccountId, Waits> byAccount;
  std::vector<std::size_t> order;
  const auto waited = [&](std::size_t n) {
    const JobRecord &it = run.Result.Jobs[n];
    return it.WaitFullMs + it.WaitScatteredMs + it.WaitHeldMs;
  };
  for (std::size_t n = 0; n < workload.Jobs.size(); ++n) {
    const JobRecord &it = run.Result.Jobs[n];
    Waits &sum = byAccount[workload.Jobs[n].Request.Id.Account];
    sum.Full += it.WaitFullMs;
    sum.Scattered += it.WaitScatteredMs;
    sum.Held += it.WaitHeldMs;
    order.push_back(n);
  }
  fmt::print("  trace: job-minutes waited while the pod was full, while free "
             "accelerators were scattered, while the job would have fitted\n");
  for (const auto &[id, it] : byAccount)
    fmt::print("    {:<16}{:>12.0f}{:>12.0f}{:>12.0f}\n", id.str(),
               double(it.Full) / MsPerMinute,
               double(it.Scattered) / MsPerMinute,
               double(it.Held) / MsPerMinute);
  std::sort(order.begin(), order.end(),
            [&](auto lhs, auto rhs) { return waited(lhs) > waited(rhs); });
  fmt::print("  trace: the longest waits\n");
  for (std::size_t i = 0; i < std::min(order.size(), TracedJobs); ++i) {
    const BenchJob &job = workload.Jobs[order[i]];
    const JobRecord &it = run.Result.Jobs[order[i]];
    fmt::print(
        "    {:<24} {} gang {:>3}, arrived {:>5.0f} min, ran {:>4.0f} "
        "min; full {:.0f}, scattered {:.0f}, fitting {:.0f} min; "
        "revoked {} times\n",
        job.Request.Id.str(), toString(job.Request.Class),
        job.Request.Gang.Count, double(toMillis(job.Arrival)) / MsPerMinute,
        double(job.RunMs) / MsPerMinute, double(it.WaitFullMs) / MsPerMinute,
        double(it.WaitScatteredMs) / MsPerMinute,
        double(it.WaitHeldMs) / MsPerMinute, it.Revocations);
  }
}

} // namespace citrongap::bench
