// Three series of 5,000 small occurrences come at once; all occurrences are
// due.
#include "deployment.h"

#include <algorithm>
#include <fmt/format.h>

using namespace review;

namespace {

constexpr Millis FinishAfter{14000};
constexpr Millis Watched{50000};
constexpr Millis LongestIdle{3000};
constexpr int Repetitions = 5000;
constexpr int IntervalMs = 500;
constexpr std::int64_t HourMs = 3600 * 1000;

/// Longest time from `from` to `to` in which no worker ran anything.
Millis longestIdle(const std::vector<RunEvent> &events, MonoTime from,
                   MonoTime to) {
  int running = 0;
  MonoTime idleSince = from;
  Millis longest(0);
  const auto count = [&](MonoTime until) {
    const auto idle = std::chrono::duration_cast<Millis>(
        std::min(until, to) - std::max(idleSince, from));
    longest = std::max(longest, idle);
  };
  for (const RunEvent &it : events) {
    if (it.Kind == "started") {
      if (running++ == 0)
        count(it.At);
    } else if (it.Kind == "ended" || it.Kind == "lost") {
      if (--running == 0)
        idleSince = it.At;
    }
  }
  if (running == 0)
    count(to);
  return longest;
}

} // namespace

int main(int, char **argv) {
  Deployment site({.Vms = 3, .Workers = 6}, argv[1], argv[2]);
  if (!site.listen())
    return 2;
  site.publish({"work", "urgent"}, {"key-1"});
  std::vector<Vm *> all;
  for (Vm &it : site.vms()) {
    site.start(it);
    all.push_back(&it);
  }
  if (!site.settle(all))
    return 2;
  const std::int64_t firstRun = toMillis(wallNow()) - HourMs;
  if (troubled())
    for (std::size_t n = 0; n < 3; ++n)
      if (site.ask(site.vms()[n], "POST",
                   fmt::format("/work/00000000000000e{}", n), "key-1",
                   jobBody(1, working(1000), R"(,"estimated_ms":1000)",
                           fmt::format(R"(,"repetitions":{},"interval_ms":{},)"
                                       R"("first_run_ms":{})",
                                       Repetitions, IntervalMs, firstRun)),
                   Millis(3000)) != 200)
        return 2;
  const MonoTime acceptedAt = monoNow();
  // An urgent job now and then, each handed in again until it is accepted.
  int wanted = 0;
  int completed = 0;
  while (monoNow() < acceptedAt + Watched) {
    const std::string path = fmt::format("/urgent/00000000000000f{}", wanted);
    Vm &vm = site.vms()[static_cast<std::size_t>(wanted) % 3];
    ++wanted;
    const MonoTime end = monoNow() + Millis(10000);
    bool accepted = false;
    bool done = false;
    while (!done && monoNow() < end) {
      std::string answer;
      if (!accepted)
        accepted = site.ask(vm, "POST", path, "key-1",
                            jobBody(1, working(100), R"(,"estimated_ms":100)"),
                            Millis(3000)) == 200;
      else
        done = site.ask(vm, "GET", path, "key-1", "", Millis(3000), &answer) ==
                   200 &&
               answer.find("completed") != std::string::npos;
      site.runFor(Millis(300));
    }
    completed += done ? 1 : 0;
    if (done)
      site.runFor(std::chrono::duration_cast<Millis>(end - monoNow()));
  }
  const MonoTime now = monoNow();
  const Millis idle = longestIdle(site.runs(), acceptedAt + FinishAfter, now);
  return site.finish(
      troubled() && idle > LongestIdle,
      fmt::format("{} ms in which no worker ran anything; {} of {} urgent jobs "
                  "completed within 10 s",
                  troubled() ? idle.count() : 0, completed, wanted));
}
