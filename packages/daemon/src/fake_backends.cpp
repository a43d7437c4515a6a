// The fake's calls: an effect now, an answer a moment later.
#include "fake_backends.h"

#include <algorithm>

namespace citrongap {

namespace {

using standins::BackendEvent;
using standins::BackendEventKind;
using standins::Refusal;

/// The servers' clock is ahead of the owner's.
MonoTime serverNow() { return monoNow() + Seconds(3600); }

ServerTime serverTime() { return ServerTime(serverNow().time_since_epoch()); }

constexpr Millis Latency{2};
constexpr Millis SyncTurn{1};
constexpr Millis LateBy{60};

template <typename T>
PortResult<T> toResult(const standins::ModelResult<T> &result) {
  if (const auto *refusal = std::get_if<Refusal>(&result))
    return Rejected{refusal->Status, refusal->Reason, refusal->Token,
                    refusal->Remaining.count()};
  return std::get<T>(result);
}

} // namespace

FakeBackends::FakeBackends(EventLoop &loop, unsigned servers) : Loop(loop) {
  constexpr unsigned SlotsEach = 8;
  constexpr unsigned ServersPerRack = 6;
  for (unsigned i = 0; i < servers; ++i) {
    Server it;
    it.About = {BackendServerId("s" + std::to_string(i)),
                DataCentreId("dc"),
                RackId("r" + std::to_string(i / ServersPerRack)),
                {"127.0.0.1", static_cast<std::uint16_t>(i + 1)},
                {SlotsEach},
                false};
    it.Model = std::make_unique<standins::BackendServerModel>(
        SlotsEach, [this, id = it.About.Id](const BackendEvent &event) {
          if (event.Kind == BackendEventKind::Released) {
            ++Released[event.Task->Job];
            ReleasedOn[event.Task->Job] = id;
            RunningTasks[event.Task->Job].insert(event.Task->Task);
          }
          if (event.Kind == BackendEventKind::Ended)
            RunningTasks[event.Task->Job].erase(event.Task->Task);
        });
    Servers.emplace(it.About.Address, std::move(it));
  }
}

std::vector<BackendServer> FakeBackends::list() const {
  std::vector<BackendServer> out;
  for (const auto &[address, it] : Servers)
    out.push_back(it.About);
  return out;
}

void FakeBackends::setSilent(const BackendServerId &server, bool on) {
  for (auto &[address, it] : Servers)
    if (it.About.Id == server)
      it.Silent = on;
}

void FakeBackends::loseAnswers(const BackendServerId &server, Millis late) {
  for (auto &[address, it] : Servers)
    if (it.About.Id == server)
      it.LostAfter = late;
}

void FakeBackends::refusePrepares(const BackendServerId &server, unsigned n) {
  for (auto &[address, it] : Servers)
    if (it.About.Id == server)
      it.RefusedPrepares = n;
}

unsigned FakeBackends::releases(const JobId &job) const {
  const auto it = Released.find(job);
  return it == Released.end() ? 0 : it->second;
}

unsigned FakeBackends::prepares(const BackendServerId &server) const {
  for (const auto &[address, it] : Servers)
    if (it.About.Id == server)
      return it.Prepares;
  return 0;
}

BackendServerId FakeBackends::serverOf(const JobId &job) const {
  const auto it = ReleasedOn.find(job);
  return it == ReleasedOn.end() ? BackendServerId() : it->second;
}

unsigned FakeBackends::running(const JobId &job) {
  for (auto &[address, it] : Servers)
    it.Model->advance(serverNow());
  return static_cast<unsigned>(RunningTasks[job].size());
}

FakeBackends::Server &FakeBackends::at(const Endpoint &address) {
  return Servers.at(address);
}

void FakeBackends::later(MonoTime when, std::function<void()> callback) {
  const std::uint64_t id = NextTimer++;
  Timers[id] = Loop.at(when, [this, id, callback = std::move(callback)] {
    // Moved out first, since the callback may add timers.
    const auto node = Timers.extract(id);
    callback();
  });
}

template <typename T, typename Effect>
void FakeBackends::serve(const Endpoint &address, MonoTime deadline,
                         PortCallback<T> callback, Effect effect) {
  Server &server = at(address);
  if (server.Silent) {
    later(deadline,
          [callback = std::move(callback)] { callback(NoAnswer{"silent"}); });
    return;
  }
  if (server.LostAfter) {
    later(monoNow() + *server.LostAfter,
          [effect, &server] { (void)effect(server); });
    later(deadline,
          [callback = std::move(callback)] { callback(NoAnswer{"lost"}); });
    return;
  }
  const PortResult<T> result = toResult<T>(effect(server));
  later(monoNow() + Latency,
        [callback = std::move(callback), result] { callback(result); });
}

void FakeBackends::clock(const Endpoint &server, MonoTime deadline,
                         PortCallback<ServerTime> callback) {
  serve<ServerTime>(server, deadline, std::move(callback),
                    [](Server &) -> standins::ModelResult<ServerTime> {
                      return serverTime();
                    });
}

void FakeBackends::acquire(const Endpoint &server, const EntryVmId &holder,
                           Millis term, ServerTime from,
                           std::optional<FencingToken> previous,
                           MonoTime deadline,
                           PortCallback<FencingToken> callback) {
  serve<FencingToken>(server, deadline, std::move(callback), [=](Server &it) {
    return it.Model->acquire(holder, term, previous, serverNow(), from);
  });
}

void FakeBackends::sync(const Endpoint &server, const SyncRequest &request,
                        MonoTime deadline, PortCallback<SyncAnswer> callback) {
  Server &it = at(server);
  const auto effect = [=](Server &asked) {
    return asked.Model->sync(request, serverNow());
  };
  if (it.Silent || it.LostAfter) {
    const auto noAnswer = [callback](const PortResult<std::monostate> &) {
      callback(NoAnswer{"silent"});
    };
    serve<std::monostate>(server, deadline, noAnswer, effect);
    return;
  }
  const auto result = effect(it);
  if (const auto *refusal = std::get_if<Refusal>(&result)) {
    const Rejected rejected{refusal->Status, refusal->Reason, refusal->Token,
                            refusal->Remaining.count()};
    later(monoNow() + Latency,
          [callback = std::move(callback), rejected] { callback(rejected); });
    return;
  }
  answerSync(server, request, monoNow() + request.Wait, std::move(callback));
}

void FakeBackends::answerSync(const Endpoint &address,
                              const SyncRequest &request, MonoTime holdUntil,
                              PortCallback<SyncAnswer> callback) {
  Server &it = at(address);
  it.Model->advance(serverNow());
  SyncAnswer answer;
  answer.Now = serverTime();
  answer.Version = it.Model->version();
  for (const auto &[version, state] : it.Model->changedSince(request.Since))
    answer.Tasks.push_back(state);
  const bool hold = answer.Tasks.empty() && monoNow() < holdUntil;
  const bool late =
      PreparedLate && std::any_of(answer.Tasks.begin(), answer.Tasks.end(),
                                  [](const auto &state) {
                                    return state.Status == TaskStatus::Prepared;
                                  });
  const Millis pause = hold ? SyncTurn : (late ? LateBy : Latency);
  later(monoNow() + pause, [=, this, callback = std::move(callback)] {
    if (hold)
      answerSync(address, request, holdUntil, callback);
    else
      callback(answer);
  });
}

void FakeBackends::prepare(const Endpoint &server, FencingToken token,
                           const PrepareTask &task, MonoTime deadline,
                           PortCallback<std::monostate> callback) {
  Server &asked = at(server);
  ++asked.Prepares;
  if (asked.RefusedPrepares > 0) {
    --asked.RefusedPrepares;
    later(monoNow() + Latency, [callback = std::move(callback)] {
      callback(Rejected{503, "takes no new work", {}, 0});
    });
    return;
  }
  serve<std::monostate>(
      server, deadline, std::move(callback), [=, this](Server &it) {
        return it.Model->prepare(token, task, {Run, false, task.Job.Key.str()},
                                 serverNow());
      });
}

void FakeBackends::release(const Endpoint &server, FencingToken token,
                           const TaskId &task, ServerTime from,
                           MonoTime deadline,
                           PortCallback<std::monostate> callback) {
  const bool lose = LostReleases > 0;
  LostReleases -= lose ? 1 : 0;
  serve<std::monostate>(
      server, deadline,
      [this, lose, deadline, callback = std::move(callback)](
          const PortResult<std::monostate> &result) {
        if (lose)
          later(deadline, [callback] { callback(NoAnswer{"lost"}); });
        else
          callback(result);
      },
      [=](Server &it) {
        return it.Model->release(token, task, serverNow(), from);
      });
}

void FakeBackends::stop(const Endpoint &server, FencingToken token,
                        const TaskId &task, bool, MonoTime deadline,
                        PortCallback<TaskState> callback) {
  serve<TaskState>(server, deadline, std::move(callback), [=](Server &it) {
    return it.Model->stop(token, task, serverNow());
  });
}

} // namespace citrongap
