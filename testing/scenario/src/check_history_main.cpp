// citrongap_check_history: judges history files; exit code 1 on violations.
#include "citrongap/history/checker.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>

using namespace citrongap;
using namespace citrongap::history;

namespace {

constexpr int ExitViolations = 1;
constexpr int ExitUsage = 2;

cxxopts::Options options() {
  cxxopts::Options out("citrongap_check_history", "Judges history files");
  const Bounds bounds;
  const auto millis = [](Millis it) {
    return cxxopts::value<std::int64_t>()->default_value(
        std::to_string(it.count()));
  };
  auto add = out.add_options();
  add("gang-bound-ms", "longest partial gang", millis(bounds.PartialGang));
  add("double-run-bound-ms", "longest double run", millis(bounds.DoubleRun));
  add("leaving-grace-ms", "last new task of a leaving server",
      millis(bounds.LeavingGrace));
  add("help", "this text");
  add("files", "history files", cxxopts::value<std::vector<std::string>>());
  out.parse_positional({"files"});
  out.positional_help("FILE...");
  return out;
}

Bounds boundsOf(const cxxopts::ParseResult &arguments) {
  const auto millis = [&](const char *name) {
    return Millis(arguments[name].as<std::int64_t>());
  };
  return {millis("gang-bound-ms"), millis("double-run-bound-ms"),
          millis("leaving-grace-ms")};
}

int judge(const std::vector<std::string> &files, const Bounds &bounds) {
  HistoryReader reader;
  Findings findings;
  for (const auto &name : files) {
    std::ifstream file(name);
    if (!file)
      findings.add(name, "can't be read");
    reader.read(name, file, findings);
  }
  const auto violations = check(reader.history(), bounds);
  fmt::print("{}", findings.text());
  for (const auto &it : violations)
    fmt::print("{} at {}: {}\n", toString(it.Broken), toMillis(it.At), it.What);
  const Counts n = count(reader.history());
  fmt::print("jobs {}, calls {}, done {}, failed {}, not run {}, unknown {}, "
             "unanswered {}, tasks run {}, start p50 {} ms p99 {} ms\n",
             n.Jobs, n.Calls, n.Done, n.Failed, n.NotRun, n.Unknown,
             n.Unanswered, n.Runs, n.StartMedian.count(), n.Start99.count());
  fmt::print("{} violations, {} malformed lines\n", violations.size(),
             findings.items().size());
  return violations.empty() && findings.empty() ? 0 : ExitViolations;
}

} // namespace

int main(int argc, char **argv) {
  auto program = options();
  try {
    const auto arguments = program.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("files") == 0) {
      fmt::print("{}", program.help());
      return arguments.count("help") != 0 ? 0 : ExitUsage;
    }
    return judge(arguments["files"].as<std::vector<std::string>>(),
                 boundsOf(arguments));
  } catch (const cxxopts::exceptions::exception &wrong) {
    fmt::print(stderr, "{}\n", wrong.what());
    return ExitUsage;
  }
}
