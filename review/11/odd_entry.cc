// Another writer leaves one entry among those of the workers: a copy of a
// worker's entry under a key of its own, in which fields are missing.
#include "deployment.h"

#include <fmt/format.h>

using namespace review;

namespace {

const std::string Job = "5c0e7a21d94b36f8";

/// Work items that ran on two workers at the same time.
std::set<std::string> doubled(const std::vector<RunEvent> &events) {
  std::map<std::string, std::set<std::string>> at;
  std::set<std::string> out;
  for (const RunEvent &it : events) {
    std::set<std::string> &workers = at[it.Task];
    if (it.Kind == "started") {
      if (!workers.empty())
        out.insert(it.Task);
      workers.insert(it.Worker);
    } else if (it.Kind == "ended" || it.Kind == "lost") {
      workers.erase(it.Worker);
    }
  }
  return out;
}

} // namespace

int main(int, char **argv) {
  Deployment site({.Vms = 3, .Workers = 6}, argv[1], argv[2]);
  if (!site.listen())
    return 2;
  site.publish({"work"}, {"key-1"});
  std::vector<Vm *> all;
  for (Vm &it : site.vms()) {
    site.start(it);
    all.push_back(&it);
  }
  if (!site.settle(all))
    return 2;
  Program program = working(10000);
  program.Takes.Gpu = 4;
  const std::string path = "/work/" + Job;
  if (site.ask(site.vms()[0], "POST", path, "key-1",
               jobBody(6, program, R"(,"estimated_ms":10000)"),
               Millis(3000)) != 200)
    return 2;
  const auto starts = [&] {
    std::size_t n = 0;
    for (const RunEvent &it : site.runs())
      n += it.Kind == "started" && it.Task.starts_with(Job) ? 1 : 0;
    return n;
  };
  if (!site.runUntil(Millis(5000), [&] { return starts() == 6; }))
    return 2;
  site.runFor(Millis(2000));
  if (troubled()) {
    const std::string copied = site.runs().back().Worker;
    for (const Worker &it : site.workers())
      if (it.Id == copied)
        site.putOddEntry(it, "mirror-" + it.Id);
  }
  const bool completed = site.runUntil(Millis(40000), [&] {
    std::string answer;
    site.runFor(Millis(500));
    return site.ask(site.vms()[1], "GET", path, "key-1", "", Millis(1000),
                    &answer) == 200 &&
           answer.find("completed") != std::string::npos;
  });
  const std::size_t n = doubled(site.runs()).size();
  return site.finish(n > 0,
                     fmt::format("{} of 6 work items ran on two workers "
                                 "at the same time; job {}",
                                 n, completed ? "completed" : "not ended"));
}
