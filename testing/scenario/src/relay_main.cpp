// citrongap_relay: relays between groups of addresses, cut by `POST /control`.
// The scenario runner holds its relays itself; this is for sites by hand.
#include "citrongap/base/log.h"
#include "citrongap/net/http_server.h"
#include "citrongap/standins/json_fields.h"
#include "citrongap/testing/relay.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <list>
#include <nlohmann/json.hpp>

using namespace citrongap;
using namespace citrongap::testing;
using nlohmann::json;

namespace {

constexpr Log RelayLog("relay");
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

struct Path {
  std::string Group;
  std::unique_ptr<Relay> Forwards;
};

Endpoint endpointAt(const json &path, const char *name) {
  const json at = standins::objectField(path, name);
  return {standins::textField(at, "ip"),
          static_cast<std::uint16_t>(standins::numberField(at, "port", 0))};
}

/// Null when the file or an address in it is of no use.
std::optional<std::list<Path>> readPaths(EventLoop &loop,
                                         const std::string &file) {
  std::ifstream text(file);
  const json paths = json::parse(text, nullptr, false);
  if (!paths.is_array())
    return std::nullopt;
  std::list<Path> out;
  for (const auto &it : paths) {
    if (!it.is_object())
      return std::nullopt;
    out.push_back({standins::textField(it, "group"),
                   std::make_unique<Relay>(loop, endpointAt(it, "listen"),
                                           endpointAt(it, "target"))});
    if (!out.back().Forwards->ok())
      return std::nullopt;
  }
  return out;
}

/// `{"cut":[GROUP,...]}`: these are cut from now on, all others are not.
HttpResponse control(const std::string &body, const std::list<Path> &paths) {
  const auto wanted = standins::parseObject(body);
  if (!wanted)
    return {400, R"({"error":"not a JSON object"})"};
  const auto cut = standins::textsField(*wanted, "cut");
  for (const auto &it : paths)
    it.Forwards->setCut(std::find(cut.begin(), cut.end(), it.Group) !=
                        cut.end());
  return {200, "{}"};
}

cxxopts::Options options() {
  cxxopts::Options out("citrongap_relay", "Relays that can be cut");
  auto add = out.add_options();
  add("paths", "JSON array of {group, listen:{ip,port}, target:{ip,port}}",
      cxxopts::value<std::string>());
  add("ip", "address of the control call", cxxopts::value<std::string>());
  add("port", "port of the control call", cxxopts::value<std::uint16_t>());
  add("help", "this text");
  return out;
}

int serve(const cxxopts::ParseResult &arguments) {
  EventLoop loop;
  const auto paths = readPaths(loop, arguments["paths"].as<std::string>());
  if (!paths) {
    RelayLog("--paths is malformed, or an address can't be bound");
    return ExitFailure;
  }
  HttpServer server(
      loop, {},
      [&](const HttpRequest &request, const HttpResponder &responder) {
        responder.send(control(request.Body, *paths));
      });
  const Endpoint at{arguments["ip"].as<std::string>(),
                    arguments["port"].as<std::uint16_t>()};
  if (!server.listen(at)) {
    RelayLog("can't listen on {}", at.str());
    return ExitFailure;
  }
  const Timer term = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  auto program = options();
  try {
    const auto arguments = program.parse(argc, argv);
    const bool whole = arguments.count("paths") != 0 &&
                       arguments.count("ip") != 0 &&
                       arguments.count("port") != 0;
    if (whole && arguments.count("help") == 0)
      return serve(arguments);
    fmt::print("{}", program.help());
    return arguments.count("help") != 0 ? 0 : ExitUsage;
  } catch (const cxxopts::exceptions::exception &wrong) {
    fmt::print(stderr, "{}\n", wrong.what());
    return ExitUsage;
  }
}
