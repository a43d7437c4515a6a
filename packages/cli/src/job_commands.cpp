// citrongap submit, wait and cancel.
#include "call.h"
#include "citrongap/base/random.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap::cli {

namespace {

using nlohmann::json;

constexpr Seconds AnswerPatience{15};
constexpr Millis WaitTurn{10000};

int exitCodeOf(const json &answer) {
  const std::string outcome = answer.value("outcome", "");
  if (outcome == "done")
    return ExitOk;
  if (outcome == "unknown")
    return ExitUnknown;
  if (outcome.empty() && answer.contains("state"))
    return ExitOk;
  return ExitRefused;
}

/// Prints the answer on one line and gives the exit code.
int report(const Endpoint &at, const HttpResult &result) {
  if (const auto *error = std::get_if<HttpError>(&result))
    return reportNoAnswer(at, *error);
  const auto &response = std::get<HttpResponse>(result);
  const json answer = json::parse(response.Body, nullptr, false);
  if (!answer.is_object() || answer.contains("findings")) {
    printFindings(response.Body);
    return ExitFindings;
  }
  fmt::print("{}\n", answer.dump());
  return exitCodeOf(answer);
}

bool isOpen(const HttpResult &result) {
  const auto *response = std::get_if<HttpResponse>(&result);
  if (!response)
    return false;
  const json answer = json::parse(response->Body, nullptr, false);
  return answer.is_object() && answer.contains("state");
}

/// Asks in turns until the job ended or `until`; says so on standard error.
int waitFor(const Endpoint &at, const std::string &account,
            const std::string &key, MonoTime until) {
  while (true) {
    const Millis left =
        std::max(Millis(0), std::min(WaitTurn, until - monoNow()));
    const std::string target =
        fmt::format("/v1/jobs/{}/{}?wait_ms={}", account, key, left.count());
    const HttpResult result =
        call(at, {"GET", target, "", ""}, left + AnswerPatience);
    if (!isOpen(result) || monoNow() >= until)
      return report(at, result);
    fmt::print(stderr, "{}/{} is not ended yet\n", account, key);
  }
}

json submission(const cxxopts::ParseResult &arguments, const std::string &key) {
  const auto deadline =
      wallNow() + Seconds(arguments["deadline-in"].as<std::int64_t>());
  json body{{"account", arguments["account"].as<std::string>()},
            {"key", key},
            {"class", arguments["class"].as<std::string>()},
            {"gang", arguments["gang"].as<std::int64_t>()},
            {"repeatable", arguments.count("once") == 0},
            {"deadline_ms", toMillis(deadline)},
            {"run_ms", arguments["run-ms"].as<std::int64_t>()},
            {"kind", arguments["kind"].as<std::string>()}};
  if (arguments.count("payload") > 0)
    body["payload"] = arguments["payload"].as<std::string>();
  return body;
}

int submit(const cxxopts::ParseResult &arguments) {
  const auto at = entryVmOf(arguments);
  if (!at || arguments.count("account") == 0)
    return ExitUsage;
  const std::string key = arguments.count("key") > 0
                              ? arguments["key"].as<std::string>()
                              : Random::fromDevice().uniqueId();
  const json body = submission(arguments, key);
  const auto result =
      call(*at,
           {"POST", "/v1/jobs",
            body.dump(-1, ' ', false, json::error_handler_t::replace), ""},
           AnswerPatience);
  if (arguments.count("wait") == 0 || !isOpen(result))
    return report(*at, result);
  return waitFor(*at, body["account"].get<std::string>(), key,
                 monoNow() + Seconds(arguments["wait"].as<std::int64_t>()));
}

int wait(const cxxopts::ParseResult &arguments) {
  const auto at = entryVmOf(arguments);
  if (!at || arguments.count("account") == 0 || arguments.count("key") == 0)
    return ExitUsage;
  return waitFor(*at, arguments["account"].as<std::string>(),
                 arguments["key"].as<std::string>(),
                 monoNow() + Seconds(arguments["wait"].as<std::int64_t>()));
}

int cancel(const cxxopts::ParseResult &arguments) {
  const auto at = entryVmOf(arguments);
  if (!at || arguments.count("account") == 0 || arguments.count("key") == 0)
    return ExitUsage;
  const std::string target =
      fmt::format("/v1/jobs/{}/{}", arguments["account"].as<std::string>(),
                  arguments["key"].as<std::string>());
  const auto result = call(*at, {"DELETE", target, "", ""}, AnswerPatience);
  const int code = report(*at, result);
  return code == ExitRefused ? ExitOk : code;
}

cxxopts::Options jobOptions(const std::string &name, const std::string &about) {
  cxxopts::Options options(name, about);
  options.add_options()("at", "entry VM (IP:PORT)",
                        cxxopts::value<std::string>())(
      "account", "client account", cxxopts::value<std::string>())(
      "key", "idempotency key", cxxopts::value<std::string>());
  return options;
}

} // namespace

int runSubmit(const Arguments &arguments) {
  auto options =
      jobOptions("citrongap submit",
                 "Submits a job; the same key never runs a second job.");
  options.add_options()(
      "class", "urgent, standard or background",
      cxxopts::value<std::string>()->default_value("standard"))(
      "gang", "accelerators that start together",
      cxxopts::value<std::int64_t>()->default_value("1"))(
      "once", "the job is unrepeatable: it runs at most once")(
      "deadline-in", "seconds from now; nothing starts later",
      cxxopts::value<std::int64_t>()->default_value("3600"))(
      "run-ms", "expected run time in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "kind", "jobs of one kind have similar run times",
      cxxopts::value<std::string>()->default_value(""))(
      "payload", "handed to every task",
      cxxopts::value<std::string>())("wait", "wait so many seconds for the end",
                                     cxxopts::value<std::int64_t>());
  return withOptions(std::move(options), arguments, submit);
}

int runWait(const Arguments &arguments) {
  auto options = jobOptions("citrongap wait", "Waits until a job has ended.");
  options.add_options()("wait", "seconds to wait at most",
                        cxxopts::value<std::int64_t>()->default_value("3600"));
  return withOptions(std::move(options), arguments, wait);
}

int runCancel(const Arguments &arguments) {
  return withOptions(
      jobOptions("citrongap cancel",
                 "Cancels a job; the answer says whether it ran."),
      arguments, cancel);
}

} // namespace citrongap::cli
