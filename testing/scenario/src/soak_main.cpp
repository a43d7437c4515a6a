// citrongap_soak: one scenario under many seeds, a bounded number at a time
// and for a bounded time.
#include "citrongap/base/time.h"
#include "citrongap/testing/process.h"

#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <thread>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr Millis PollInterval{50};

struct Plan {
  std::string File;
  std::string Build;
  std::string Daemon;
  std::uint64_t First = 1;
  std::uint64_t Last = 1;
  std::size_t AtOnce = 1;
  /// No seed is started later; what runs is waited for.
  MonoTime StartUntil;
  std::string LogDirectory;
};

struct Tally {
  std::uint64_t Held = 0;
  std::vector<std::uint64_t> Failed;
};

cxxopts::Options options() {
  cxxopts::Options out("citrongap_soak", "One scenario under many seeds");
  auto add = out.add_options();
  add("first", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("last", "last seed",
      cxxopts::value<std::uint64_t>()->default_value("200"));
  add("at-once", "scenarios that run side by side",
      cxxopts::value<std::size_t>()->default_value("3"));
  add("minutes", "no seed is started later",
      cxxopts::value<std::int64_t>()->default_value("20"));
  add("build", "build tree with the programs",
      cxxopts::value<std::string>()->default_value("build"));
  add("daemon", "the daemon's program, when not of that tree",
      cxxopts::value<std::string>()->default_value(""));
  add("logs", "directory for the output of each seed",
      cxxopts::value<std::string>()->default_value("/tmp"));
  add("help", "this text");
  add("file", "scenario file", cxxopts::value<std::string>());
  out.parse_positional({"file"});
  out.positional_help("FILE");
  return out;
}

std::unique_ptr<Process> start(const Plan &plan, std::uint64_t seed) {
  std::vector<std::string> arguments{plan.Build +
                                         "/testing/scenario/citrongap_scenario",
                                     plan.File,
                                     "--seed",
                                     std::to_string(seed),
                                     "--build",
                                     plan.Build};
  if (!plan.Daemon.empty())
    arguments.insert(arguments.end(), {"--daemon", plan.Daemon});
  return std::make_unique<Process>(
      arguments, fmt::format("{}/soak-{}.log", plan.LogDirectory, seed));
}

/// Takes ended runs out of `running`.
void collect(std::map<std::uint64_t, std::unique_ptr<Process>> &running,
             Tally &tally) {
  for (auto it = running.begin(); it != running.end();) {
    if (it->second->running()) {
      ++it;
      continue;
    }
    if (it->second->exitCode() == 0) {
      ++tally.Held;
    } else {
      tally.Failed.push_back(it->first);
      fmt::print("seed {} failed\n", it->first);
    }
    it = running.erase(it);
  }
}

Tally soak(const Plan &plan) {
  Tally tally;
  std::map<std::uint64_t, std::unique_ptr<Process>> running;
  std::uint64_t next = plan.First;
  while (true) {
    collect(running, tally);
    const bool more = next <= plan.Last && monoNow() < plan.StartUntil;
    if (!more && running.empty())
      return tally;
    if (more && running.size() < plan.AtOnce) {
      running[next] = start(plan, next);
      ++next;
    } else {
      std::this_thread::sleep_for(PollInterval);
    }
  }
}

int runSoak(const cxxopts::ParseResult &arguments) {
  Plan plan;
  plan.File = arguments["file"].as<std::string>();
  plan.Build = arguments["build"].as<std::string>();
  plan.Daemon = arguments["daemon"].as<std::string>();
  plan.First = arguments["first"].as<std::uint64_t>();
  plan.Last = arguments["last"].as<std::uint64_t>();
  plan.AtOnce =
      std::max<std::size_t>(1, arguments["at-once"].as<std::size_t>());
  plan.StartUntil =
      monoNow() + std::chrono::minutes(arguments["minutes"].as<std::int64_t>());
  plan.LogDirectory = arguments["logs"].as<std::string>();
  Tally tally = soak(plan);
  std::sort(tally.Failed.begin(), tally.Failed.end());
  const std::uint64_t wanted = plan.Last + 1 - plan.First;
  const std::uint64_t ran = tally.Held + tally.Failed.size();
  fmt::print("soak: {} of {} seeds ran, {} held, {} failed: {}\n", ran, wanted,
             tally.Held, tally.Failed.size(), fmt::join(tally.Failed, " "));
  return tally.Failed.empty() && ran == wanted ? 0 : ExitFailed;
}

} // namespace

int main(int argc, char **argv) {
  auto program = options();
  try {
    const auto arguments = program.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("file") == 0) {
      fmt::print("{}", program.help());
      return arguments.count("help") != 0 ? 0 : ExitUsage;
    }
    return runSoak(arguments);
  } catch (const cxxopts::exceptions::exception &wrong) {
    fmt::print(stderr, "{}\n", wrong.what());
    return ExitUsage;
  }
}
