// Port to the backend servers: start and stop orders, and the long poll that
// renews leases and returns the running and ended runs.
#ifndef CITRONGAP_CONTROL_FLEET_PORT_H
#define CITRONGAP_CONTROL_FLEET_PORT_H

#include "citrongap/net/endpoint.h"
#include "citrongap/store/store_port.h"
#include "citrongap/workload/pod_planner.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

/// A time on a backend server's own steady clock, in milliseconds.
using ServerClockMs = std::int64_t;

/// A run that is in progress on a server.
struct ListedRun {
  TaskName Task;
  std::uint32_t Run = 0;
  std::string Checkpoint;
  /// Progress, 0 to 100.
  int Percent = 0;
};

/// A run that has ended on a server.
struct RunEndReport {
  /// Counts up from 1 in each incarnation of the server.
  std::uint64_t Number = 0;
  TaskName Task;
  std::uint32_t Run = 0;
  RunOutcome Outcome = RunOutcome::Stopped;
  std::string Checkpoint;
};

/// Lists that a server returns to a poll.
struct PollAnswer {
  ServerClockMs Clock = 0;
  /// Start time of the incarnation that answered, in wall-clock milliseconds.
  std::optional<std::int64_t> StartedAtMs;
  std::vector<ListedRun> Running;
  /// In ascending order of the numbers.
  std::vector<RunEndReport> Ended;
  /// The server may hold later run ends that are not among `Ended`. A run in
  /// neither list may then have ended.
  bool MoreEnds = false;
};

/// The server accepted the order, now or on an earlier attempt.
struct OrderAcknowledged {
  ServerClockMs Clock = 0;
};

/// No usable answer: the order may have been carried out, or may still be
/// carried out seconds later.
struct OrderOutcomeUnknown {
  std::string Reason;
};
/// The order was not sent: it is certain not to be carried out.
struct OrderNotSent {
  std::string Reason;
};
/// Another incarnation of the server answered; the addressed one has ended.
struct IncarnationMismatch {};
/// The server has accepted a higher fencing token.
struct ServerFenced {};
/// The server refused the order and did nothing.
struct OrderRefused {
  StartRefusal Cause = StartRefusal::Invalid;
  std::string Reason;
};

using FleetError =
    std::variant<OrderOutcomeUnknown, OrderNotSent, IncarnationMismatch,
                 ServerFenced, OrderRefused>;
template <typename T> using FleetResult = std::variant<T, FleetError>;
template <typename T> using FleetCallback = std::function<void(FleetResult<T>)>;

struct PollRequest {
  /// New lease end of all runs on the server; no lease is renewed when absent.
  std::optional<ServerClockMs> LeaseUntil;
  /// The owner has recorded the run ends up to this number; the server may
  /// discard them. 0 acknowledges none.
  std::uint64_t AcknowledgedUpTo = 0;
  /// The server answers after this time at the latest, or when a run ends.
  Millis Wait{0};
};

/// Sends orders to backend servers. `done` gets OrderOutcomeUnknown if no
/// answer came by `deadline`; `token` is the owner's fencing token.
class FleetPort {
public:
  virtual ~FleetPort() = default;

  /// Starts a run under a lease that ends at `leaseUntil`.
  virtual void start(const Endpoint &at, const StartOrder &order,
                     ServerClockMs leaseUntil, Epoch token, MonoTime deadline,
                     FleetCallback<OrderAcknowledged> done) = 0;
  /// Stops a run; the server then also refuses late starts of the same run.
  virtual void stop(const Endpoint &at, const StopOrder &order, Epoch token,
                    MonoTime deadline,
                    FleetCallback<OrderAcknowledged> done) = 0;
  /// Renews leases, acknowledges run ends and returns the server's lists.
  virtual void poll(const Endpoint &at, const ServerIncarnation &incarnation,
                    const PollRequest &request, Epoch token, MonoTime deadline,
                    FleetCallback<PollAnswer> done) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_FLEET_PORT_H
