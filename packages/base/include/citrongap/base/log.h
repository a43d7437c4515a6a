// Log on standard error, in lines like "2026-12-04T09:30:00.123Z pod: message".
#ifndef CITRONGAP_BASE_LOG_H
#define CITRONGAP_BASE_LOG_H

#include <fmt/format.h>
#include <string_view>

namespace citrongap {

/// Logger of one component, whose fixed prefix is part of every line.
class Log {
public:
  explicit constexpr Log(std::string_view prefix) : Prefix(prefix) {}

  template <typename... Args>
  void operator()(fmt::format_string<Args...> format, Args &&...args) const {
    write(fmt::vformat(format, fmt::make_format_args(args...)));
  }

private:
  void write(std::string_view message) const;

  std::string_view Prefix;
};

} // namespace citrongap

#endif // CITRONGAP_BASE_LOG_H
