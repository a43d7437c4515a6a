// The owner's link to one life of a backend server: delivers starts and stops
// until they are answered, renews the lease by the long poll, and tells the
// planner what runs and what ended. Ends are forgotten by the server only
// after the owner has recorded them.
#ifndef CITRONGAP_CONTROL_SERVER_LINK_H
#define CITRONGAP_CONTROL_SERVER_LINK_H

#include "citrongap/base/event_log.h"
#include "citrongap/control/fleet_port.h"
#include "citrongap/net/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citrongap {

struct LinkOptions {
  /// Longest lease that a server grants; the platform's bound.
  Millis MaxLease{6000};
  /// Long poll; the platform takes at most 2 s.
  Millis PollWait{2000};
  /// An order or the rest of a poll is answered within this, or counts as
  /// unanswered.
  Millis AnswerTimeout{700};
  /// Less than a caller notices, and 7 calls a second to a server that is away.
  Millis RetryDelay{150};
  /// After a stop was answered, the lists are read beside the long poll; most
  /// runs have ended by then.
  Millis LookAfterStop{250};
  /// Polls in a row without an answer after which no new work goes there.
  int UnreachableAfter = 2;
  /// A server's clock may be so much slow; from the platform's pages, with
  /// half as much again for our own.
  double ClockSlack = 1.03;
  /// Added to a lapse, for delays on the way.
  Millis LapseMargin{300};

  /// When the longest lease that was asked for at `sentAt` has surely lapsed.
  MonoTime lapseOf(MonoTime sentAt) const {
    return sentAt +
           Millis(static_cast<std::int64_t>(
               static_cast<double>(MaxLease.count()) * ClockSlack)) +
           LapseMargin + AnswerTimeout;
  }
};

class ServerLink {
public:
  struct Events {
    /// Something changed that the planner should act on.
    std::function<void()> Changed;
    std::function<void(const ServerIncarnation &)> Fenced;
    /// Another life answers at the address.
    std::function<void(const ServerIncarnation &)> Reborn;
    std::function<void(RunOutcome)> Ended;
    /// Its leases have lapsed while it could not be reached.
    std::function<void(const ServerIncarnation &)> Lapsed;
  };

  /// `mayHoldLeaseUntil`: leases that an earlier owner may have renewed end
  /// by then.
  ServerLink(EventLoop &loop, FleetPort &fleet, PodPlanner &planner,
             EventLog &log, ServerIncarnation life, Endpoint at, Epoch token,
             LinkOptions terms, MonoTime mayHoldLeaseUntil, Events events);

  void start(const StartOrder &order);
  void stop(const StopOrder &order);
  /// Whether leases may be renewed and orders given.
  void setActive(bool active) { Active = active; }
  /// Polls if something runs or is to be told.
  void wake();
  /// Ends up to here were seen; to be recorded before they are forgotten.
  std::uint64_t seenUpTo() const { return SeenUpTo; }
  void recordedUpTo(std::uint64_t number);
  bool reachable() const { return Failures < Terms.UnreachableAfter; }

private:
  struct Delivery {
    StartOrder Order;
    bool InFlight = false;
    /// A try of the start had no answer, or an earlier owner made it: it may
    /// have been carried out, or be carried out later, whatever later tries
    /// are told.
    bool Uncertain = false;
    /// Tries that certainly did not reach the server.
    int Unreached = 0;
    /// When the server confirmed the start.
    std::optional<MonoTime> AnsweredAt;
    std::optional<MonoTime> StopAnsweredAt;
    bool StopWanted = false;
    bool StopInFlight = false;
    const char *StopReason = "";
    Timer Retry;

    /// The server has certainly not seen the start.
    bool neverSent() const {
      return !Uncertain && !InFlight && !AnsweredAt && Unreached > 0;
    }
  };

  void sendStart(const TaskName &task);
  void sendStop(const TaskName &task);
  void onStart(const TaskName &task, std::uint32_t run,
               FleetResult<OrderAcknowledged> result);
  void onStop(const TaskName &task, std::uint32_t run,
              FleetResult<OrderAcknowledged> result);
  void poll();
  /// Reads the lists beside a long poll that is out.
  void look();
  void send(PollRequest request, bool isPoll);
  void onPoll(MonoTime sentAt, std::uint64_t told, bool isPoll,
              FleetResult<PollAnswer> result);
  void takeLists(MonoTime sentAt, const PollAnswer &answer);
  void startUnanswered();
  void stopUnwanted();
  void takeRunning(const ListedRun &run, MonoTime now);
  void takeEnd(const RunEndReport &end, MonoTime now);
  void takeMissing(MonoTime sentAt, const PollAnswer &answer, MonoTime now);
  void pollFailed(const FleetError &error);
  void noteClock(ServerClockMs clock);
  ServerClockMs leaseUntil() const;
  bool needsPoll() const;
  void later(Millis wait);

  EventLoop &Loop;
  FleetPort &Fleet;
  PodPlanner &Planner;
  EventLog &Log;
  ServerIncarnation Incarnation;
  Endpoint At;
  Epoch Token;
  LinkOptions Terms;
  Events Tell;
  /// Runs given to the server; Invariant: one for each task placed there.
  std::map<TaskName, Delivery> Deliveries;
  bool Active = true;
  bool Polling = false;
  /// The lists were read once under our token.
  bool Synchronized = false;
  bool Over = false;
  int Failures = 0;
  std::uint64_t SeenUpTo = 0;
  std::uint64_t RecordedUpTo = 0;
  /// The server was told of the records up to here.
  std::uint64_t ToldUpTo = 0;
  /// Server's clock less ours, in milliseconds; nothing before the first
  /// answer.
  std::optional<std::int64_t> ClockOffset;
  /// No lease there can end later.
  MonoTime LeaseEndsBy;
  Timer Again;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_SERVER_LINK_H
