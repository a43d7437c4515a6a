// Orders to backend servers: start, stop, and the long poll that renews the
// lease and lists what runs and what ended.
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

struct ListedRun {
  TaskName Task;
  std::uint32_t Run = 0;
  std::string Checkpoint;
  int Percent = 0;
};

struct RunEndReport {
  /// Rises from 1 in each life of the server.
  std::uint64_t Number = 0;
  TaskName Task;
  std::uint32_t Run = 0;
  RunOutcome Outcome = RunOutcome::Stopped;
  std::string Checkpoint;
};

struct PollAnswer {
  ServerClockMs Clock = 0;
  std::optional<std::int64_t> StartedAtMs;
  std::vector<ListedRun> Running;
  std::vector<RunEndReport> Ended;
};

struct OrderAcknowledged {
  ServerClockMs Clock = 0;
};

/// It may have been done, or be done seconds later.
struct OrderOutcomeUnknown {
  std::string Reason;
};
/// The order never left: it was not done and will not be.
struct OrderNotSent {
  std::string Reason;
};
/// Another life of the server answered; this one is over.
struct IncarnationMismatch {};
/// The server has obeyed a newer owner.
struct ServerFenced {};
/// Nothing was done.
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
  /// Everything on the server holds its lease until then; nothing renews it
  /// when absent.
  std::optional<ServerClockMs> LeaseUntil;
  /// Ends up to this number are recorded and may be forgotten.
  std::uint64_t AcknowledgedUpTo = 0;
  /// The server waits so long for an end before it answers.
  Millis Wait{0};
};

class FleetPort {
public:
  virtual ~FleetPort() = default;

  virtual void start(const Endpoint &at, const StartOrder &order,
                     ServerClockMs leaseUntil, Epoch token, MonoTime deadline,
                     FleetCallback<OrderAcknowledged> done) = 0;
  virtual void stop(const Endpoint &at, const StopOrder &order, Epoch token,
                    MonoTime deadline,
                    FleetCallback<OrderAcknowledged> done) = 0;
  virtual void poll(const Endpoint &at, const ServerIncarnation &incarnation,
                    const PollRequest &request, Epoch token, MonoTime deadline,
                    FleetCallback<PollAnswer> done) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_FLEET_PORT_H
