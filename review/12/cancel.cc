// A job whose submission is undecided at a machine that is cut off is cancelled
// at another machine, which answers that there is no such job.
#include "deployment.h"

#include <fmt/format.h>

using namespace review;

namespace {

constexpr Millis CutLasts{5500};
constexpr Millis Work{11000};
const std::string Job = "5c0e7a21d94b36f8";

} // namespace

int main(int, char **argv) {
  Deployment site({.Vms = 2, .Workers = 4}, argv[1], argv[2]);
  if (!site.listen())
    return 2;
  Vm &first = site.vms()[0];
  Vm &added = site.vms()[1];
  site.publish({"work"}, {"key-1"});
  site.start(first);
  if (!site.settle({&first}))
    return 2;
  site.runFor(Millis(3000));
  const MonoTime cutAt = monoNow();
  if (troubled()) {
    site.note("front-0 is cut off from the store");
    first.ToStore->setCut(true);
  }
  site.start(added);
  site.runFor(Millis(300));
  const std::string path = "/work/" + Job;
  const int submitted =
      site.ask(first, "POST", path, "key-1", jobBody(2, working(Work.count())),
               Millis(3000));
  int cancelled = 0;
  const bool acked = site.runUntil(Millis(4000), [&] {
    cancelled = site.ask(added, "DELETE", path, "key-1", "", Millis(3000));
    if (cancelled != 200 && cancelled != 410)
      site.runFor(Millis(250));
    return cancelled == 200 || cancelled == 410;
  });
  if (!acked)
    return 2;
  const MonoTime ackAt = monoNow();
  if (troubled()) {
    site.runFor(std::chrono::duration_cast<Millis>(cutAt + CutLasts - ackAt));
    site.note("the cut ends");
    first.ToStore->setCut(false);
  }
  // Cancelled work is gone after 3 s and 0.9 s without a disturbance near.
  const MonoTime calmFrom = monoNow() + Millis(3000);
  const MonoTime goneBy = std::max(calmFrom, ackAt) + Millis(3000 + 900);
  site.runFor(Millis(14000));
  int lateStarts = 0;
  int lateWork = 0;
  for (const RunEvent &it : site.runs()) {
    if (!it.Task.starts_with(Job))
      continue;
    if (it.Kind == "started" && it.At > ackAt + Millis(3000))
      ++lateStarts;
    if (it.Kind == "ended" && it.At > goneBy)
      ++lateWork;
  }
  site.ask(added, "GET", path, "key-1", "", Millis(1000));
  return site.finish(
      lateStarts + lateWork > 0,
      fmt::format("submission answered {}, cancellation answered {}; {} work "
                  "items started over 3 s later, {} were at work 3.9 s into "
                  "the calm after it",
                  submitted, cancelled, lateStarts, lateWork));
}
