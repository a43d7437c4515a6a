// citrongapd: the daemon of one entry VM.
#include "citrongap/base/log.h"
#include "citrongap/daemon/node.h"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace citrongap;

namespace {

constexpr Log LogLine{"citrongapd"};
constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitAddress = 4;

const char *const ExitHelp = "\nExit codes: 0 left by plan, 2 wrong arguments, "
                             "3 findings in the settings, "
                             "4 an address can't be bound.\n";

int runNode(const Settings &settings) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Node node(loop, settings);
  if (!node.start())
    return ExitAddress;
  const Timer onTerm = loop.onSignal(SIGTERM, [&] { node.drain(); });
  const Timer onInt = loop.onSignal(SIGINT, [&] { node.drain(); });
  loop.run();
  LogLine("stopped");
  return 0;
}

int runWith(const cxxopts::ParseResult &arguments, const std::string &help) {
  if (arguments.count("help") > 0) {
    fmt::print("{}{}", help, ExitHelp);
    return 0;
  }
  if (arguments.count("version") > 0) {
    fmt::print("citrongapd {}\n", CITRONGAP_VERSION);
    return 0;
  }
  if (arguments.count("settings") == 0) {
    fmt::print(stderr, "citrongapd: no settings file is given; try --help\n");
    return ExitUsage;
  }
  const auto settings =
      readSettingsFile(arguments["settings"].as<std::string>());
  if (const auto *findings = std::get_if<Findings>(&settings)) {
    fmt::print(stderr, "{}", findings->text());
    return ExitSettings;
  }
  return runNode(std::get<Settings>(settings));
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options(
      "citrongapd", "Schedules gangs on the accelerators of one data centre.");
  options.add_options()("settings", "settings file (INI)",
                        cxxopts::value<std::string>())(
      "h,help", "show this help")("version", "show the version");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS.ini");
  try {
    return runWith(options.parse(argc, argv), options.help());
  } catch (const cxxopts::exceptions::exception &ec) {
    fmt::print(stderr, "citrongapd: {}; try --help\n", ec.what());
    return ExitUsage;
  }
}
