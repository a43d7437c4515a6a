// Typed reads of JSON answers: a missing or mistyped field becomes an error.
#ifndef CITRONGAP_PLATFORM_SRC_JSON_H
#define CITRONGAP_PLATFORM_SRC_JSON_H

#include "citrongap/net/http_message.h"
#include "citrongap/platform/port_error.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace citrongap {

/// Null when the text is not a JSON object.
std::optional<nlohmann::json> parseObject(const std::string &text);

/// Reads one field; leaves `ok` false when it is missing or of another type.
template <typename T>
T field(const nlohmann::json &object, const char *name, bool &ok) {
  const auto it = object.find(name);
  if (it != object.end()) {
    if constexpr (std::is_same_v<T, std::string>) {
      if (it->is_string())
        return it->get<T>();
    } else if constexpr (std::is_same_v<T, bool>) {
      if (it->is_boolean())
        return it->get<T>();
    } else if (it->is_number_integer()) {
      return it->get<T>();
    }
  }
  ok = false;
  return T{};
}

/// The body of a 200 answer, or why there is none.
PortResult<nlohmann::json> jsonAnswer(const HttpResult &result);

/// Turns a result into `T` by `read(json, ok)`.
template <typename T, typename Read>
PortResult<T> readAnswer(const HttpResult &result, Read read) {
  const auto answer = jsonAnswer(result);
  if (const auto *rejected = std::get_if<Rejected>(&answer))
    return *rejected;
  if (const auto *none = std::get_if<NoAnswer>(&answer))
    return *none;
  bool ok = true;
  T value = read(std::get<nlohmann::json>(answer), ok);
  if (!ok)
    return NoAnswer{"the answer has missing or mistyped fields"};
  return value;
}

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_SRC_JSON_H
