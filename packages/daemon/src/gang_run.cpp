// The phases of one attempt.
#include "citrongap/daemon/gang_run.h"

#include "citrongap/base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"gang"};
constexpr Millis CallPatience{1500};
constexpr Millis RetryPause{100};
constexpr int NotFound = 404;

} // namespace

GangRun::GangRun(EventLoop &loop, BackendPort &port, PodTerms terms,
                 AttemptRecord record, SessionLookup sessions,
                 std::function<void(const RunEnd &)> onEnd)
    : Loop(loop), Port(port), Terms(terms), Record(std::move(record)),
      RequestText(encodeAttempt(Record)), Sessions(std::move(sessions)),
      OnEnd(std::move(onEnd)) {
  for (const auto &it : Record.Where.Parts) {
    Part part;
    part.Where = it;
    part.SeenAt = monoNow();
    Parts.push_back(std::move(part));
  }
}

template <typename T>
PortCallback<T> GangRun::guarded(std::function<void(PortResult<T>)> callback) {
  return [alive = std::weak_ptr<int>(Alive),
          callback = std::move(callback)](PortResult<T> result) {
    if (!alive.expired())
      callback(std::move(result));
  };
}

TaskId GangRun::taskOf(std::uint32_t part) const {
  return TaskId(fmt::format("{}-{}", Record.Attempt, part));
}

void GangRun::start() {
  for (std::uint32_t i = 0; i < Parts.size(); ++i)
    prepare(i);
}

void GangRun::adopt(const std::vector<TaskState> &found) {
  Phase = PhaseKind::Running;
  for (auto &it : Parts) {
    it.Prepared = it.ReleaseSent = it.Released = true;
    it.SeenAt = monoNow();
    it.GoneAt = it.SeenAt + Terms.TaskTerm;
  }
  const bool partial =
      std::any_of(found.begin(), found.end(), [](const TaskState &it) {
        return it.Status == TaskStatus::Prepared;
      });
  for (const auto &it : found)
    onTask(it);
  if (partial)
    stopAll("its last owner released only some of its parts");
}

void GangRun::prepare(std::uint32_t part) {
  const MonoTime now = monoNow();
  const ServerSession *session = Sessions(Parts[part].Where.Server);
  // Dropped by then at the server, whatever becomes of the call.
  Parts[part].GoneAt = now + CallPatience + Terms.StartBy;
  if (!session || !session->ready(now)) {
    Parts[part].GoneAt = now;
    onPrepared(part, NoAnswer{"its lease is not held"});
    return;
  }
  const PrepareTask task{taskOf(part),
                         Record.Job.Id,
                         part,
                         static_cast<std::uint32_t>(Parts.size()),
                         Parts[part].Where.Slots,
                         RequestText,
                         Terms.StartBy,
                         Terms.TaskTerm,
                         session->serverTime(now)};
  Port.prepare(session->about().Address, *session->token(), task,
               now + CallPatience,
               guarded<std::monostate>(
                   [this, part](const PortResult<std::monostate> &result) {
                     onPrepared(part, result);
                   }));
}

void GangRun::onPrepared(std::uint32_t part,
                         const PortResult<std::monostate> &result) {
  if (Phase != PhaseKind::Preparing)
    return;
  if (!std::holds_alternative<std::monostate>(result)) {
    Unresponsive.push_back(Parts[part].Where.Server);
    stopAll(fmt::format("server {} did not prepare its part",
                        Parts[part].Where.Server.str()));
    return;
  }
  Parts[part].Prepared = true;
  if (!std::all_of(Parts.begin(), Parts.end(),
                   [](const Part &it) { return it.Prepared; }))
    return;
  Phase = PhaseKind::Releasing;
  for (std::uint32_t i = 0; i < Parts.size(); ++i)
    release(i);
}

void GangRun::release(std::uint32_t part) {
  const MonoTime now = monoNow();
  const ServerSession *session = Sessions(Parts[part].Where.Server);
  if (now >= StartBy && !Parts[part].ReleaseSent) {
    stopAll("its claim must not be used any more");
    return;
  }
  if (!session || !session->ready(now)) {
    onReleased(part, NoAnswer{"its lease is not held"});
    return;
  }
  Parts[part].ReleaseSent = true;
  Parts[part].GoneAt = now + CallPatience + Terms.TaskTerm;
  Port.release(session->about().Address, *session->token(), taskOf(part),
               session->serverTime(now), now + CallPatience,
               guarded<std::monostate>(
                   [this, part](const PortResult<std::monostate> &result) {
                     onReleased(part, result);
                   }));
}

void GangRun::onReleased(std::uint32_t part,
                         const PortResult<std::monostate> &result) {
  if (Phase != PhaseKind::Releasing || Parts[part].Released)
    return;
  if (std::holds_alternative<NoAnswer>(result)) {
    Retries[part] = Loop.at(monoNow() + RetryPause, [this, part] {
      if (Phase == PhaseKind::Releasing && !Parts[part].Released)
        release(part);
    });
    return;
  }
  if (const auto *rejected = std::get_if<Rejected>(&result)) {
    Unresponsive.push_back(Parts[part].Where.Server);
    stopAll(fmt::format("server {} did not release its part: {}",
                        Parts[part].Where.Server.str(), rejected->Reason));
    return;
  }
  Parts[part].Released = true;
  Parts[part].SeenAt = monoNow();
  if (std::all_of(Parts.begin(), Parts.end(),
                  [](const Part &it) { return it.Released; }))
    Phase = PhaseKind::Running;
  checkEnd();
}

void GangRun::onTask(const TaskState &state) {
  if (state.Part >= Parts.size() || state.Task != taskOf(state.Part) ||
      Phase == PhaseKind::Ended)
    return;
  Part &part = Parts[state.Part];
  part.SeenAt = monoNow();
  if (state.Ran)
    part.ReleaseSent = true;
  if (state.Status == TaskStatus::Running && Phase == PhaseKind::Releasing)
    onReleased(state.Part, std::monostate{});
  if (!state.ended())
    return;
  part.Ended = state;
  if (state.Status == TaskStatus::Done && Phase == PhaseKind::Releasing)
    onReleased(state.Part, std::monostate{});
  if (state.Status != TaskStatus::Done && Phase != PhaseKind::Stopping) {
    stopAll(fmt::format("its part on server {} ended early",
                        part.Where.Server.str()));
    return;
  }
  checkEnd();
}

void GangRun::onTick(MonoTime now) {
  if (Phase == PhaseKind::Ended)
    return;
  const Millis patience =
      Parts.size() > 1 ? Terms.MemberLossAfter : Terms.TaskTerm;
  bool lost = false;
  for (std::uint32_t i = 0; i < Parts.size(); ++i) {
    Part &part = Parts[i];
    const ServerSession *session = Sessions(part.Where.Server);
    if (session && session->ready(now))
      part.SeenAt = std::max(part.SeenAt, session->renewedAt());
    if (session && part.ReleaseSent)
      part.GoneAt = std::max(part.GoneAt, session->renewalAskedAt() +
                                              CallPatience + Terms.TaskTerm);
    if (!part.Ended && now - part.SeenAt > patience) {
      lost = true;
      Unresponsive.push_back(part.Where.Server);
    }
  }
  if (lost && Phase != PhaseKind::Stopping)
    stopAll("one of its servers is out of sight");
  if (Phase == PhaseKind::Stopping)
    checkEnd();
}

void GangRun::revoke(const std::string &reason) {
  if (Phase == PhaseKind::Stopping || Phase == PhaseKind::Ended)
    return;
  RevokeAsked = true;
  stopAll(reason);
}

void GangRun::stopAll(const std::string &reason) {
  if (Phase == PhaseKind::Stopping || Phase == PhaseKind::Ended)
    return;
  Phase = PhaseKind::Stopping;
  StopReason = reason;
  LogLine("stopping {} attempt {}: {}", Record.Job.Id.str(), Record.Attempt,
          reason);
  for (std::uint32_t i = 0; i < Parts.size(); ++i)
    stopPart(i);
  checkEnd();
}

void GangRun::stopPart(std::uint32_t part) {
  if (Phase != PhaseKind::Stopping || Parts[part].Ended)
    return;
  const MonoTime now = monoNow();
  const ServerSession *session = Sessions(Parts[part].Where.Server);
  if (!session || !session->ready(now)) {
    Retries[part] = Loop.at(now + RetryPause, [this, part] { stopPart(part); });
    return;
  }
  const bool checkpoint = RevokeAsked;
  Port.stop(
      session->about().Address, *session->token(), taskOf(part), checkpoint,
      now + CallPatience,
      guarded<TaskState>([this, part](const PortResult<TaskState> &result) {
        onStopped(part, result);
      }));
}

void GangRun::onStopped(std::uint32_t part,
                        const PortResult<TaskState> &result) {
  if (Phase != PhaseKind::Stopping)
    return;
  if (const auto *state = std::get_if<TaskState>(&result)) {
    Parts[part].Ended = *state;
    checkEnd();
    return;
  }
  const auto *rejected = std::get_if<Rejected>(&result);
  if (rejected && rejected->Status == NotFound && !Parts[part].ReleaseSent) {
    TaskState never;
    never.Status = TaskStatus::Dropped;
    Parts[part].Ended = never;
    checkEnd();
    return;
  }
  Retries[part] =
      Loop.at(monoNow() + RetryPause, [this, part] { stopPart(part); });
}

bool GangRun::allEndedWell() const {
  return std::all_of(Parts.begin(), Parts.end(), [](const Part &it) {
    return it.Ended && it.Ended->Status == TaskStatus::Done;
  });
}

void GangRun::checkEnd() {
  if (Phase == PhaseKind::Ended)
    return;
  if (allEndedWell()) {
    finish(summarize());
    return;
  }
  if (Phase != PhaseKind::Stopping)
    return;
  const MonoTime now = monoNow();
  const bool over =
      std::all_of(Parts.begin(), Parts.end(),
                  [&](const Part &it) { return it.Ended || now >= it.GoneAt; });
  if (over)
    finish(summarize());
}

RunEnd GangRun::summarize() const {
  RunEnd end;
  end.Succeeded = allEndedWell();
  end.Revoked = RevokeAsked && !end.Succeeded;
  end.Reason = StopReason;
  end.Unresponsive = Unresponsive;
  nlohmann::json results = nlohmann::json::array();
  for (const auto &it : Parts) {
    end.Ran = end.Ran || (it.Ended ? it.Ended->Ran : it.ReleaseSent);
    if (!it.Ended)
      continue;
    end.RanMs = std::max(end.RanMs, it.Ended->RanMs);
    if (it.Ended->Status == TaskStatus::Failed)
      end.FailedOn.push_back(it.Where.Server);
    const auto result = nlohmann::json::parse(it.Ended->Result, nullptr, false);
    results.push_back(result.is_discarded() ? nlohmann::json(it.Ended->Result)
                                            : result);
  }
  if (end.Succeeded)
    end.Result = nlohmann::json{{"parts", results}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return end;
}

void GangRun::finish(const RunEnd &end) {
  Phase = PhaseKind::Ended;
  OnEnd(end);
}

} // namespace citrongap
