// What the parts of the capacity run share: memory, processor time, rows of
// the table, and sample jobs.
#ifndef CITRONGAP_CAPACITY_MEASURE_H
#define CITRONGAP_CAPACITY_MEASURE_H

#include "citrongap/policy/job.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>
#include <string>
#include <vector>

namespace citrongap {

/// Bytes handed out by malloc and not yet freed.
inline double usedBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Processor time of this thread, in microseconds: the machine's other load
/// does not count.
inline double cpuMicros() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) * 1e6 +
         static_cast<double>(at.tv_nsec) / 1e3;
}

/// Ends the run: a table with a figure that was not measured is worth nothing.
[[noreturn]] inline void giveUp(const std::string &why) {
  fmt::print(stderr, "capacity: {}\n", why);
  std::_Exit(EXIT_FAILURE);
}

/// One figure at one size.
struct Point {
  double Size = 0;
  double Value = 0;
};

/// One row: the figure at each size, and its growth per unit of size between
/// the smallest and the largest.
inline void printRow(const std::string &what, const std::vector<Point> &points,
                     const std::string &unit) {
  std::string at;
  for (const Point &it : points)
    at += fmt::format("{}{:.0f}: {:.1f}", at.empty() ? "" : ", ", it.Size,
                      it.Value);
  const Point &first = points.front();
  const Point &last = points.back();
  const std::string slope =
      points.size() < 2
          ? "-"
          : fmt::format("{:.4g} {}",
                        (last.Value - first.Value) / (last.Size - first.Size),
                        unit);
  fmt::print("| {} | {} | {} |\n", what, at, slope);
}

/// A figure that has no size.
inline void printFigure(const std::string &what, double value,
                        const std::string &unit) {
  fmt::print("| {} | {:.1f} {} | |\n", what, value, unit);
}

/// Length of a sample job's payload, in bytes.
inline constexpr std::size_t PayloadBytes = 400;

inline ClientAccountId sampleAccount(std::size_t i) {
  return ClientAccountId(fmt::format("account-{:03}", i));
}

inline JobRequest sampleJob(std::size_t i, std::size_t accounts) {
  JobRequest job;
  job.Id = {sampleAccount(i % accounts), RequestKey(fmt::format("{:032x}", i))};
  job.DeclaredRunMs = 3'600'000;
  job.Deadline = wallFromMillis(1'800'000'000'000);
  job.Kind = "training";
  job.Payload = std::string(PayloadBytes, 'x');
  job.SubmissionId = fmt::format("{:032x}", i + 1);
  return job;
}

void measureScheduler();
void measurePlanner();
void measureConfigurationLog();
void measureClaimLedger();
void measureLeases();
void measureVmList();
void measureMessages();

} // namespace citrongap

#endif // CITRONGAP_CAPACITY_MEASURE_H
