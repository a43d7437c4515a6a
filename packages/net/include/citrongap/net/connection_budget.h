// Memory that the connections of all HTTP servers of a process hold together,
// with counters of refused requests and closed connections.
#ifndef CITRONGAP_NET_CONNECTION_BUDGET_H
#define CITRONGAP_NET_CONNECTION_BUDGET_H

#include "citrongap/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace citrongap {

class ServedConnection;

/// Why a request was refused or a connection closed.
enum class RefusalCause : std::uint8_t {
  Connections,
  Memory,
  BodySize,
  HeadTimeout,
  BodyTimeout,
  AnswerTimeout
};
inline constexpr std::size_t RefusalCauses = 6;

/// Label value of a cause in metrics and log lines.
const char *describe(RefusalCause cause);

/// Shared by the HTTP servers of a process; must outlive them.
class ConnectionBudget {
public:
  explicit ConnectionBudget(std::size_t maxBytes) : MaxBytes(maxBytes) {}
  ConnectionBudget(const ConnectionBudget &) = delete;
  ConnectionBudget &operator=(const ConnectionBudget &) = delete;

  /// Called at most once per cause and second, with the number of refusals
  /// since the last call for that cause.
  std::function<void(RefusalCause, std::uint64_t)> OnRefusals;

  void add(ServedConnection &connection) { Connections.insert(&connection); }
  /// Returns what the connection holds.
  void remove(ServedConnection &connection);
  void adjust(std::size_t before, std::size_t now) { Held += now - before; }
  bool exceeded() const { return Held > MaxBytes; }
  /// Closes connections while the budget is exceeded: first those without a
  /// complete request, then those with an unread answer, the largest first.
  /// Connections with a request in progress are not closed.
  void relieve();

  void count(RefusalCause cause);
  std::uint64_t counted(RefusalCause cause) const {
    return Causes.at(static_cast<std::size_t>(cause)).Total;
  }
  std::size_t held() const { return Held; }
  std::size_t connections() const { return Connections.size(); }
  /// Counters and gauges in the text format of /metrics.
  std::string metricsText() const;

private:
  struct Counter {
    std::uint64_t Total = 0;
    std::uint64_t Unreported = 0;
    MonoTime NextReport;
  };

  std::size_t MaxBytes;
  /// Invariant: the sum of held() over `Connections`.
  std::size_t Held = 0;
  std::set<ServedConnection *> Connections;
  std::array<Counter, RefusalCauses> Causes;
};

} // namespace citrongap

#endif // CITRONGAP_NET_CONNECTION_BUDGET_H
