// Routes of a backend server's stand-in and its faults.
#include "citrongap/standins/backend_service.h"
#include "backend_json.h"
#include "citrongap/standins/json_fields.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace citrongap::standins {

using nlohmann::json;

namespace {

constexpr std::size_t MaxBodyBytes = 1U << 20U;
constexpr std::size_t MaxConnections = 64;
constexpr Millis MaxWait{25'000};
/// How far usage lags behind the truth at most.
constexpr Millis UsageInterval{2'000};

HttpResponse error(int status, const char *text) {
  return {status, fmt::format(R"({{"error":"{}"}})", text)};
}

FencingToken tokenOf(const json &body) {
  return FencingToken(
      static_cast<std::uint64_t>(numberField(body, "token", 0)));
}

} // namespace

BackendService::BackendService(EventLoop &loop, BackendServerId id,
                               std::uint32_t slots, HistoryFile &history)
    : Loop(loop), Id(std::move(id)), History(history),
      Model(slots, [this](const BackendEvent &it) { record(it); }),
      Server(
          loop, {MaxBodyBytes, MaxConnections, Seconds(60)},
          [this](const HttpRequest &request, const HttpResponder &responder) {
            onRequest(request, responder);
          }) {}

void BackendService::onRequest(const HttpRequest &request,
                               const HttpResponder &responder) {
  if (pathOf(request.Target) == "/control") {
    control(parseObject(request.Body).value_or(json::object()), responder);
    return;
  }
  if (unanswered(request)) {
    Unanswered.push_back(responder);
    return;
  }
  handle(request, responder);
  afterChange();
}

void BackendService::handle(const HttpRequest &request,
                            const HttpResponder &responder) {
  const std::string path = pathOf(request.Target);
  if (request.Method == "GET" && path == "/usage") {
    answer(request, responder, usage());
    return;
  }
  const auto body = parseObject(request.Body);
  if (request.Method != "POST" || !body) {
    answer(request, responder, error(400, "not a POST of a JSON object"));
    return;
  }
  if (path == "/sync")
    sync(*body, request, responder);
  else if (path == "/lease")
    answer(request, responder, lease(*body));
  else if (path == "/prepare")
    answer(request, responder, prepare(*body));
  else if (path == "/release")
    answer(request, responder, release(*body));
  else if (path == "/stop")
    answer(request, responder, stop(*body));
  else
    answer(request, responder, error(404, "no such path"));
}

HttpResponse BackendService::lease(const json &body) {
  const EntryVmId holder(textField(body, "holder"));
  const auto term = numberField(body, "ttl_ms", 0);
  if (holder.empty() || term <= 0)
    return error(400, "holder or ttl_ms is missing");
  std::optional<FencingToken> previous;
  if (const auto it = numberField(body, "previous_token", -1); it >= 0)
    previous = FencingToken(static_cast<std::uint64_t>(it));
  const auto result =
      Model.acquire(holder, Millis(term), previous, monoNow(), fromOf(body));
  if (const auto *refusal = std::get_if<Refusal>(&result))
    return refusalResponse(*refusal);
  return {200, dump({{"token", std::get<FencingToken>(result).value()}})};
}

HttpResponse BackendService::prepare(const json &body) {
  const auto task = prepareOf(body);
  if (!task)
    return error(400, "a member is missing or malformed");
  if (Current.NoNewWork)
    return error(503, "takes no new work");
  const auto result =
      Model.prepare(tokenOf(body), *task, programOf(task->Request), monoNow());
  if (const auto *refusal = std::get_if<Refusal>(&result))
    return refusalResponse(*refusal);
  return {200, "{}"};
}

HttpResponse BackendService::release(const json &body) {
  const auto result = Model.release(
      tokenOf(body), TaskId(textField(body, "task")), monoNow(), fromOf(body));
  if (const auto *refusal = std::get_if<Refusal>(&result))
    return refusalResponse(*refusal);
  return {200, "{}"};
}

HttpResponse BackendService::stop(const json &body) {
  const auto result =
      Model.stop(tokenOf(body), TaskId(textField(body, "task")), monoNow());
  if (const auto *refusal = std::get_if<Refusal>(&result))
    return refusalResponse(*refusal);
  return {200, dump(stateJson(std::get<TaskState>(result), Model.version()))};
}

HttpResponse BackendService::usage() {
  const MonoTime now = monoNow();
  if (SampledAt == MonoTime::min() || SampledAt + UsageInterval <= now) {
    SampledAt = now;
    SampledBusy = Model.busySlots();
  }
  return {200, dump({{"now_ms", toMillis(now)},
                     {"as_of_ms_ago", (now - SampledAt).count()},
                     {"slots_busy", SampledBusy}})};
}

void BackendService::sync(const json &body, const HttpRequest &request,
                          const HttpResponder &responder) {
  const SyncRequest call = syncOf(body);
  const MonoTime now = monoNow();
  const auto result = Model.sync(call, now);
  if (const auto *refusal = std::get_if<Refusal>(&result)) {
    answer(request, responder, refusalResponse(*refusal));
    return;
  }
  if (Model.version() > call.Since || call.Wait.count() <= 0) {
    answer(request, responder, syncAnswer(call.Token, call.Since));
    return;
  }
  WaitingSyncs.push_back({request, responder, call.Token, call.Since, Timer()});
  const auto it = std::prev(WaitingSyncs.end());
  it->GiveUp = Loop.at(now + std::min(call.Wait, MaxWait), [this, it] {
    const WaitingSync waiting = std::move(*it);
    WaitingSyncs.erase(it);
    answer(waiting.Request, waiting.Responder,
           syncAnswer(waiting.Token, waiting.Since));
  });
}

HttpResponse BackendService::syncAnswer(FencingToken token,
                                        std::uint64_t since) const {
  if (const auto why = Model.refuse(token, monoNow()))
    return refusalResponse(*why);
  json tasks = json::array();
  for (const auto &[version, state] : Model.changedSince(since))
    tasks.push_back(stateJson(state, version));
  return {200, dump({{"now_ms", toMillis(monoNow())},
                     {"version", Model.version()},
                     {"tasks", std::move(tasks)}})};
}

void BackendService::control(const json &body, const HttpResponder &responder) {
  if (body.contains("fail_all"))
    Model.setFailAll(boolField(body, "fail_all", false));
  Current.Slow = Millis(numberField(body, "slow_ms", Current.Slow.count()));
  Current.NoNewWork = boolField(body, "no_new_work", Current.NoNewWork);
  if (boolField(body, "dead", false) && !Current.Dead)
    Model.kill(monoNow());
  Current.Dead = boolField(body, "dead", Current.Dead);
  if (body.contains("refuse_from")) {
    const auto from = textsField(body, "refuse_from");
    Current.RefuseFrom = {from.begin(), from.end()};
  }
  responder.send({200, "{}"});
  afterChange();
}

void BackendService::answer(const HttpRequest &request,
                            const HttpResponder &responder,
                            const HttpResponse &response) {
  if (unanswered(request)) {
    Unanswered.push_back(responder);
    return;
  }
  if (Current.Slow.count() == 0) {
    responder.send(response);
    return;
  }
  Delayed.remove_if([](const Timer &it) { return !it.pending(); });
  Delayed.push_back(Loop.at(monoNow() + Current.Slow, [responder, response] {
    responder.send(response);
  }));
}

bool BackendService::unanswered(const HttpRequest &request) const {
  return Current.Dead || Current.RefuseFrom.contains(request.Peer);
}

void BackendService::afterChange() {
  for (auto it = WaitingSyncs.begin(); it != WaitingSyncs.end();) {
    const bool fenced = Model.refuse(it->Token, monoNow()).has_value();
    if (!fenced && Model.version() <= it->Since) {
      ++it;
      continue;
    }
    answer(it->Request, it->Responder, syncAnswer(it->Token, it->Since));
    it = WaitingSyncs.erase(it);
  }
  const auto next = Model.nextDue();
  if (!next) {
    Due.cancel();
    return;
  }
  Due = Loop.at(*next, [this] {
    Model.advance(monoNow());
    afterChange();
  });
}

void BackendService::record(const BackendEvent &event) {
  History.write(eventJson(Id, event));
}

} // namespace citrongap::standins
