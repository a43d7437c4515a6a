// Leases and tasks of one backend server.
#include "citrongap/standins/backend_server_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace citrongap::standins {

namespace {

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr const char *TooLate = "the call came after the end that it asks for";
/// How long a task of a failing server runs at most.
constexpr Millis FailAfter{10};

std::string resultOf(const TaskState &task, const Program &program) {
  const nlohmann::json result{
      {"task", task.Task.str()},
      {"part", task.Part},
      {"result", program.Result.empty() ? task.Job.Key.str() : program.Result}};
  return result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool overlaps(const std::vector<std::uint32_t> &a,
              const std::vector<std::uint32_t> &b) {
  return std::any_of(a.begin(), a.end(), [&](std::uint32_t it) {
    return std::find(b.begin(), b.end(), it) != b.end();
  });
}

/// A call that comes late gives no more time than its caller counts on.
MonoTime countedFrom(const std::optional<ServerTime> &from, MonoTime now) {
  return from ? std::min(MonoTime(from->time_since_epoch()), now) : now;
}

} // namespace

const char *toString(TaskStatus status) {
  switch (status) {
  case TaskStatus::Prepared:
    return "prepared";
  case TaskStatus::Running:
    return "running";
  case TaskStatus::Done:
    return "done";
  case TaskStatus::Failed:
    return "failed";
  case TaskStatus::Stopped:
    return "stopped";
  case TaskStatus::Lapsed:
    return "lapsed";
  case TaskStatus::Dropped:
    return "dropped";
  }
  return "failed";
}

BackendServerModel::BackendServerModel(std::uint32_t slots, EventSink sink)
    : Slots(slots), Sink(std::move(sink)) {}

void BackendServerModel::advance(MonoTime now) {
  if (!LapseTold && !leased(now)) {
    LapseTold = true;
    emit(BackendEventKind::LeaseLapsed, nullptr, LeaseEnd);
  }
  for (auto &[id, it] : Tasks)
    advanceEntry(it, now);
}

void BackendServerModel::advanceEntry(Entry &entry, MonoTime now) {
  if (entry.State.Status == TaskStatus::Prepared) {
    if (entry.LeaseEnd <= now)
      end(entry, TaskStatus::Dropped, "", entry.LeaseEnd);
    return;
  }
  if (entry.State.Status != TaskStatus::Running)
    return;
  if (entry.LeaseEnd <= std::min(now, entry.ProgramEnd)) {
    end(entry, TaskStatus::Lapsed, "", entry.LeaseEnd);
    return;
  }
  if (entry.ProgramEnd > now)
    return;
  if (entry.Runs.Fail)
    end(entry, TaskStatus::Failed, "", entry.ProgramEnd);
  else
    end(entry, TaskStatus::Done, resultOf(entry.State, entry.Runs),
        entry.ProgramEnd);
}

std::optional<MonoTime> BackendServerModel::nextDue() const {
  std::optional<MonoTime> next;
  const auto consider = [&](MonoTime at) {
    next = next ? std::min(*next, at) : at;
  };
  if (!LapseTold)
    consider(LeaseEnd);
  for (const auto &[id, it] : Tasks) {
    if (it.State.ended())
      continue;
    consider(it.LeaseEnd);
    if (it.State.Status == TaskStatus::Running)
      consider(it.ProgramEnd);
  }
  return next;
}

ModelResult<FencingToken>
BackendServerModel::acquire(const EntryVmId &holder, Millis term,
                            std::optional<FencingToken> previous, MonoTime now,
                            std::optional<ServerTime> from) {
  advance(now);
  const MonoTime end = countedFrom(from, now) + term;
  if (end <= now)
    return refused(refusal(Conflict, TooLate, now), nullptr, now);
  const bool handedOver = previous && *previous == Token;
  if (leased(now) && Holder != holder && !handedOver)
    return refused(refusal(Conflict, "the lease is held", now), nullptr, now);
  Token = Token.next();
  Holder = holder;
  LeaseEnd = end;
  LapseTold = false;
  emit(BackendEventKind::LeaseGranted, nullptr, now);
  return Token;
}

ModelResult<std::monostate> BackendServerModel::sync(const SyncRequest &request,
                                                     MonoTime now) {
  advance(now);
  if (const auto why = refuse(request.Token, now))
    return refused(*why, nullptr, now);
  const MonoTime from = countedFrom(request.From, now);
  LeaseEnd = std::max(LeaseEnd, from + request.LeaseTerm);
  for (auto &[id, it] : Tasks)
    if (it.State.Status == TaskStatus::Running)
      it.LeaseEnd = std::max(it.LeaseEnd, from + request.TaskTerm);
  for (const auto &id : request.Acknowledged) {
    const auto it = Tasks.find(id);
    if (it != Tasks.end() && it->second.State.ended())
      Tasks.erase(it);
  }
  return std::monostate{};
}

ModelResult<std::monostate> BackendServerModel::prepare(FencingToken token,
                                                        const PrepareTask &task,
                                                        const Program &program,
                                                        MonoTime now) {
  advance(now);
  TaskState state{task.Task,
                  task.Job,
                  task.Part,
                  task.Parts,
                  task.Slots,
                  task.Request,
                  TaskStatus::Prepared,
                  false,
                  0,
                  ""};
  if (const auto why = refuse(token, now))
    return refused(*why, &state, now);
  const auto known = Tasks.find(task.Task);
  if (known != Tasks.end() && !known->second.State.ended())
    return std::monostate{};
  if (known != Tasks.end())
    return refused(refusal(Conflict, "the task has ended", now), &state, now);
  const MonoTime startBy = countedFrom(task.From, now) + task.StartBy;
  if (task.From && startBy <= now)
    return refused(refusal(Conflict, TooLate, now), &state, now);
  if (auto why = checkPrepare(task))
    return refused(refusal(why->Status, why->Reason, now), &state, now);
  Entry &entry = Tasks[task.Task];
  entry.State = std::move(state);
  entry.Runs = program;
  entry.Term = task.TaskTerm;
  entry.LeaseEnd = startBy;
  entry.ChangedAt = ++Version;
  emit(BackendEventKind::Prepared, &entry.State, now);
  return std::monostate{};
}

std::optional<Refusal>
BackendServerModel::checkPrepare(const PrepareTask &task) const {
  const std::set<std::uint32_t> distinct(task.Slots.begin(), task.Slots.end());
  if (task.Slots.empty() || distinct.size() != task.Slots.size() ||
      *distinct.rbegin() >= Slots)
    return Refusal{
        BadRequest, "slots are missing, doubled or out of range", {}, {}, {}};
  for (const auto &[id, it] : Tasks)
    if (!it.State.ended() && overlaps(it.State.Slots, task.Slots))
      return Refusal{Conflict, "a slot is held by " + id.str(), {}, {}, {}};
  return std::nullopt;
}

ModelResult<std::monostate>
BackendServerModel::release(FencingToken token, const TaskId &task,
                            MonoTime now, std::optional<ServerTime> from) {
  advance(now);
  const auto it = Tasks.find(task);
  const TaskState *state = it == Tasks.end() ? nullptr : &it->second.State;
  if (const auto why = refuse(token, now))
    return refused(*why, state, now);
  if (state && state->Status == TaskStatus::Running)
    return std::monostate{};
  if (!state || state->Status != TaskStatus::Prepared)
    return refused(refusal(NotFound, "not prepared", now), state, now);
  Entry &entry = it->second;
  const MonoTime leaseEnd = countedFrom(from, now) + entry.Term;
  if (leaseEnd <= now)
    return refused(refusal(Conflict, TooLate, now), state, now);
  if (FailAll) {
    entry.Runs.Fail = true;
    entry.Runs.Run = std::min(entry.Runs.Run, FailAfter);
  }
  entry.State.Status = TaskStatus::Running;
  entry.State.Ran = true;
  entry.ReleasedAt = now;
  entry.ProgramEnd = now + entry.Runs.Run;
  entry.LeaseEnd = leaseEnd;
  entry.ChangedAt = ++Version;
  emit(BackendEventKind::Released, &entry.State, now);
  return std::monostate{};
}

ModelResult<TaskState>
BackendServerModel::stop(FencingToken token, const TaskId &task, MonoTime now) {
  advance(now);
  const auto it = Tasks.find(task);
  const TaskState *state = it == Tasks.end() ? nullptr : &it->second.State;
  if (const auto why = refuse(token, now))
    return refused(*why, state, now);
  if (!state)
    return refused(refusal(NotFound, "no such task", now), nullptr, now);
  if (!state->ended()) {
    emit(BackendEventKind::StopAsked, state, now);
    end(it->second, TaskStatus::Stopped, "", now);
  }
  return it->second.State;
}

std::optional<Refusal> BackendServerModel::refuse(FencingToken token,
                                                  MonoTime now) const {
  if (token != Token)
    return refusal(Conflict, "the token is not the current one", now);
  if (!leased(now))
    return refusal(Conflict, "the lease has lapsed", now);
  return std::nullopt;
}

std::vector<std::pair<std::uint64_t, TaskState>>
BackendServerModel::changedSince(std::uint64_t version) const {
  std::vector<std::pair<std::uint64_t, TaskState>> out;
  for (const auto &[id, it] : Tasks)
    if (it.ChangedAt > version)
      out.emplace_back(it.ChangedAt, it.State);
  return out;
}

std::uint32_t BackendServerModel::busySlots() const {
  std::size_t busy = 0;
  for (const auto &[id, it] : Tasks)
    if (!it.State.ended())
      busy += it.State.Slots.size();
  return static_cast<std::uint32_t>(busy);
}

void BackendServerModel::kill(MonoTime now) {
  advance(now);
  for (auto &[id, it] : Tasks) {
    if (it.State.Status == TaskStatus::Prepared)
      end(it, TaskStatus::Dropped, "", now);
    else if (it.State.Status == TaskStatus::Running)
      end(it, TaskStatus::Lapsed, "", now);
  }
}

Refusal BackendServerModel::refusal(int status, std::string reason,
                                    MonoTime now) const {
  const Millis remaining = leased(now) ? LeaseEnd - now : Millis(0);
  return {status, std::move(reason), Token, Holder, remaining};
}

Refusal BackendServerModel::refused(Refusal why, const TaskState *task,
                                    MonoTime now) {
  emit(BackendEventKind::Refused, task, now, why.Reason);
  return why;
}

void BackendServerModel::end(Entry &entry, TaskStatus status,
                             std::string result, MonoTime at) {
  entry.State.Status = status;
  entry.State.Result = std::move(result);
  if (entry.State.Ran)
    entry.State.RanMs = (at - entry.ReleasedAt).count();
  entry.ChangedAt = ++Version;
  emit(BackendEventKind::Ended, &entry.State, at);
}

void BackendServerModel::emit(BackendEventKind kind, const TaskState *task,
                              MonoTime at, std::string reason) {
  if (Sink)
    Sink({kind, at, Token, Holder, task, std::move(reason)});
}

} // namespace citrongap::standins
