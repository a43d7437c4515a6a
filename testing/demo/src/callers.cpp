// Script and callers.
#include "callers.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap::demo {

namespace {

using nlohmann::json;

constexpr Seconds DeadlineAfter{80};
constexpr Millis WaitTurn{10000};
constexpr Millis Patience{12000};
constexpr Millis AskAgainAfter{200};
constexpr unsigned MaxAttempts = 300;

struct Kind {
  const char *Account;
  const char *Class;
  unsigned Gang;
  bool Repeatable;
  unsigned RunMs;
  unsigned Count;
};

constexpr Kind Kinds[] = {{"batching", "standard", 1, true, 400, 120},
                          {"batching", "standard", 16, true, 1500, 24},
                          {"batching", "urgent", 8, true, 800, 20},
                          {"batching", "background", 1, true, 600, 60},
                          {"heat-curves", "standard", 8, true, 1200, 24},
                          {"heat-curves", "urgent", 1, true, 300, 20},
                          {"heat-curves", "background", 16, true, 1000, 8},
                          {"labels-peshawar", "standard", 1, false, 300, 50},
                          {"labels-peshawar", "urgent", 1, false, 200, 10},
                          {"labels-quetta", "standard", 1, false, 300, 40},
                          {"labels-quetta", "standard", 8, false, 700, 6}};

std::string submissionBody(const Ask &ask, std::int64_t deadlineMs) {
  const json payload{{"run_ms", ask.RunMs}, {"result", ask.Key}};
  return json{{"account", ask.Account},
              {"key", ask.Key},
              {"class", ask.Class},
              {"gang", ask.Gang},
              {"repeatable", ask.Repeatable},
              {"deadline_ms", deadlineMs},
              {"run_ms", 2 * ask.RunMs},
              {"kind", fmt::format("{}-{}", ask.Class, ask.Gang)},
              {"payload", payload.dump()}}
      .dump();
}

/// Every part's result names the caller's key, and none is missing.
bool ownAndWhole(const Ask &ask, const json &answer) {
  if (answer.value("key", "") != ask.Key ||
      answer.value("account", "") != ask.Account)
    return false;
  if (answer.value("outcome", "") != "done")
    return true;
  const json result = answer.value("result", json::object());
  const json parts =
      result.is_object() ? result.value("parts", json::array()) : json::array();
  const bool all = std::all_of(parts.begin(), parts.end(), [&](const json &it) {
    return it.is_object() && it.value("result", "") == ask.Key;
  });
  return all && !parts.empty();
}

} // namespace

std::vector<Ask> duskHour(std::uint64_t seed, MonoTime begin, Millis length) {
  Random random(seed);
  std::vector<Ask> script;
  unsigned n = 0;
  for (const auto &kind : Kinds)
    for (unsigned i = 0; i < kind.Count; ++i) {
      // Most come in the last third: the rush before dusk.
      const double late = 1.0 - random.unit() * random.unit();
      const auto at = begin + Millis(static_cast<std::int64_t>(
                                  late * static_cast<double>(length.count())));
      const auto runMs = static_cast<unsigned>(
          random.between(kind.RunMs / 2, 2ULL * kind.RunMs));
      script.push_back({at, kind.Account, fmt::format("order-{}", ++n),
                        kind.Class, kind.Gang, kind.Repeatable, runMs});
    }
  std::sort(script.begin(), script.end(),
            [](const Ask &lhs, const Ask &rhs) { return lhs.At < rhs.At; });
  return script;
}

Callers::Callers(EventLoop &loop, const testing::Site &site,
                 std::vector<Ask> script, std::uint64_t seed)
    : Loop(loop), Site(site), Client(loop, ""), Script(std::move(script)),
      Numbers(seed), DeadlineMs(toMillis(wallNow() + DeadlineAfter)) {}

void Callers::start(std::function<void()> onDone) {
  OnDone = std::move(onDone);
  Open = Script.size();
  Timers.resize(Script.size());
  for (std::size_t i = 0; i < Script.size(); ++i)
    Timers[i] = Loop.at(Script[i].At, [this, i] {
      Answers[Script[i].Key].AskedAt = monoNow();
      send(i, 0);
    });
}

void Callers::send(std::size_t index, unsigned attempt) {
  const Ask &ask = Script[index];
  const auto &nodes = Site.nodes();
  const auto &node = nodes[Numbers.between(0, nodes.size() - 1)];
  const std::string target =
      fmt::format("/v1/jobs?wait_ms={}", WaitTurn.count());
  Client.call(node.Http, {"POST", target, submissionBody(ask, DeadlineMs), ""},
              monoNow() + Patience,
              [this, index, attempt](const HttpResult &result) {
                onAnswer(index, attempt, result);
              });
}

void Callers::onAnswer(std::size_t index, unsigned attempt,
                       const HttpResult &result) {
  const Ask &ask = Script[index];
  const auto *response = std::get_if<HttpResponse>(&result);
  const json answer =
      response ? json::parse(response->Body, nullptr, false) : json();
  const std::string outcome =
      answer.is_object() ? answer.value("outcome", "") : "";
  const bool retryable = outcome.empty() || outcome == "unknown" ||
                         answer.contains("retry_after_ms");
  if (!outcome.empty() && (!retryable || attempt >= MaxAttempts)) {
    settle(index, outcome, ownAndWhole(ask, answer));
    return;
  }
  if (attempt >= MaxAttempts) {
    settle(index, "", false);
    return;
  }
  Timers[index] = Loop.at(monoNow() + AskAgainAfter,
                          [this, index, attempt] { send(index, attempt + 1); });
}

void Callers::settle(std::size_t index, const std::string &outcome,
                     bool ownAndWhole) {
  Answered &answered = Answers[Script[index].Key];
  answered.Outcome = outcome;
  answered.OwnAndWhole = ownAndWhole;
  if (--Open == 0)
    OnDone();
}

} // namespace citrongap::demo
