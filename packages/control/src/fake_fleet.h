// In-memory backend servers for tests: fencing, leases on request, runs that
// end on request, and injected network faults.
#ifndef CITRONGAP_CONTROL_FAKE_FLEET_H
#define CITRONGAP_CONTROL_FAKE_FLEET_H

#include "citrongap/control/fleet_port.h"
#include "citrongap/net/event_loop.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citrongap {

class FakeFleet : public FleetPort {
public:
  explicit FakeFleet(EventLoop &loop) : Loop(loop) {}

  struct DelayedStart {
    StartOrder Order;
    ServerClockMs LeaseUntil;
    Epoch Token;
  };
  struct Server {
    Epoch Token;
    std::map<TaskName, std::uint32_t> Running;
    std::vector<RunEndReport> Ended;
    std::uint64_t NextEnd = 1;
    /// Executed starts, in order.
    std::vector<std::pair<TaskName, std::uint32_t>> Started;
    /// Progress of all its runs.
    int Percent = 1;
    /// Orders and polls are neither executed nor answered.
    bool Silent = false;
    /// Orders are executed, but their answers are lost.
    bool LoseAnswers = false;
    /// Last ended or stopped run of each task; starts up to it are refused.
    std::map<TaskName, std::uint32_t> EndedRuns;
    /// Starts get no answer and are queued for deliverDelayedStarts().
    bool DelayStarts = false;
    std::vector<DelayedStart> DelayedStarts;
    /// Polls get no answer and are queued for deliverDelayedPolls().
    bool DelayPolls = false;
    std::vector<std::pair<PollRequest, Epoch>> DelayedPolls;
    /// The same, for polls that acknowledge run ends only.
    bool DelayAcknowledgements = false;
    /// Listed as running beside `Running`, as by an answer that was overtaken.
    std::vector<ListedRun> AlsoListed;
    /// Connections are refused.
    bool Unreachable = false;
    /// Starts are refused for lack of capacity.
    bool NoRoom = false;
    /// On the server's clock; its runs lapse then.
    ServerClockMs LeaseEnd = 0;
    /// Start of its latest life, if it was restarted.
    struct Restart {
      std::int64_t StartedAtMs = 0;
      MonoTime At;
    };
    std::optional<Restart> Restarted;
  };

  /// Longest lease that servers grant, counted from the arrival of the request.
  /// Without a value, runs need no lease.
  std::optional<Millis> MaxLease;
  /// Polls are answered after this delay instead of their requested wait.
  Millis PollDelay{10};
  /// Most run ends that one answer lists.
  std::size_t MaxListedEnds = 500;
  /// Rate of the servers' clocks.
  double ClockRate = 1.0;

  Server &at(const std::string &id) { return Servers[BackendServerId(id)]; }
  /// Ends the run of `task`, if there is one.
  void end(const std::string &id, const TaskName &task, RunOutcome outcome);
  /// Executes the delayed starts.
  void deliverDelayedStarts(const std::string &id);
  void deliverDelayedPolls(const std::string &id);
  /// Starts the server anew under its id: it holds and knows nothing of before.
  /// Delayed orders stay delayed.
  void restart(const std::string &id, std::int64_t startedAtMs);
  /// Ends the runs whose lease has expired.
  void expireLeases();
  /// Number of executed starts on all servers.
  std::size_t started() const;
  std::size_t running() const;
  /// Server and task of the first run found; empty if nothing runs.
  std::pair<std::string, TaskName> anyRun() const;
  /// Number of orders and polls that were sent under each token.
  std::map<Epoch, int> CallsByToken;
  /// Polls are answered with this start time, as another incarnation would.
  std::optional<std::int64_t> ReportedStartMs;

  void start(const Endpoint &at, const StartOrder &order,
             ServerClockMs leaseUntil, Epoch token, MonoTime deadline,
             FleetCallback<OrderAcknowledged> done) override;
  void stop(const Endpoint &at, const StopOrder &order, Epoch token,
            MonoTime deadline, FleetCallback<OrderAcknowledged> done) override;
  void poll(const Endpoint &at, const ServerIncarnation &incarnation,
            const PollRequest &request, Epoch token, MonoTime deadline,
            FleetCallback<PollAnswer> done) override;

private:
  /// Empty if the start was executed or the task is running already.
  std::optional<FleetError> applyStart(Server &it, const DelayedStart &start);
  void applyPoll(Server &it, const PollRequest &request, Epoch token);
  void renewLease(Server &it, ServerClockMs until);
  ServerClockMs clock(const Server &of) const;
  template <typename T>
  void answer(const Server &from, FleetCallback<T> done, FleetResult<T> result,
              MonoTime deadline);

  EventLoop &Loop;
  MonoTime StartedAt = monoNow();
  std::map<BackendServerId, Server> Servers;
  std::list<Timer> PendingReplies;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_FAKE_FLEET_H
