// make bench: every workload under our scheduler and the baselines, one table
// for each, and the targets with their figures.
#include "report.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace citrongap;
using namespace citrongap::bench;

namespace {

struct Options {
  std::uint64_t Seed = 1;
  std::string Only;
  bool Trace = false;
};

std::variant<Options, int> parse(int argc, char **argv) {
  Options out;
  cxxopts::Options options("policy_bench", "decisions on a virtual clock");
  options.add_options()("seed", "seed of all workloads",
                        cxxopts::value(out.Seed))(
      "only", "workloads whose name has this text",
      cxxopts::value(out.Only))("trace", "say what our jobs waited for",
                                cxxopts::value(out.Trace))("help", "this text");
  try {
    if (options.parse(argc, argv).count("help") == 0)
      return out;
    fmt::print("{}\n", options.help());
    return 0;
  } catch (const cxxopts::exceptions::exception &ec) {
    fmt::print(stderr, "bench: {}\n", ec.what());
    return 2;
  }
}

int run(const Options &options) {
  Targets targets;
  fmt::print("policy bench, seed {}\n", options.Seed);
  for (const auto &workload : allWorkloads(options.Seed)) {
    if (workload.Name.find(options.Only) == std::string::npos)
      continue;
    const auto runs = runAll(workload);
    printTable(workload, runs);
    checkTargets(workload, runs, targets);
    if (options.Trace)
      printTrace(workload, runs.front());
  }
  printTargets(targets);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  const auto options = parse(argc, argv);
  return std::visit(Overloaded{[](int code) { return code; },
                               [](const Options &it) { return run(it); }},
                    options);
}
