// Structured log on standard output: one line an event, "key=value" pairs.
// Bounded and never blocking: lines beyond the rate, or that the reader of the
// pipe does not take, are counted and dropped.
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
  /// Lines a second, at the most: three times what the owner of 350 backend
  /// servers writes in a burst.
  static constexpr std::uint64_t MaxLinesPerSecond = 2000;

  /// `node` stands in every line.
  explicit EventLog(std::string node, int descriptor = 1);

  /// "t=… node=… part=… event=… FIELDS"; fields are formatted "key=value".
  template <typename... Args>
  void operator()(std::string_view part, std::string_view event,
                  fmt::format_string<Args...> fields, Args &&...args) {
    if (admit())
      write(part, event, fmt::vformat(fields, fmt::make_format_args(args...)));
  }
  std::uint64_t dropped() const { return Dropped; }

private:
  bool admit();
  void write(std::string_view part, std::string_view event,
             const std::string &fields);

  std::string Node;
  int Descriptor;
  MonoTime Window;
  std::uint64_t InWindow = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t Announced = 0;
};

} // namespace citrongap

#endif // CITRONGAP_BASE_EVENT_LOG_H
