// The lease of one backend server, as its holder keeps it: learn the server's
// clock, acquire, renew by syncs, tell what changed, notice when it is lost.
#ifndef CITRONGAP_DAEMON_SERVER_SESSION_H
#define CITRONGAP_DAEMON_SERVER_SESSION_H

#include "citrongap/daemon/server_clock.h"
#include "citrongap/daemon/settings.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/platform/backend_port.h"
#include "citrongap/platform/vm_list_port.h"

#include <memory>
#include <optional>
#include <set>
#include <sigc++/signal.h>
#include <vector>

namespace citrongap {

class ServerSession {
public:
  /// `previous` is the token that the last holder handed over.
  ServerSession(EventLoop &loop, BackendPort &port, BackendServer about,
                EntryVmId self, PodTerms terms,
                std::optional<FencingToken> previous);

  const BackendServer &about() const { return About; }
  void setAbout(const BackendServer &about) { About = about; }

  /// True while the lease holds by this process's clock and all of the server's
  /// tasks are known.
  bool ready(MonoTime now) const { return Synced && now < LeaseUntil; }
  /// The last moment at which the server surely took a renewal.
  MonoTime renewedAt() const { return RenewedAt; }
  /// When the latest renewal was asked for; the server may have taken it
  /// although no answer came.
  MonoTime renewalAskedAt() const { return RenewalAskedAt; }
  std::optional<FencingToken> token() const { return Token; }
  /// A time that the server's clock has passed by now; terms that are asked for
  /// count from it. Only while ready.
  ServerTime serverTime(MonoTime now) const { return Clock.passed(now); }

  /// An ended task that the server may forget; sent with the next sync.
  void acknowledge(const TaskId &task);
  /// Asks at once for what changed, instead of at the next turn.
  void syncNow();

  /// The server's whole state is known; tasks were told through TaskChanged.
  sigc::signal<void()> Ready;
  sigc::signal<void(const TaskState &)> TaskChanged;
  /// The lease is not held any more: fenced, or no renewal got through.
  sigc::signal<void()> Lost;

private:
  void askClock();
  void acquire();
  void onAcquired(const PortResult<FencingToken> &result, MonoTime leaseUntil,
                  MonoTime asked);
  /// When a lease that counts from `from` ends by this process's clock, less a
  /// margin for drift.
  MonoTime leaseEnd(ServerTime from) const;
  void sync();
  void onSynced(const SyncAnswer &answer, MonoTime asked, ServerTime from,
                const std::vector<TaskId> &acknowledged);
  void onFailure(const Rejected &rejected);
  void retryLater(Millis pause);
  void loseLease();
  /// Wraps a callback so that it does nothing once the session is gone or the
  /// lease was acquired anew.
  template <typename T>
  PortCallback<T> guarded(std::function<void(PortResult<T>)> callback);

  EventLoop &Loop;
  BackendPort &Port;
  BackendServer About;
  EntryVmId Self;
  PodTerms Terms;
  std::optional<FencingToken> Previous;
  std::optional<FencingToken> Token;
  MonoTime LeaseUntil;
  ServerClock Clock;
  MonoTime RenewedAt;
  MonoTime RenewalAskedAt;
  bool Synced = false;
  bool SyncInFlight = false;
  std::uint64_t Version = 0;
  std::set<TaskId> ToAcknowledge;
  Timer Next;
  /// Expires with the session; late answers look here first.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_SERVER_SESSION_H
