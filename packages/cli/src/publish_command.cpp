// citrongap publish: shows what will change and publishes it on the revision
// that was read.
#include "call.h"
#include "citrongap/base/outcome.h"
#include "citrongap/base/random.h"
#include "citrongap/ledger/configuration_change.h"
#include "citrongap/policy/configuration.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap::cli {

namespace {

constexpr Seconds ReadPatience{5};
constexpr Seconds PublishPatience{15};
constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;

const char *nameOf(ConfigurationList list) {
  switch (list) {
  case ConfigurationList::Accounts:
    return "account";
  case ConfigurationList::Plans:
    return "plan";
  case ConfigurationList::DataCentres:
    return "data_centre";
  }
  return "entry";
}

std::string describeEntry(const ConfigurationEntry &entry) {
  return std::visit(
      Overloaded{
          [](const AccountEntry &it) {
            return fmt::format("plan = {}", it.Plan.str());
          },
          [](const PlanEntry &it) {
            return fmt::format(
                "guaranteed = {}, weight = {}, urgent_per_hour = {}, "
                "max_queued = {}, requests_per_second = {}, largest_gang = {}",
                formatShapes(it.Guaranteed), it.Weight, it.UrgentPerHour,
                it.MaxQueued, it.RequestsPerSecond, it.LargestGang.Count);
          },
          [](const DataCentreEntry &it) {
            return fmt::format("racks = {}, servers_per_rack = {}, "
                               "accelerators_per_server = {}",
                               it.Racks, it.ServersPerRack, it.PerServer.Count);
          }},
      entry);
}

void printChange(const EntryChange &change) {
  if (!change.Value)
    fmt::print("- [{} {}]\n", nameOf(change.List), change.Name);
  else
    fmt::print("~ [{} {}] {}\n", nameOf(change.List), change.Name,
               describeEntry(*change.Value));
}

std::optional<ConfigurationSnapshot> fetchCurrent(const Endpoint &at,
                                                  int &code) {
  const auto result =
      call(at, {"GET", "/v1/configuration", "", ""}, ReadPatience);
  if (const auto *error = std::get_if<HttpError>(&result)) {
    code = reportNoAnswer(at, *error);
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(std::get<HttpResponse>(result).Body,
                                          nullptr, false);
  const bool readable =
      json.is_object() && json.contains("state") && json["state"].is_string();
  auto snapshot = readable ? decodeSnapshot(json["state"].get<std::string>())
                           : std::nullopt;
  if (!snapshot) {
    fmt::print(stderr, "citrongap: {} sent no readable configuration\n",
               at.str());
    code = ExitNoAnswer;
  }
  return snapshot;
}

int send(const Endpoint &at, const ConfigurationChange &change) {
  const auto result =
      call(at, {"POST", "/v1/configuration", encodeChange(change), ""},
           PublishPatience);
  if (std::holds_alternative<HttpError>(result)) {
    fmt::print(stderr, "citrongap: the change is unconfirmed; run the same "
                       "command again, it publishes nothing "
                       "twice\n");
    return ExitUnknown;
  }
  const auto &response = std::get<HttpResponse>(result);
  const auto json = nlohmann::json::parse(response.Body, nullptr, false);
  if (response.Status == HttpOk && json.is_object()) {
    fmt::print("accepted as revision {}\n", json.value("revision", 0));
    return ExitOk;
  }
  if (response.Status == HttpConflict) {
    fmt::print(stderr, "refused; nothing has changed\n");
    printFindings(response.Body);
    return ExitRefused;
  }
  fmt::print(stderr, "{}\n", response.Body);
  return ExitUnknown;
}

int publish(const cxxopts::ParseResult &arguments) {
  const auto at = entryVmOf(arguments);
  if (!at || arguments.count("plans") == 0 ||
      arguments.count("entitlements") == 0) {
    fmt::print(
        stderr,
        "citrongap: --at, --plans and --entitlements are needed; try --help\n");
    return ExitUsage;
  }
  const auto lists =
      readConfigurationFiles(arguments["plans"].as<std::string>(),
                             arguments["entitlements"].as<std::string>());
  if (const auto *findings = std::get_if<Findings>(&lists)) {
    fmt::print(stderr, "{}", findings->text());
    return ExitFindings;
  }
  int code = ExitOk;
  const auto current = fetchCurrent(*at, code);
  if (!current)
    return code;
  ConfigurationChange change;
  change.Id = Random::fromDevice().uniqueId();
  change.Base = arguments.count("base") > 0
                    ? Revision(arguments["base"].as<std::uint64_t>())
                    : current->At;
  change.Operator = arguments["operator"].as<std::string>();
  change.Changes = difference(current->Lists, std::get<Configuration>(lists));
  if (change.Changes.empty()) {
    fmt::print("nothing to change on revision {}\n", current->At.value());
    return ExitOk;
  }
  fmt::print("on revision {}:\n", change.Base.value());
  for (const auto &it : change.Changes)
    printChange(it);
  if (arguments.count("dry-run") > 0)
    return ExitOk;
  return send(*at, change);
}

} // namespace

int runPublish(const Arguments &arguments) {
  cxxopts::Options options(
      "citrongap publish",
      "Publishes the two lists; only what differs is sent.");
  options.add_options()("at", "entry VM (IP:PORT)",
                        cxxopts::value<std::string>())(
      "plans", "list of customers' plans", cxxopts::value<std::string>())(
      "entitlements", "list of what each plan may use",
      cxxopts::value<std::string>())(
      "operator", "who publishes",
      cxxopts::value<std::string>()->default_value("operator"))(
      "base",
      "revision that the change is based on; the one in force when left out",
      cxxopts::value<std::uint64_t>())("dry-run",
                                       "only show what would change");
  return withOptions(std::move(options), arguments, publish);
}

} // namespace citrongap::cli
