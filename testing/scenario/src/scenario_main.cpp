// citrongap_scenario: runs one scenario against real processes on loopback.
#include "citrongap/base/log.h"
#include "scenario/runner.h"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace citrongap;
using namespace citrongap::scenario;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

cxxopts::Options options() {
  cxxopts::Options out("citrongap_scenario",
                       "Runs one scenario against real processes");
  auto add = out.add_options();
  add("seed", "draws faults, entry VMs and weights",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("build", "build tree with the programs",
      cxxopts::value<std::string>()->default_value("build"));
  add("daemon", "the daemon's program, when not of that tree",
      cxxopts::value<std::string>());
  add("keep", "keep the run's files also when it held");
  add("help", "this text");
  add("file", "scenario file", cxxopts::value<std::string>());
  out.parse_positional({"file"});
  out.positional_help("FILE");
  return out;
}

int runScenario(Scenario scenario, const std::string &name,
                const RunOptions &options, bool keep) {
  EventLoop loop;
  std::vector<std::string> faults;
  {
    Runner runner(loop, std::move(scenario), options);
    faults = runner.run();
  }
  for (const auto &it : faults)
    fmt::print("FAULT {}\n", it);
  fmt::print("scenario {} seed {}: {}\n", name, options.Seed,
             faults.empty() ? "held" : fmt::format("{} faults", faults.size()));
  if (faults.empty() && !keep) {
    std::error_code ec;
    std::filesystem::remove_all(options.Directory, ec);
    return 0;
  }
  fmt::print("its files are in {}\n", options.Directory);
  return faults.empty() ? 0 : ExitFailed;
}

int runFile(const cxxopts::ParseResult &arguments) {
  const std::string file = arguments["file"].as<std::string>();
  std::ifstream text(file);
  if (!text) {
    fmt::print(stderr, "{} can't be read\n", file);
    return ExitUsage;
  }
  auto read = readScenario(file, text);
  if (const auto *findings = std::get_if<Findings>(&read)) {
    fmt::print(stderr, "{}", findings->text());
    return ExitUsage;
  }
  RunOptions out;
  out.Seed = arguments["seed"].as<std::uint64_t>();
  out.Build = arguments["build"].as<std::string>();
  out.Daemon = arguments.count("daemon") != 0
                   ? arguments["daemon"].as<std::string>()
                   : out.Build + "/packages/daemon/citrongapd";
  const std::string name = std::filesystem::path(file).stem().string();
  out.Directory = (std::filesystem::temp_directory_path() /
                   fmt::format("citrongap-{}-{}-{}", name, out.Seed, getpid()))
                      .string();
  std::filesystem::create_directories(out.Directory);
  auto scenario = std::get<Scenario>(std::move(read));
  Random random(out.Seed);
  drawFaults(scenario, random);
  return runScenario(std::move(scenario), name, out,
                     arguments.count("keep") != 0);
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  auto program = options();
  try {
    const auto arguments = program.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("file") == 0) {
      fmt::print("{}", program.help());
      return arguments.count("help") != 0 ? 0 : ExitUsage;
    }
    return runFile(arguments);
  } catch (const cxxopts::exceptions::exception &wrong) {
    fmt::print(stderr, "{}\n", wrong.what());
    return ExitUsage;
  }
}
