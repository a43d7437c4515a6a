// Calls and shared options of the commands.
#include "call.h"

#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_client.h"

#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap::cli {

HttpResult call(const Endpoint &to, const HttpRequest &request,
                Millis patience) {
  EventLoop loop;
  HttpClient client(loop, "");
  HttpResult result = HttpError::NotSent;
  client.call(to, request, monoNow() + patience, [&](HttpResult it) {
    result = std::move(it);
    loop.stop();
  });
  loop.run();
  return result;
}

int withOptions(cxxopts::Options options, const Arguments &arguments,
                const std::function<int(const cxxopts::ParseResult &)> &body) {
  options.add_options()("h,help", "show this help");
  std::vector<const char *> argv{"citrongap"};
  for (const auto &it : arguments)
    argv.push_back(it.c_str());
  try {
    const auto parsed =
        options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      fmt::print("{}", options.help());
      return ExitOk;
    }
    return body(parsed);
  } catch (const cxxopts::exceptions::exception &ec) {
    fmt::print(stderr, "citrongap: {}; try --help\n", ec.what());
    return ExitUsage;
  }
}

std::optional<Endpoint> entryVmOf(const cxxopts::ParseResult &arguments) {
  if (arguments.count("at") == 0) {
    fmt::print(stderr, "citrongap: name an entry VM with --at IP:PORT\n");
    return std::nullopt;
  }
  const auto text = arguments["at"].as<std::string>();
  auto at = parseEndpoint(text);
  if (!at)
    fmt::print(stderr, "citrongap: '{}' is not IP:PORT with an IP number\n",
               text);
  return at;
}

int reportNoAnswer(const Endpoint &to, HttpError error) {
  fmt::print(stderr,
             "citrongap: {} gave no answer: {}; try another entry VM with the "
             "same key\n",
             to.str(), describe(error));
  return ExitNoAnswer;
}

void printFindings(const std::string &body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("findings") ||
      !json["findings"].is_array()) {
    fmt::print(stderr, "{}\n", body);
    return;
  }
  for (const auto &it : json["findings"])
    fmt::print(stderr, "{}: {}\n", it.value("place", ""),
               it.value("message", ""));
}

} // namespace citrongap::cli
