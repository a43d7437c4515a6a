// citrongap status: what the entry VMs tell of themselves.
#include "call.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap::cli {

namespace {

using nlohmann::json;

constexpr Seconds AnswerPatience{5};

void printMembers(const json &status) {
  fmt::print("{:<20} {:<16} {:<8} {:>9}\n", "entry VM", "data centre", "state",
             "revision");
  for (const auto &it : status.value("members", json::array()))
    fmt::print("{:<20} {:<16} {:<8} {:>9}\n", it.value("id", ""),
               it.value("data_centre", ""), it.value("state", ""),
               it.value("revision", 0));
}

void printPod(const json &pod) {
  fmt::print("\npod {} is owned by {}\n", pod.value("id", ""),
             pod.value("owner", ""));
  if (!pod.value("owned_here", false)) {
    fmt::print("ask its owner for queues and servers\n");
    return;
  }
  const int total = pod.value("accelerators", 0);
  const int free = pod.value("free", 0);
  fmt::print("accelerators {}, free {}, largest gang that fits {}\n", total,
             free, pod.value("largest_free", 0));
  fmt::print(
      "jobs running {}, queued {}; servers quarantined {}, not ready {}\n",
      pod.value("running", 0), pod.value("queued", 0),
      pod.value("quarantined", 0),
      pod.value("unready_servers", json::array()).size());
  for (const auto &[account, n] : pod.value("queues", json::object()).items())
    fmt::print("  {:<30} {:>6} queued\n", account, n.get<int>());
}

int status(const cxxopts::ParseResult &arguments) {
  const auto at = entryVmOf(arguments);
  if (!at)
    return ExitUsage;
  const auto result = call(*at, {"GET", "/v1/status", "", ""}, AnswerPatience);
  if (const auto *error = std::get_if<HttpError>(&result))
    return reportNoAnswer(*at, *error);
  const auto &body = std::get<HttpResponse>(result).Body;
  if (arguments.count("json") > 0) {
    fmt::print("{}\n", body);
    return ExitOk;
  }
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object())
    return ExitNoAnswer;
  fmt::print(
      "{} in {}, revision {}, log {}, {} open requests, {} open jobs\n\n",
      answer.value("entry_vm", ""), answer.value("data_centre", ""),
      answer.value("revision", 0),
      answer.value("log_reachable", false) ? "reachable" : "not reachable",
      answer.value("open_requests", 0), answer.value("open_jobs", 0));
  printMembers(answer);
  printPod(answer.value("pod", json::object()));
  return ExitOk;
}

} // namespace

int runStatus(const Arguments &arguments) {
  cxxopts::Options options(
      "citrongap status",
      "Shows members, revisions, the pod, its queues and servers.");
  options.add_options()("at", "entry VM (IP:PORT)",
                        cxxopts::value<std::string>())("json",
                                                       "print the raw answer");
  return withOptions(std::move(options), arguments, status);
}

} // namespace citrongap::cli
