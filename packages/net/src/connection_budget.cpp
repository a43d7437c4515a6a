// Eviction over all servers of a process, and the exposition of the counters.
#include "citrongap/net/connection_budget.h"

#include "served_connection.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>
#include <vector>

namespace citrongap {

const char *describe(RefusalCause cause) {
  switch (cause) {
  case RefusalCause::Connections:
    return "connections";
  case RefusalCause::Memory:
    return "memory";
  case RefusalCause::BodySize:
    return "body_size";
  case RefusalCause::HeadTimeout:
    return "head_timeout";
  case RefusalCause::BodyTimeout:
    return "body_timeout";
  case RefusalCause::AnswerTimeout:
    return "answer_timeout";
  }
  return "unknown";
}

void ConnectionBudget::remove(ServedConnection &connection) {
  if (Connections.erase(&connection) > 0)
    Held -= connection.held();
}

void ConnectionBudget::relieve() {
  if (!exceeded())
    return;
  // An eighth is freed beyond the need, so that not every read of a full
  // process sorts all connections.
  const std::size_t goal = MaxBytes - MaxBytes / 8;
  std::vector<ServedConnection *> order;
  for (ServedConnection *it : Connections)
    if (it->closable() && it->held() > 0)
      order.push_back(it);
  std::sort(
      order.begin(), order.end(),
      [](const ServedConnection *a, const ServedConnection *b) {
        return std::tuple(a->protectedServer(), !a->incomplete(), b->held()) <
               std::tuple(b->protectedServer(), !b->incomplete(), a->held());
      });
  for (ServedConnection *it : order) {
    if (Held <= goal)
      break;
    count(RefusalCause::Memory);
    it->close();
  }
}

void ConnectionBudget::count(RefusalCause cause) {
  Counter &it = Causes.at(static_cast<std::size_t>(cause));
  ++it.Total;
  ++it.Unreported;
  const MonoTime now = monoNow();
  if (!OnRefusals || now < it.NextReport)
    return;
  it.NextReport = now + Seconds(1);
  OnRefusals(cause, std::exchange(it.Unreported, 0));
}

std::string ConnectionBudget::metricsText() const {
  std::string out;
  const auto head = [&](const char *name, const char *type, const char *help) {
    out += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
  };
  head("citrongap_http_refusals_total", "counter",
       "Requests refused and connections closed by a limit.");
  for (std::size_t n = 0; n < RefusalCauses; ++n)
    out +=
        fmt::format("citrongap_http_refusals_total{{cause=\"{}\"}} {}\n",
                    describe(static_cast<RefusalCause>(n)), Causes.at(n).Total);
  const auto gauge = [&](const char *name, const char *help,
                         std::size_t value) {
    head(name, "gauge", help);
    out += fmt::format("{} {}\n", name, value);
  };
  gauge("citrongap_http_held_bytes", "Memory that the connections hold.", Held);
  gauge("citrongap_http_held_bytes_limit", "Limit of that memory.", MaxBytes);
  gauge("citrongap_http_connections", "Open connections of all HTTP servers.",
        Connections.size());
  return out;
}

} // namespace citrongap
