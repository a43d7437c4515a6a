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

void ServerSession::acquire() {
  const MonoTime asked = monoNow();
  Port.acquire(
      About.Address, Self, Terms.LeaseTerm, Previous, asked + CallPatience,
      guarded<FencingToken>([this, asked](PortResult<FencingToken> result) {
        if (const auto *rejected = std::get_if<Rejected>(&result)) {
          Previous.reset();
          retryLater(std::clamp(Millis(rejected->RemainingMs), RetryPause,
                                Terms.LeaseTerm));
          return;
        }
        if (std::holds_alternative<NoAnswer>(result)) {
          retryLater(RetryPause);
          return;
        }
        Token = std::get<FencingToken>(result);
        LeaseUntil = asked + Terms.LeaseTerm - Terms.LeaseTerm / DriftDivisor;
        RenewedAt = asked;
        Version = 0;
        sync();
      }));
}

void ServerSession::sync() {
  const MonoTime asked = monoNow();
  if (!Token || asked >= LeaseUntil) {
    loseLease();
    return;
  }
  std::vector<TaskId> acknowledged(ToAcknowledge.begin(), ToAcknowledge.end());
  const bool wait = Synced && acknowledged.empty();
  const SyncRequest request{*Token,
                            Terms.LeaseTerm,
                            Terms.TaskTerm,
                            Version,
                            wait ? Terms.SyncWait : Millis(0),
                            acknowledged};
  SyncInFlight = true;
  RenewalAskedAt = asked;
  Port.sync(About.Address, request, asked + request.Wait + CallPatience,
            guarded<SyncAnswer>([this, asked,
                                 acknowledged](PortResult<SyncAnswer> result) {
              SyncInFlight = false;
              if (const auto *answer = std::get_if<SyncAnswer>(&result))
                onSynced(*answer, asked, acknowledged);
              else if (const auto *rejected = std::get_if<Rejected>(&result))
                onFailure(*rejected);
              else
                retryLater(RetryPause);
            }));
}

void ServerSession::onSynced(const SyncAnswer &answer, MonoTime asked,
                             const std::vector<TaskId> &acknowledged) {
  LeaseUntil = std::max(LeaseUntil, asked + Terms.LeaseTerm -
                                        Terms.LeaseTerm / DriftDivisor);
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
    else
      acquire();
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
