// Lease upkeep of one backend server.
#include "citrongap/daemon/server_session.h"

#include "citrongap/base/log.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"lease"};
constexpr Millis RetryPause{200};
constexpr Millis CallPatience{1500};
/// Drift of the two clocks during a term, as a divisor of the term.
constexpr int DriftDivisor = 50;

} // namespace

ServerSession::ServerSession(EventLoop &loop, BackendPort &port,
                             BackendServer about, EntryVmId self,
                             PodTerms terms,
                             std::optional<FencingToken> previous)
    : Loop(loop), Port(port), About(std::move(about)), Self(std::move(self)),
      Terms(terms), Previous(previous) {
  retryLater(Millis(0));
}

template <typename T>
PortCallback<T>
ServerSession::guarded(std::function<void(PortResult<T>)> callback) {
  return [alive = std::weak_ptr<int>(Alive),
          callback = std::move(callback)](PortResult<T> result) {
    if (!alive.expired())
      callback(std::move(result));
  };
}

void ServerSession::askClock() {
  const MonoTime asked = monoNow();
  Port.clock(
      About.Address, asked + CallPatience,
      guarded<ServerTime>([this, asked](const PortResult<ServerTime> &result) {
        const auto *told = std::get_if<ServerTime>(&result);
        if (told)
          Clock.onAnswer(*told, asked, monoNow());
        retryLater(told ? Millis(0) : RetryPause);
      }));
}

MonoTime ServerSession::leaseEnd(ServerTime from) const {
  return Clock.earliest(from + Terms.LeaseTerm) -
         Terms.LeaseTerm / DriftDivisor;
}

void ServerSession::acquire() {
  const MonoTime asked = monoNow();
  const ServerTime from = Clock.passed(asked);
  Port.acquire(
      About.Address, Self, Terms.LeaseTerm, from, Previous,
      asked + CallPatience,
      guarded<FencingToken>([this, asked, until = leaseEnd(from)](
                                const PortResult<FencingToken> &result) {
        onAcquired(result, until, asked);
      }));
}

void ServerSession::onAcquired(const PortResult<FencingToken> &result,
                               MonoTime leaseUntil, MonoTime asked) {
  if (const auto *rejected = std::get_if<Rejected>(&result)) {
    Previous.reset();
    Clock = {};
    retryLater(
        std::clamp(Millis(rejected->RemainingMs), RetryPause, Terms.LeaseTerm));
    return;
  }
  if (std::holds_alternative<NoAnswer>(result)) {
    retryLater(RetryPause);
    return;
  }
  Token = std::get<FencingToken>(result);
  LeaseUntil = leaseUntil;
  RenewedAt = asked;
  Version = 0;
  sync();
}

void ServerSession::sync() {
  const MonoTime asked = monoNow();
  if (!Token || asked >= LeaseUntil) {
    loseLease();
    return;
  }
  std::vector<TaskId> acknowledged(ToAcknowledge.begin(), ToAcknowledge.end());
  const bool wait = Synced && acknowledged.empty();
  const ServerTime from = Clock.passed(asked);
  const SyncRequest request{*Token,
                            Terms.LeaseTerm,
                            Terms.TaskTerm,
                            Version,
                            wait ? Terms.SyncWait : Millis(0),
                            acknowledged,
                            from};
  SyncInFlight = true;
  RenewalAskedAt = asked;
  Port.sync(About.Address, request, asked + request.Wait + CallPatience,
            guarded<SyncAnswer>([this, asked, from,
                                 acknowledged](PortResult<SyncAnswer> result) {
              SyncInFlight = false;
              if (const auto *answer = std::get_if<SyncAnswer>(&result))
                onSynced(*answer, asked, from, acknowledged);
              else if (const auto *rejected = std::get_if<Rejected>(&result))
                onFailure(*rejected);
              else
                retryLater(RetryPause);
            }));
}

void ServerSession::onSynced(const SyncAnswer &answer, MonoTime asked,
                             ServerTime from,
                             const std::vector<TaskId> &acknowledged) {
  Clock.onAnswer(answer.Now, asked, monoNow());
  LeaseUntil = std::max(LeaseUntil, leaseEnd(from));
  RenewedAt = asked;
  Version = answer.Version;
  for (const auto &it : acknowledged)
    ToAcknowledge.erase(it);
  const std::weak_ptr<int> alive = Alive;
  for (const auto &it : answer.Tasks) {
    TaskChanged.emit(it);
    if (alive.expired())
      return;
  }
  if (!std::exchange(Synced, true))
    Ready.emit();
  if (!alive.expired())
    retryLater(Millis(0));
}

void ServerSession::onFailure(const Rejected &rejected) {
  LogLine("server {} refused token {}: {}", About.Id.str(),
          Token ? Token->value() : 0, rejected.Reason);
  loseLease();
}

void ServerSession::loseLease() {
  Token.reset();
  Previous.reset();
  // The server may have restarted.
  Clock = {};
  const bool had = std::exchange(Synced, false);
  retryLater(RetryPause);
  if (had) {
    LogLine("lost the lease of server {}", About.Id.str());
    Lost.emit();
  }
}

void ServerSession::retryLater(Millis pause) {
  Next = Loop.at(monoNow() + pause, [this] {
    if (Token)
      sync();
    else if (Clock.known())
      acquire();
    else
      askClock();
  });
}

void ServerSession::acknowledge(const TaskId &task) {
  ToAcknowledge.insert(task);
}

void ServerSession::syncNow() {
  if (Token && !SyncInFlight)
    retryLater(Millis(0));
}

} // namespace citrongap
