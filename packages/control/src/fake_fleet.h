// Backend servers in memory: fencing, leases left aside, runs that end when the
// test says so, and faults on the way.
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

  struct Server {
    Epoch Token;
    std::map<TaskName, std::uint32_t> Running;
    std::vector<RunEndReport> Ended;
    std::uint64_t NextEnd = 1;
    /// Starts that were carried out, in order.
    std::vector<std::pair<TaskName, std::uint32_t>> Started;
    /// Orders and polls are neither done nor answered.
    bool Silent = false;
    /// Orders are done, and not answered.
    bool LoseAnswers = false;
    std::map<TaskName, std::uint32_t> EndedRuns;
    /// Starts get no answer, and are kept to be carried out later.
    bool DelayStarts = false;
    std::vector<std::pair<StartOrder, Epoch>> DelayedStarts;
    /// Connections are refused.
    bool Unreachable = false;
    /// Starts are refused for want of room.
    bool NoRoom = false;
  };

  Server &at(const std::string &id) { return Servers[BackendServerId(id)]; }
  void end(const std::string &id, const TaskName &task, RunOutcome outcome);
  /// Carries out the starts that were kept.
  void deliverDelayedStarts(const std::string &id);
  /// Starts on all servers.
  std::size_t started() const;
  std::size_t running() const;
  /// The first run on any server.
  std::pair<std::string, TaskName> anyRun() const;
  /// The poll of this id is answered as another life with that start.
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
  /// Nothing when the start was carried out or is here already.
  static std::optional<FleetError>
  applyStart(Server &it, const StartOrder &order, Epoch token);
  template <typename T>
  void answer(const Server &from, FleetCallback<T> done, FleetResult<T> result,
              MonoTime deadline);

  EventLoop &Loop;
  std::map<BackendServerId, Server> Servers;
  std::list<Timer> PendingReplies;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_FAKE_FLEET_H
