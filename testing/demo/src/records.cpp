// Reading and judging the history file of the backend servers.
#include "records.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace citrongap::demo {

namespace {

using nlohmann::json;

/// The longest that one part may run without the others: a task lease.
constexpr std::int64_t PartialBoundMs = 14000;

void readEvent(const json &event, Records &out) {
  const std::string kind = event.value("event", "");
  if (!event.contains("task") || (kind != "released" && kind != "ended"))
    return;
  const std::string task = event.value("task", "");
  const std::string job =
      event.value("account", "") + "/" + event.value("key", "");
  Attempt &attempt = out[job][task.substr(0, task.rfind('-'))];
  const unsigned part = event.value("part", 0U);
  attempt.Parts = event.value("parts", 1U);
  if (kind == "released") {
    attempt.Started.emplace(part, event.value("at", std::int64_t{0}));
    return;
  }
  if (event.value("ran", false))
    attempt.Ended[part] = event.value("at", std::int64_t{0});
  if (event.value("status", "") == "done")
    ++attempt.Done;
}

/// Some part ran past the bound while another never ran.
bool partial(const Attempt &attempt) {
  if (attempt.Started.empty() || attempt.Started.size() == attempt.Parts)
    return false;
  return std::any_of(attempt.Started.begin(), attempt.Started.end(),
                     [&](const auto &it) {
                       const auto end = attempt.Ended.find(it.first);
                       return end == attempt.Ended.end() ||
                              end->second - it.second > PartialBoundMs;
                     });
}

void judgeJob(const Ask &ask, const Answered &answered,
              const std::map<std::string, Attempt> &attempts, Verdict &out) {
  unsigned started = 0;
  unsigned done = 0;
  for (const auto &[id, it] : attempts) {
    started += it.Started.empty() ? 0 : 1;
    done += it.Done == it.Parts ? 1 : 0;
    out.PartialGangs += partial(it) ? 1 : 0;
  }
  out.Doubled += (ask.Repeatable ? done : started) > 1 ? 1 : 0;
  const bool lost =
      answered.Outcome.empty() || (answered.Outcome == "done" && done == 0);
  out.Lost += lost ? 1 : 0;
  out.Untruthful += answered.Outcome == "not_run" && started > 0 ? 1 : 0;
  out.Crossed += !answered.Outcome.empty() && !answered.OwnAndWhole ? 1 : 0;
}

} // namespace

Records readRecords(const std::string &path) {
  Records out;
  std::ifstream in(path);
  std::string line;
  while (std::getline(in, line)) {
    const json event = json::parse(line, nullptr, false);
    if (event.is_object())
      readEvent(event, out);
  }
  return out;
}

Verdict judge(const std::vector<Ask> &script,
              const std::map<std::string, Answered> &answers,
              const Records &records) {
  Verdict out;
  const std::map<std::string, Attempt> none;
  for (const auto &ask : script) {
    const auto attempts = records.find(ask.Account + "/" + ask.Key);
    const auto answered = answers.find(ask.Key);
    judgeJob(ask, answered == answers.end() ? Answered{} : answered->second,
             attempts == records.end() ? none : attempts->second, out);
  }
  return out;
}

std::optional<std::int64_t>
timeToStart(const Ask &ask, const Answered &answered, const Records &records) {
  const auto attempts = records.find(ask.Account + "/" + ask.Key);
  if (attempts == records.end())
    return std::nullopt;
  std::optional<std::int64_t> first;
  for (const auto &[id, it] : attempts->second)
    for (const auto &[part, at] : it.Started)
      first = std::min(first.value_or(at), at);
  if (!first)
    return std::nullopt;
  return *first - toMillis(answered.AskedAt);
}

} // namespace citrongap::demo
