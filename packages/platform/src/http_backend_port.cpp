// Leases and tasks of a backend server over HTTP.
#include "citrongap/platform/http_ports.h"
#include "json.h"

#include <array>

namespace citrongap {

namespace {

using nlohmann::json;

constexpr std::array<std::pair<const char *, TaskStatus>, 7> StatusNames{
    {{"prepared", TaskStatus::Prepared},
     {"running", TaskStatus::Running},
     {"done", TaskStatus::Done},
     {"failed", TaskStatus::Failed},
     {"stopped", TaskStatus::Stopped},
     {"lapsed", TaskStatus::Lapsed},
     {"dropped", TaskStatus::Dropped}}};

TaskStatus statusFrom(const std::string &text, bool &ok) {
  for (const auto &[name, status] : StatusNames)
    if (text == name)
      return status;
  ok = false;
  return TaskStatus::Failed;
}

std::vector<std::uint32_t> readSlots(const json &object, bool &ok) {
  std::vector<std::uint32_t> slots;
  const auto it = object.find("slots");
  if (it == object.end() || !it->is_array()) {
    ok = false;
    return slots;
  }
  for (const auto &slot : *it) {
    ok = ok && slot.is_number_unsigned();
    slots.push_back(slot.is_number_unsigned() ? slot.get<std::uint32_t>() : 0);
  }
  return slots;
}

TaskState readState(const json &object, bool &ok) {
  TaskState state;
  state.Task = TaskId(field<std::string>(object, "task", ok));
  const json job = object.value("job", json::object());
  state.Job.Account = ClientAccountId(field<std::string>(job, "account", ok));
  state.Job.Key = RequestKey(field<std::string>(job, "key", ok));
  state.Part = field<std::uint32_t>(object, "part", ok);
  state.Parts = field<std::uint32_t>(object, "parts", ok);
  state.Slots = readSlots(object, ok);
  state.Request = field<std::string>(object, "request", ok);
  state.Status = statusFrom(field<std::string>(object, "status", ok), ok);
  state.Ran = field<bool>(object, "ran", ok);
  state.RanMs = field<std::int64_t>(object, "ran_ms", ok);
  state.Result = field<std::string>(object, "result", ok);
  return state;
}

ServerTime readNow(const json &object, bool &ok) {
  return ServerTime(Millis(field<std::int64_t>(object, "now_ms", ok)));
}

SyncAnswer readSync(const json &object, bool &ok) {
  SyncAnswer answer;
  answer.Now = readNow(object, ok);
  answer.Version = field<std::uint64_t>(object, "version", ok);
  const auto tasks = object.find("tasks");
  if (tasks == object.end() || !tasks->is_array()) {
    ok = false;
    return answer;
  }
  for (const auto &it : *tasks)
    answer.Tasks.push_back(readState(it, ok));
  return answer;
}

std::monostate readNothing(const json &, bool &) { return {}; }

/// Text that is not UTF-8 is replaced, never thrown on.
std::string dump(const json &body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void addFrom(json &body, const std::optional<ServerTime> &from) {
  if (from)
    body["from_ms"] = from->time_since_epoch().count();
}

} // namespace

HttpBackendPort::HttpBackendPort(HttpClient &http) : Http(http) {}

void HttpBackendPort::clock(const Endpoint &server, MonoTime deadline,
                            PortCallback<ServerTime> callback) {
  Http.call(server, {"GET", "/usage", "", ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<ServerTime>(result, readNow));
            });
}

void HttpBackendPort::acquire(const Endpoint &server, const EntryVmId &holder,
                              Millis term, ServerTime from,
                              std::optional<FencingToken> previous,
                              MonoTime deadline,
                              PortCallback<FencingToken> callback) {
  json body{{"holder", holder.str()},
            {"ttl_ms", term.count()},
            {"from_ms", from.time_since_epoch().count()}};
  if (previous)
    body["previous_token"] = previous->value();
  Http.call(server, {"POST", "/lease", dump(body), ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<FencingToken>(result, [](const json &object,
                                                           bool &ok) {
                return FencingToken(field<std::uint64_t>(object, "token", ok));
              }));
            });
}

void HttpBackendPort::sync(const Endpoint &server, const SyncRequest &request,
                           MonoTime deadline,
                           PortCallback<SyncAnswer> callback) {
  json acknowledged = json::array();
  for (const auto &it : request.Acknowledged)
    acknowledged.push_back(it.str());
  json body{{"token", request.Token.value()},
            {"ttl_ms", request.LeaseTerm.count()},
            {"task_ttl_ms", request.TaskTerm.count()},
            {"since", request.Since},
            {"wait_ms", request.Wait.count()},
            {"acknowledge", std::move(acknowledged)}};
  addFrom(body, request.From);
  Http.call(server, {"POST", "/sync", dump(body), ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<SyncAnswer>(result, readSync));
            });
}

void HttpBackendPort::prepare(const Endpoint &server, FencingToken token,
                              const PrepareTask &task, MonoTime deadline,
                              PortCallback<std::monostate> callback) {
  json body{
      {"token", token.value()},
      {"task", task.Task.str()},
      {"job",
       {{"account", task.Job.Account.str()}, {"key", task.Job.Key.str()}}},
      {"part", task.Part},
      {"parts", task.Parts},
      {"slots", task.Slots},
      {"request", task.Request},
      {"start_by_ms", task.StartBy.count()},
      {"task_ttl_ms", task.TaskTerm.count()}};
  addFrom(body, task.From);
  Http.call(server, {"POST", "/prepare", dump(body), ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<std::monostate>(result, readNothing));
            });
}

void HttpBackendPort::release(const Endpoint &server, FencingToken token,
                              const TaskId &task, ServerTime from,
                              MonoTime deadline,
                              PortCallback<std::monostate> callback) {
  const json body{{"token", token.value()},
                  {"task", task.str()},
                  {"from_ms", from.time_since_epoch().count()}};
  Http.call(server, {"POST", "/release", dump(body), ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<std::monostate>(result, readNothing));
            });
}

void HttpBackendPort::stop(const Endpoint &server, FencingToken token,
                           const TaskId &task, bool checkpoint,
                           MonoTime deadline,
                           PortCallback<TaskState> callback) {
  const json body{{"token", token.value()},
                  {"task", task.str()},
                  {"checkpoint", checkpoint}};
  Http.call(server, {"POST", "/stop", dump(body), ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<TaskState>(result, readState));
            });
}

} // namespace citrongap
