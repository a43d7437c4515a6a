// Rate limit and non-blocking writes of the event log.
#include "citrongap/base/event_log.h"

#include <poll.h>
#include <unistd.h>

namespace citrongap {

EventLog::EventLog(std::string node, int descriptor)
    : Node(std::move(node)), Descriptor(descriptor), WindowStart(monoNow()) {}

bool EventLog::admit() {
  const MonoTime now = monoNow();
  if (now - WindowStart >= Seconds(1)) {
    WindowStart = now;
    LinesInWindow = 0;
    if (Dropped > ReportedDropped) {
      const auto unreported = Dropped - ReportedDropped;
      ReportedDropped = Dropped;
      write("log", "dropped", fmt::format("lines={}", unreported));
    }
  }
  if (++LinesInWindow <= MaxLinesPerSecond)
    return true;
  ++Dropped;
  return false;
}

void EventLog::write(std::string_view part, std::string_view event,
                     const std::string &fields) {
  const std::string line =
      fmt::format("t={} node={} part={} event={} {}\n", toMillis(wallNow()),
                  Node, part, event, fields);
  pollfd out{Descriptor, POLLOUT, 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0 ||
      ::write(Descriptor, line.data(), line.size()) < 0)
    ++Dropped;
}

} // namespace citrongap
