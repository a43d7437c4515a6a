// The owner's connection to one incarnation of a backend server. It retries
// starts and stops until they are answered, renews leases with a long poll and
// passes running and ended runs to the planner. The server discards a run end
// only after the owner has recorded it.
#ifndef CITRONGAP_CONTROL_SERVER_LINK_H
#define CITRONGAP_CONTROL_SERVER_LINK_H

#include "citrongap/base/event_log.h"
#include "citrongap/control/fleet_port.h"
#include "citrongap/control/order_review.h"
#include "citrongap/net/event_loop.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citrongap {

struct LinkOptions {
  /// Longest lease that a server grants; the platform's bound.
  Millis MaxLease{6000};
  /// Duration of a long poll; the platform allows at most 2 s.
  Millis LongPollWait{2000};
  /// Limit for the answer to an order, or to a poll after its wait.
  Millis AnswerTimeout{700};
  /// Delay before a retry: too short for a caller to notice, and at most 7
  /// calls a second to an unreachable server.
  Millis RetryDelay{150};
  /// Delay after an acknowledged stop before the lists are requested beside the
  /// long poll. Most runs have ended by then.
  Millis ListDelayAfterStop{250};
  /// Consecutive failed polls after which the server counts as unreachable and
  /// gets no new runs.
  int MaxFailedPolls = 2;
  /// Factor by which a server's clock may run slow: the platform's bound, plus
  /// half that deviation for the local clock.
  double MaxClockSlowdown = 1.03;
  /// Age up to which a reading of a server's clock is used. A lease is shorter
  /// by the deviation that the clock may have gathered since.
  Millis MaxClockAge{10000};
  /// A start is given up by the first attempt that ends without an answer this
  /// long after the first one did, if the server answers polls.
  Millis StartGiveUpTime{2000};
  /// A server carries out an order without an answer by then, or never.
  Millis MaxOrderDelay{12000};
  /// Added to a lease end, for network delays.
  Millis LeaseEndMargin{300};

  /// Time by which a lease requested at `sentAt` has certainly expired, however
  /// late the request arrives: it names its end on the server's clock.
  MonoTime latestLeaseEnd(MonoTime sentAt) const {
    return sentAt +
           Millis(static_cast<std::int64_t>(
               static_cast<double>(MaxLease.count()) * MaxClockSlowdown)) +
           LeaseEndMargin + AnswerTimeout;
  }
};

/// Whether a start may be sent to a server.
enum class StartPermission : std::uint8_t {
  Granted,
  /// The server list is too old to tell.
  ListStale,
  /// The server has announced that it leaves.
  Leaving
};

/// Fencing token of the calls of one link.
struct LinkToken {
  Epoch Value;
  /// It is above those of all other calls that the server may still get.
  bool IsHighest = true;
};

class ServerLink {
public:
  struct Events {
    /// Whether the ownership still lasts, asked before each order and poll. If
    /// not, the link tries again later: the ownership may be renewed.
    std::function<bool()> MayAct;
    /// Asked at the moment of sending, for retries too. With a stale list, the
    /// link tries again later.
    std::function<StartPermission(const ServerIncarnation &)> MayStart;
    /// The planner's state changed, so that a round should run.
    std::function<void()> Changed;
    /// The server has accepted a higher fencing token.
    std::function<void(const ServerIncarnation &)> Fenced;
    /// Another server answers at the address.
    std::function<void(const ServerIncarnation &)> IncarnationChanged;
    /// The next incarnation of the server answers. It carries out orders that
    /// were sent to this one.
    std::function<void(const ServerIncarnation &ended,
                       const ServerIncarnation &next)>
        Restarted;
    /// `replaced`: a later run of the task has been placed.
    std::function<void(RunOutcome, bool replaced)> RunEnded;
    /// What a run of the task occupies, if its job is left out: it is neither
    /// stopped, nor is its end passed to the planner.
    std::function<std::optional<Resources>(const TaskName &)> UseOfLeftOut;
    /// Such a run has ended.
    std::function<void(const ServerIncarnation &, const RunEndReport &)>
        LeftOutEnded;
    /// All leases have expired while the server was unreachable. Its next
    /// incarnation may still begin the runs `late`.
    std::function<void(const ServerIncarnation &, const std::set<RunId> &late)>
        LeasesExpired;
  };

  ServerLink(EventLoop &loop, FleetPort &fleet, PodPlanner &planner,
             EventLog &log, ServerIncarnation incarnation, Endpoint at,
             LinkToken token, LinkOptions options, MonoTime othersLeaseEnd,
             Events events);

  /// Sends the start, with retries until its outcome is known. Without a recent
  /// reading of the server's clock, polls first.
  void start(const StartOrder &order);
  /// Sends the stop, with retries until it is acknowledged. A run whose start
  /// was never sent is reported as missing at once.
  void stop(const StopOrder &order);
  /// Runs whose start may be or may have been carried out by the server's next
  /// incarnation: orders name the server's id only. Some may have ended.
  std::vector<RunId> unsettledStarts() const;
  /// Leases that calls of others begin may last until `end`.
  void extendOthersLeaseEnd(MonoTime end) {
    if (!OthersBarred)
      OthersLeaseEnd = std::max(OthersLeaseEnd, end);
  }
  /// Asks the server whether this incarnation lives, beside the long poll.
  /// `done` gets false if another one answers, or none in time; it is not
  /// called once the link is inactive.
  void checkAlive(std::function<void(bool alive)> done);
  /// Until allowRenewals(), no lease is renewed or begun: the store may tell a
  /// later owner that the leases end.
  void barRenewals() { RenewalsBarred = true; }
  void allowRenewals();
  /// The server is unreachable and has runs, all of whose leases end before one
  /// that would be requested now, and renewals are not barred yet.
  bool leaseEndIsDue() const;
  /// Leases could be renewed, but for barRenewals().
  bool awaitsRenewals() const {
    return RenewalsBarred && Synchronized && FailedPolls == 0;
  }
  /// The latest poll got no answer from this incarnation.
  bool lastPollFailed() const { return FailedPolls > 0; }
  /// An inactive link renews no leases and sends no orders.
  void setActive(bool active) { Active = active; }
  /// Requests the lists with a short poll while a long poll is in flight.
  void requestLists();
  /// Polls if runs, unacknowledged run ends or failed polls call for it.
  void pollIfNeeded();
  /// Highest number of a received run end. It must be recorded before it is
  /// acknowledged.
  std::uint64_t receivedUpTo() const { return ReceivedUpTo; }
  bool hasUnrecordedEnds() const { return RecordedUpTo < ReceivedUpTo; }
  /// The run ends up to `number` are recorded and may be acknowledged.
  void setRecordedUpTo(std::uint64_t number);
  bool reachable() const { return FailedPolls < Options.MaxFailedPolls; }
  // For logs and metrics only: server_link_waits.cpp.
  /// Logs the orders that have become late since the last review.
  void reviewOrders(OrderReview &review);
  /// Logs that the late orders are over; the link is about to be dropped.
  void noteOutcomes(const char *how);
  /// The end of the run is awaited after a stop.
  bool tracksStop(const RunId &run) const;
  /// Until when the leases of its runs last, and whose they are, while the
  /// server is unreachable.
  std::optional<WaitReason> leaseWait() const;

private:
  struct TrackedRun {
    StartOrder Order;
    bool StartInFlight = false;
    /// An attempt had no answer, or an earlier owner made it. The start may
    /// have been or may still be carried out, even if a later attempt is
    /// refused.
    bool StartUncertain = false;
    /// When the first attempt of this link got no answer.
    std::optional<MonoTime> UnansweredSince;
    /// This incarnation has listed the run.
    bool Listed = false;
    /// Attempts that failed before they were sent.
    int UnsentStarts = 0;
    /// When the server confirmed the start.
    std::optional<MonoTime> StartConfirmedAt;
    std::optional<MonoTime> StopConfirmedAt;
    bool StopRequested = false;
    bool StopInFlight = false;
    const char *StopReason = "";
    MonoTime StartRequestedAt = monoNow();
    MonoTime StopRequestedAt;
    /// The order was logged as late, and its outcome was not.
    bool StartLogged = false;
    bool StopLogged = false;
    Timer RetryTimer;

    /// The start is certain not to have reached the server.
    bool startNeverSent() const {
      return !StartUncertain && !StartInFlight && !StartConfirmedAt;
    }
  };

  void sendStart(const RunId &run);
  void sendStop(const RunId &run);
  void onStart(const RunId &id, FleetResult<OrderAcknowledged> result);
  void onStop(const RunId &id, FleetResult<OrderAcknowledged> result);
  void poll();
  void sendPoll(PollRequest request, bool isLongPoll);
  void onPoll(MonoTime sentAt, std::uint64_t acknowledged, bool isLongPoll,
              FleetResult<PollAnswer> result);
  void applyLists(MonoTime sentAt, const PollAnswer &answer);
  void sendUnconfirmedStarts();
  /// Returns the runs whose start was never sent to the planner.
  void returnUnsentStarts();
  void returnUnsentStart(const RunId &run);
  /// Gives up a start without an answer; returns one that was never sent.
  void withdrawStart(const RunId &run, const TrackedRun &tracked);
  void stopObsoleteRuns();
  void applyRunning(const ListedRun &run, MonoTime now);
  /// Notes the listed runs of jobs that are left out.
  void noteLeftOutRuns(const PollAnswer &answer);
  void applyRunEnd(const RunEndReport &end, MonoTime now);
  /// Runs in neither list have not been carried out, unless the list of ends
  /// is incomplete.
  void reportMissingRuns(MonoTime sentAt, const PollAnswer &answer,
                         MonoTime now);
  /// A link that was dropped may be refused since the link to the server's next
  /// incarnation uses a higher token.
  void reportFenced();
  void onPollFailed(const FleetError &error);
  /// Runs of which a start without an answer may still be carried out.
  std::set<RunId> lateStarts() const;
  /// All leases have expired: releases the runs that no incarnation of the
  /// server can have or begin.
  void releaseSettledRuns();
  /// The incarnation has accepted `Token`: it refuses all lower ones from now
  /// on.
  void barOthers();
  /// No lease on the server ends later than this.
  MonoTime latestLeaseEnd() const {
    return std::max(OwnLeaseEnd, OthersLeaseEnd);
  }
  void readClock(ServerClockMs clock);
  /// Earliest time that the server's clock may show at `now`.
  ServerClockMs earliestClock(MonoTime now) const;
  /// Latest end that may be requested for a lease at `now`; empty without a
  /// recent reading of the server's clock.
  std::optional<ServerClockMs> leaseUntil(MonoTime now) const;
  bool needsPoll() const;
  void schedulePoll(Millis wait);
  // For logs and metrics only: server_link_waits.cpp.
  /// Age of the latest answer; -1 ms before the first.
  Millis answerAge(MonoTime now) const;
  /// By then the start is carried out, or never, and its lease has ended.
  MonoTime startSettledBy(const RunId &run) const;
  WaitReason startWait(const RunId &run, const TrackedRun &tracked,
                       bool listStale) const;
  /// Logs the end of the wait if the start was logged as late.
  void noteStartOutcome(const RunId &id, TrackedRun &tracked, const char *how);
  /// The same, of start and stop: the run is no longer tracked.
  void noteOutcome(const RunId &id, TrackedRun &tracked, const char *how);
  /// Tracks the run no more, and logs its late orders as over.
  void forgetRun(const RunId &run, const char *how);

  EventLoop &Loop;
  FleetPort &Fleet;
  PodPlanner &Planner;
  EventLog &Log;
  ServerIncarnation Incarnation;
  Endpoint Address;
  Epoch Token;
  /// See LinkToken.
  bool TokenIsHighest;
  LinkOptions Options;
  Events Notify;
  /// Invariant: an entry for each run that is placed on the server, and for
  /// each that is being stopped there. A task may have one of each.
  std::map<RunId, TrackedRun> TrackedRuns;
  /// Until when an attempt to start the run may be carried out late, if one has
  /// no answer. The run may have ended.
  std::map<RunId, MonoTime> LateStarts;
  /// Listed runs of jobs that are left out, and what they occupy.
  std::size_t LeftOutRuns = 0;
  Resources LeftOutUse;
  bool Active = true;
  bool LongPollInFlight = false;
  int ListRequestsInFlight = 0;
  /// The lists were received at least once under `Token`.
  bool Synchronized = false;
  bool IncarnationEnded = false;
  int FailedPolls = 0;
  std::uint64_t ReceivedUpTo = 0;
  std::uint64_t RecordedUpTo = 0;
  /// Highest acknowledged number that an answered poll carried.
  std::uint64_t ConfirmedUpTo = 0;
  struct ClockReading {
    ServerClockMs Clock = 0;
    MonoTime ReceivedAt;
  };
  /// The server's clock in its latest answer; empty before the first one.
  std::optional<ClockReading> LastClock;
  /// Latest answer with a reading of the clock, or to a stop.
  std::optional<MonoTime> LastAnswerAt;
  /// No lease that this link has requested ends later than this.
  MonoTime OwnLeaseEnd;
  /// The same, of leases that calls of others begin: those of earlier owners,
  /// and those for an earlier incarnation that this one carries out late.
  MonoTime OthersLeaseEnd;
  /// See barRenewals().
  bool RenewalsBarred = false;
  /// The server refuses the calls of others.
  bool OthersBarred = false;
  Timer PollTimer;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_SERVER_LINK_H
