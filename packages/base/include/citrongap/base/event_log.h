// Structured log on standard output, one line of "key=value" pairs per event.
// The rate is bounded and writes never block: lines beyond the rate, or that
// the pipe does not accept at once, are dropped and counted. Lines over
// PIPE_BUF bytes are cut, and control characters in them are replaced.
#ifndef CITRONGAP_BASE_EVENT_LOG_H
#define CITRONGAP_BASE_EVENT_LOG_H

#include "citrongap/base/time.h"

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace citrongap {

class EventLog {
public:
  /// Three times the burst rate of a pod owner with 350 backend servers.
  static constexpr std::uint64_t MaxLinesPerSecond = 2000;

  /// `node` is part of every line; `descriptor` is the output.
  explicit EventLog(std::string node, int descriptor = 1);

  /// Writes "t=… node=… part=… event=… FIELDS"; `fields` is a format string of
  /// "key=value" pairs.
  template <typename... Args>
  void operator()(std::string_view part, std::string_view event,
                  fmt::format_string<Args...> fields, Args &&...args) {
    if (admit())
      write(part, event, fmt::vformat(fields, fmt::make_format_args(args...)));
  }
  /// Lines dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  /// Counts a line against the rate; false when it exceeds the rate. At the
  /// first line of a new window, logs how many lines were dropped before.
  bool admit();
  void write(std::string_view part, std::string_view event,
             const std::string &fields);

  std::string Node;
  int Descriptor;
  /// Start of the current one-second window.
  MonoTime WindowStart;
  std::uint64_t LinesInWindow = 0;
  std::uint64_t Dropped = 0;
  /// Part of `Dropped` that was already logged.
  std::uint64_t ReportedDropped = 0;
};

} // namespace citrongap

#endif // CITRONGAP_BASE_EVENT_LOG_H
