// citrongap_platform_standin: the platform's stand-in as a program.
#include "citrongap/base/log.h"
#include "citrongap/standins/platform_service.h"
#include "program.h"

#include <csignal>
#include <cxxopts.hpp>

using namespace citrongap;
using namespace citrongap::standins;

namespace {

constexpr Log PlatformLog("platform-standin");

cxxopts::Options options() {
  cxxopts::Options out("citrongap_platform_standin",
                       "Stand-in of the platform for tests");
  auto add = out.add_options();
  add("listen", "IP:PORT", cxxopts::value<std::string>());
  add("vms", "JSON array of VMs", cxxopts::value<std::string>());
  add("lag-ms", "lag of the list of VMs",
      cxxopts::value<std::int64_t>()->default_value("1000"));
  add("retention-ms", "age at which records are dropped",
      cxxopts::value<std::int64_t>()->default_value("3600000"));
  add("retention-records", "records kept in a stream",
      cxxopts::value<std::size_t>()->default_value("1000000"));
  add("max-appends-per-second", "appends beyond it are refused",
      cxxopts::value<std::uint32_t>()->default_value("500"));
  add("help", "this text");
  return out;
}

int serve(const cxxopts::ParseResult &arguments) {
  const auto at = parseEndpoint(arguments["listen"].as<std::string>());
  if (!at) {
    PlatformLog("--listen is not IP:PORT");
    return ExitUsage;
  }
  PlatformOptions out;
  if (arguments.count("vms") != 0) {
    const auto list = readJsonArray(arguments["vms"].as<std::string>());
    if (!list) {
      PlatformLog("--vms is not a file with a JSON array");
      return ExitUsage;
    }
    out.Vms = *list;
  }
  out.ListLag = Millis(arguments["lag-ms"].as<std::int64_t>());
  out.Retention = {Millis(arguments["retention-ms"].as<std::int64_t>()),
                   arguments["retention-records"].as<std::size_t>()};
  out.MaxAppendsPerSecond =
      arguments["max-appends-per-second"].as<std::uint32_t>();
  EventLoop loop;
  PlatformService service(loop, std::move(out));
  if (!service.listen(*at)) {
    PlatformLog("can't listen on {}", at->str());
    return ExitFailure;
  }
  const Timer term = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
  PlatformLog("listening on {}", at->str());
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return runProgram(argc, argv, options(), {"listen"}, serve);
}
