// JSON of jobs, outcomes and attempts.
#include "citrongap/daemon/job_json.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxPayloadBytes = 24U << 10U;
constexpr std::int64_t MaxRunMs = 30LL * 24 * 3600 * 1000;

std::string dump(const json &it) {
  return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Reads the members of one object and collects what is wrong with them.
class Reader {
public:
  Reader(const json &object, Findings &findings)
      : Object(object), Found(findings) {}

  std::string name(const char *key, bool required) {
    const auto it = Object.find(key);
    if (it == Object.end()) {
      if (required)
        add(key, "is missing");
      return {};
    }
    if (!it->is_string()) {
      add(key, "is not a text");
      return {};
    }
    auto text = it->get<std::string>();
    if (required && text.empty())
      add(key, "is empty");
    if (text.size() > MaxNameBytes)
      add(key, fmt::format("is longer than {} bytes", MaxNameBytes));
    if (text.find_first_of("/#\n\r") != std::string::npos)
      add(key, "contains a slash, a number sign or a line break");
    return text;
  }

  std::int64_t number(const char *key, std::int64_t low, std::int64_t high,
                      std::optional<std::int64_t> fallback) {
    const auto it = Object.find(key);
    if (it == Object.end()) {
      if (!fallback)
        add(key, "is missing");
      return fallback.value_or(low);
    }
    const bool fits =
        it->is_number_integer() &&
        !(it->is_number_unsigned() && it->get<std::uint64_t>() > INT64_MAX);
    const std::int64_t n = fits ? it->get<std::int64_t>() : low;
    if (!fits || n < low || n > high)
      add(key, fmt::format("is not a whole number from {} to {}", low, high));
    return n;
  }

  bool flag(const char *key, bool fallback) {
    const auto it = Object.find(key);
    if (it == Object.end())
      return fallback;
    if (!it->is_boolean())
      add(key, "is neither true nor false");
    return it->is_boolean() ? it->get<bool>() : fallback;
  }

  std::string payload() {
    const auto it = Object.find("payload");
    if (it == Object.end())
      return {};
    std::string text = it->is_string() ? it->get<std::string>() : dump(*it);
    if (text.size() > MaxPayloadBytes)
      add("payload", fmt::format("is larger than {} bytes", MaxPayloadBytes));
    return text;
  }

  void add(const char *key, std::string message) {
    Found.add(std::string("/") + key, std::move(message));
  }

private:
  const json &Object;
  Findings &Found;
};

constexpr std::array<const char *, 9> KnownMembers{
    "account",     "key",    "class", "gang",   "repeatable",
    "deadline_ms", "run_ms", "kind",  "payload"};

void reportUnknownMembers(const json &object, Findings &findings) {
  for (const auto &[key, value] : object.items())
    if (std::find(KnownMembers.begin(), KnownMembers.end(), key) ==
        KnownMembers.end())
      findings.add("/" + key, "is not a known member");
}

JobRequest readJob(const json &object, Findings &findings) {
  Reader in(object, findings);
  JobRequest job;
  job.Id.Account = ClientAccountId(in.name("account", true));
  job.Id.Key = RequestKey(in.name("key", true));
  const std::string className = in.name("class", false);
  const auto serviceClass =
      serviceClassFrom(className.empty() ? "standard" : className);
  if (!serviceClass)
    in.add("class", "is neither urgent, standard nor background");
  job.Class = serviceClass.value_or(ServiceClass::Standard);
  job.Gang.Count =
      static_cast<std::uint32_t>(in.number("gang", 1, MaxGang.Count, 1));
  job.Repeatable = in.flag("repeatable", true);
  job.Deadline =
      wallFromMillis(in.number("deadline_ms", 0, INT64_MAX / 2, std::nullopt));
  job.DeclaredRunMs = in.number("run_ms", 0, MaxRunMs, 0);
  job.Kind = in.name("kind", false);
  job.Payload = in.payload();
  return job;
}

json jobToJson(const JobRequest &job) {
  return {{"account", job.Id.Account.str()},
          {"key", job.Id.Key.str()},
          {"class", toString(job.Class)},
          {"gang", job.Gang.Count},
          {"repeatable", job.Repeatable},
          {"deadline_ms", toMillis(job.Deadline)},
          {"run_ms", job.DeclaredRunMs},
          {"kind", job.Kind},
          {"payload", job.Payload}};
}

json placementToJson(const Placement &where) {
  json parts = json::array();
  for (const auto &it : where.Parts)
    parts.push_back({{"server", it.Server.str()}, {"slots", it.Slots}});
  return parts;
}

std::optional<Placement> placementFromJson(const json &parts) {
  Placement where;
  if (!parts.is_array())
    return std::nullopt;
  for (const auto &it : parts) {
    const bool good = it.is_object() && it.contains("server") &&
                      it["server"].is_string() && it.contains("slots") &&
                      it["slots"].is_array();
    if (!good)
      return std::nullopt;
    PlacementPart part{BackendServerId(it["server"].get<std::string>()), {}};
    for (const auto &slot : it["slots"]) {
      if (!slot.is_number_unsigned())
        return std::nullopt;
      part.Slots.push_back(slot.get<std::uint32_t>());
    }
    where.Parts.push_back(std::move(part));
  }
  return where;
}

} // namespace

Checked<JobRequest> parseSubmission(const std::string &body) {
  Findings findings;
  const json object = json::parse(body, nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    findings.add("/", "is not a JSON object");
    return findings;
  }
  JobRequest job = readJob(object, findings);
  reportUnknownMembers(object, findings);
  if (!findings.empty())
    return findings;
  return job;
}

std::string
answerJson(const JobId &job,
           const std::vector<std::pair<std::string, std::string>> &members,
           const Findings &findings) {
  json out{{"account", job.Account.str()}, {"key", job.Key.str()}};
  for (const auto &[name, value] : members)
    if (name == "retry_after_ms")
      out[name] = std::stoll(value);
    else
      out[name] = value;
  for (const auto &it : findings.items())
    out["findings"].push_back(
        {{"place", it.Location}, {"message", it.Message}});
  return dump(out);
}

std::string findingsJson(const Findings &findings) {
  json items = json::array();
  for (const auto &it : findings.items())
    items.push_back({{"place", it.Location}, {"message", it.Message}});
  return dump(
      {{"error", "the request was not accepted; this call started nothing"},
       {"findings", std::move(items)}});
}

std::string outcomeJson(const JobId &job, const Outcome &outcome) {
  json out{{"account", job.Account.str()}, {"key", job.Key.str()}};
  std::visit(Overloaded{[&](const Done &it) {
                          out["outcome"] = "done";
                          const json result =
                              json::parse(it.Result, nullptr, false);
                          out["result"] =
                              result.is_discarded() ? json(it.Result) : result;
                        },
                        [&](const Failed &it) {
                          out["outcome"] = "failed";
                          out["reason"] = it.Reason;
                        },
                        [&](const NotRun &it) {
                          out["outcome"] = "not_run";
                          out["reason"] = it.Reason;
                          if (it.RetryAfterMs > 0)
                            out["retry_after_ms"] = it.RetryAfterMs;
                        },
                        [&](const Unknown &it) {
                          out["outcome"] = "unknown";
                          out["reason"] = it.Reason;
                          out["ask_again"] = "GET /v1/jobs/" + job.str();
                        }},
             outcome);
  return dump(out);
}

std::string encodeAttempt(const AttemptRecord &record) {
  json out = jobToJson(record.Job);
  out["submission"] = record.Job.SubmissionId;
  out["attempt"] = record.Attempt;
  out["placement"] = placementToJson(record.Where);
  return dump(out);
}

std::optional<AttemptRecord> decodeAttempt(const std::string &text) {
  const json object = json::parse(text, nullptr, false);
  if (object.is_discarded() || !object.is_object())
    return std::nullopt;
  if (!object.contains("attempt") || !object["attempt"].is_string() ||
      !object.contains("placement"))
    return std::nullopt;
  Findings findings;
  AttemptRecord record;
  record.Job = readJob(object, findings);
  const auto submission = object.find("submission");
  if (submission != object.end() && submission->is_string())
    record.Job.SubmissionId = submission->get<std::string>();
  record.Attempt = object["attempt"].get<std::string>();
  auto where = placementFromJson(object["placement"]);
  if (!where || !findings.empty())
    return std::nullopt;
  record.Where = std::move(*where);
  return record;
}

} // namespace citrongap
