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
  Millis LongPollWait{2000};
  /// An order or the rest of a poll is answered within this, or counts as
  /// unanswered.
  Millis AnswerTimeout{700};
  /// Less than a caller notices, and 7 calls a second to a server that is away.
  Millis RetryDelay{150};
  /// After a stop was answered, the lists are read beside the long poll; most
  /// runs have ended by then.
  Millis ListDelayAfterStop{250};
  /// Polls in a row without an answer after which no new work goes there.
  int MaxFailedPolls = 2;
  /// A server's clock may be so much slow; from the platform's pages, with
  /// half as much again for our own.
  double MaxClockSlowdown = 1.03;
  /// Added to a lapse, for delays on the way.
  Millis LeaseEndMargin{300};

  /// When the longest lease that was asked for at `sentAt` has surely lapsed.
  MonoTime latestLeaseEnd(MonoTime sentAt) const {
    return sentAt +
           Millis(static_cast<std::int64_t>(
               static_cast<double>(MaxLease.count()) * MaxClockSlowdown)) +
           LeaseEndMargin + AnswerTimeout;
  }
};

class ServerLink {
public:
  struct Events {
    /// Something changed that the planner should act on.
    std::function<void()> Changed;
    std::function<void(const ServerIncarnation &)> Fenced;
    /// Another life answers at the address.
    std::function<void(const ServerIncarnation &)> IncarnationChanged;
    std::function<void(RunOutcome)> RunEnded;
    /// Its leases have lapsed while it could not be reached.
    std::function<void(const ServerIncarnation &)> LeasesExpired;
  };

  /// `mayHoldLeaseUntil`: leases that an earlier owner may have renewed end
  /// by then.
  ServerLink(EventLoop &loop, FleetPort &fleet, PodPlanner &planner,
             EventLog &log, ServerIncarnation incarnation, Endpoint at,
             Epoch token, LinkOptions options, MonoTime inheritedLeaseEnd,
             Events events);

  void start(const StartOrder &order);
  void stop(const StopOrder &order);
  /// Whether leases may be renewed and orders given.
  void setActive(bool active) { Active = active; }
  /// Polls if something runs or is to be told.
  void pollIfNeeded();
  /// Ends up to here were seen; to be recorded before they are forgotten.
  std::uint64_t receivedUpTo() const { return ReceivedUpTo; }
  void setRecordedUpTo(std::uint64_t number);
  bool reachable() const { return FailedPolls < Options.MaxFailedPolls; }

private:
  struct TrackedRun {
    StartOrder Order;
    bool StartInFlight = false;
    /// A try of the start had no answer, or an earlier owner made it: it may
    /// have been carried out, or be carried out later, whatever later tries
    /// are told.
    bool StartUncertain = false;
    /// Tries that certainly did not reach the server.
    int UnsentStarts = 0;
    /// When the server confirmed the start.
    std::optional<MonoTime> StartConfirmedAt;
    std::optional<MonoTime> StopConfirmedAt;
    bool StopRequested = false;
    bool StopInFlight = false;
    const char *StopReason = "";
    Timer RetryTimer;

    /// The server has certainly not seen the start.
    bool startNeverSent() const {
      return !StartUncertain && !StartInFlight && !StartConfirmedAt &&
             UnsentStarts > 0;
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
  void requestLists();
  void sendPoll(PollRequest request, bool isLongPoll);
  void onPoll(MonoTime sentAt, std::uint64_t acknowledged, bool isLongPoll,
              FleetResult<PollAnswer> result);
  void applyLists(MonoTime sentAt, const PollAnswer &answer);
  void sendUnconfirmedStarts();
  void stopObsoleteRuns();
  void applyRunning(const ListedRun &run, MonoTime now);
  void applyRunEnd(const RunEndReport &end, MonoTime now);
  void reportMissingRuns(MonoTime sentAt, const PollAnswer &answer,
                         MonoTime now);
  void onPollFailed(const FleetError &error);
  void updateClockOffset(ServerClockMs clock);
  ServerClockMs leaseUntil() const;
  bool needsPoll() const;
  void schedulePoll(Millis wait);

  EventLoop &Loop;
  FleetPort &Fleet;
  PodPlanner &Planner;
  EventLog &Log;
  ServerIncarnation Incarnation;
  Endpoint Address;
  Epoch Token;
  LinkOptions Options;
  Events Notify;
  /// Runs given to the server; Invariant: one for each task placed there.
  std::map<TaskName, TrackedRun> TrackedRuns;
  bool Active = true;
  bool LongPollInFlight = false;
  /// The lists were read once under our token.
  bool Synchronized = false;
  bool IncarnationEnded = false;
  int FailedPolls = 0;
  std::uint64_t ReceivedUpTo = 0;
  std::uint64_t RecordedUpTo = 0;
  /// The server was told of the records up to here.
  std::uint64_t ConfirmedUpTo = 0;
  /// Server's clock less ours, in milliseconds; nothing before the first
  /// answer.
  std::optional<std::int64_t> ClockOffset;
  /// No lease there can end later.
  MonoTime LatestLeaseEnd;
  Timer PollTimer;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_SERVER_LINK_H
