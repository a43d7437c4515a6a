// Rate limit and non-blocking writes of the event log.
#include "citrongap/base/event_log.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace citrongap {

namespace {

constexpr bool isControl(char it) {
  const auto n = static_cast<unsigned char>(it);
  return n < 0x20 || n == 0x7f;
}

} // namespace

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
  std::string line =
      fmt::format("t={} node={} part={} event={} {}", toMillis(wallNow()), Node,
                  part, event, fields);
  // A pipe that is ready takes this much at once; a longer write would block.
  line.resize(std::min<std::size_t>(line.size(), PIPE_BUF - 1));
  std::replace_if(line.begin(), line.end(), isControl, '?');
  line += '\n';
  pollfd out{Descriptor, POLLOUT, 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0 ||
      ::write(Descriptor, line.data(), line.size()) < 0)
    ++Dropped;
}

} // namespace citrongap
