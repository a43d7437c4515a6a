// citrongap_backend_standin: many backend servers' stand-ins in one program.
#include "citrongap/base/log.h"
#include "citrongap/standins/backend_service.h"
#include "citrongap/standins/json_fields.h"
#include "program.h"

#include <csignal>
#include <cxxopts.hpp>

using namespace citrongap;
using namespace citrongap::standins;

namespace {

constexpr Log BackendLog("backend-standin");
constexpr std::int64_t DefaultSlots = 8;

cxxopts::Options options() {
  cxxopts::Options out("citrongap_backend_standin",
                       "Stand-ins of backend servers for tests");
  auto add = out.add_options();
  add("servers", "JSON array of {id, ip, port, slots}",
      cxxopts::value<std::string>());
  add("history", "file that events are appended to",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "this text");
  return out;
}

/// False when a server is malformed or its address can't be bound.
bool start(const nlohmann::json &server, EventLoop &loop, HistoryFile &history,
           std::list<BackendService> &out) {
  const BackendServerId id(textField(server, "id"));
  const Endpoint at{textField(server, "ip"),
                    static_cast<std::uint16_t>(numberField(server, "port", 0))};
  const auto slots = numberField(server, "slots", DefaultSlots);
  out.emplace_back(loop, id, static_cast<std::uint32_t>(slots), history);
  if (!id.empty() && at.Port != 0 && out.back().listen(at))
    return true;
  BackendLog("can't serve {} on {}", id.str(), at.str());
  return false;
}

int serve(const cxxopts::ParseResult &arguments) {
  const auto list = readJsonArray(arguments["servers"].as<std::string>());
  if (!list) {
    BackendLog("--servers is not a file with a JSON array");
    return ExitUsage;
  }
  EventLoop loop;
  HistoryFile history(arguments["history"].as<std::string>());
  if (!history.ok()) {
    BackendLog("can't write the history");
    return ExitFailure;
  }
  std::list<BackendService> servers;
  for (const auto &it : *list)
    if (!start(it, loop, history, servers))
      return ExitFailure;
  const Timer term = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
  BackendLog("serving {} backend servers", servers.size());
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return runProgram(argc, argv, options(), {"servers"}, serve);
}
