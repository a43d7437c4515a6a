// JSON of the backend server's calls and answers.
#include "backend_json.h"
#include "citrongap/standins/json_fields.h"

namespace citrongap::standins {

using nlohmann::json;

namespace {

const char *nameOf(BackendEventKind kind) {
  switch (kind) {
  case BackendEventKind::LeaseGranted:
    return "lease_granted";
  case BackendEventKind::LeaseLapsed:
    return "lease_lapsed";
  case BackendEventKind::Prepared:
    return "prepared";
  case BackendEventKind::Released:
    return "released";
  case BackendEventKind::Ended:
    return "ended";
  case BackendEventKind::StopAsked:
    return "stop";
  case BackendEventKind::Refused:
    return "refused";
  }
  return "refused";
}

json jobJson(const JobId &job) {
  return {{"account", job.Account.str()}, {"key", job.Key.str()}};
}

} // namespace

Program programOf(const std::string &request) {
  Program program;
  const auto job = parseObject(request);
  const auto payload =
      parseObject(job ? textField(*job, "payload") : std::string());
  if (!payload)
    return program;
  program.Run = Millis(numberField(*payload, "run_ms", program.Run.count()));
  program.Fail = boolField(*payload, "fail", false);
  program.Result = textField(*payload, "result");
  return program;
}

std::optional<ServerTime> fromOf(const json &body) {
  if (!body.contains("from_ms"))
    return std::nullopt;
  return ServerTime(Millis(numberField(body, "from_ms", 0)));
}

std::optional<PrepareTask> prepareOf(const json &body) {
  const json job = objectField(body, "job");
  const auto slots = indexesField(body, "slots");
  const auto part = numberField(body, "part", -1);
  const auto parts = numberField(body, "parts", -1);
  const auto startBy = numberField(body, "start_by_ms", -1);
  const auto term = numberField(body, "task_ttl_ms", -1);
  PrepareTask out;
  out.Task = TaskId(textField(body, "task"));
  if (out.Task.empty() || !slots || part < 0 || parts <= part || startBy < 0 ||
      term <= 0)
    return std::nullopt;
  out.Job = {ClientAccountId(textField(job, "account")),
             RequestKey(textField(job, "key"))};
  out.Part = static_cast<std::uint32_t>(part);
  out.Parts = static_cast<std::uint32_t>(parts);
  out.Slots = *slots;
  out.Request = textField(body, "request");
  out.StartBy = Millis(startBy);
  out.TaskTerm = Millis(term);
  out.From = fromOf(body);
  return out;
}

SyncRequest syncOf(const json &body) {
  SyncRequest out;
  out.Token =
      FencingToken(static_cast<std::uint64_t>(numberField(body, "token", 0)));
  out.LeaseTerm = Millis(numberField(body, "ttl_ms", 0));
  out.TaskTerm = Millis(numberField(body, "task_ttl_ms", 0));
  out.Since = static_cast<std::uint64_t>(numberField(body, "since", 0));
  out.Wait = Millis(numberField(body, "wait_ms", 0));
  for (auto &it : textsField(body, "acknowledge"))
    out.Acknowledged.emplace_back(std::move(it));
  out.From = fromOf(body);
  return out;
}

json stateJson(const TaskState &state, std::uint64_t version) {
  return {{"task", state.Task.str()},
          {"job", jobJson(state.Job)},
          {"part", state.Part},
          {"parts", state.Parts},
          {"slots", state.Slots},
          {"request", state.Request},
          {"status", toString(state.Status)},
          {"ran", state.Ran},
          {"ran_ms", state.RanMs},
          {"result", state.Result},
          {"version", version}};
}

HttpResponse refusalResponse(const Refusal &refusal) {
  const json body{{"error", refusal.Reason},
                  {"token", refusal.Token.value()},
                  {"holder", refusal.Holder.str()},
                  {"remaining_ms", refusal.Remaining.count()}};
  return {refusal.Status, dump(body)};
}

json eventJson(const BackendServerId &server, const BackendEvent &event) {
  json out{{"at", toMillis(event.At)},     {"who", "backend"},
           {"event", nameOf(event.Kind)},  {"server", server.str()},
           {"token", event.Token.value()}, {"holder", event.Holder.str()}};
  if (!event.Reason.empty())
    out["reason"] = event.Reason;
  if (!event.Task)
    return out;
  out.update(jobJson(event.Task->Job));
  out["task"] = event.Task->Task.str();
  out["part"] = event.Task->Part;
  out["parts"] = event.Task->Parts;
  out["slots"] = event.Task->Slots;
  if (event.Kind == BackendEventKind::Ended) {
    out["status"] = toString(event.Task->Status);
    out["ran"] = event.Task->Ran;
    out["result"] = event.Task->Result;
  }
  return out;
}

} // namespace citrongap::standins
