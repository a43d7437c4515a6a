// Typed reads and writes of JSON record bodies without exceptions.
#ifndef CITRONGAP_LEDGER_SRC_JSON_FIELDS_H
#define CITRONGAP_LEDGER_SRC_JSON_FIELDS_H

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace citrongap {

/// Reads the fields of one object; `ok()` turns false at the first that is
/// missing or of another type, and stays false.
class FieldReader {
public:
  explicit FieldReader(const nlohmann::json &object) : Object(object) {
    Good = object.is_object();
  }

  bool ok() const { return Good; }
  std::string text(const char *name) {
    const auto *value = find(name);
    if (!value || !value->is_string())
      return fail<std::string>();
    return value->get<std::string>();
  }
  template <typename T = std::uint64_t> T number(const char *name) {
    const auto *value = find(name);
    if (!value || !value->is_number_integer())
      return fail<T>();
    if (std::is_unsigned_v<T> && !value->is_number_unsigned())
      return fail<T>();
    const auto wide =
        value->get<std::conditional_t<std::is_unsigned_v<T>, std::uint64_t,
                                      std::int64_t>>();
    return std::in_range<T>(wide) ? static_cast<T>(wide) : fail<T>();
  }
  /// The elements; an empty array when it is missing.
  const nlohmann::json &array(const char *name) {
    static const nlohmann::json Empty = nlohmann::json::array();
    const auto *value = find(name);
    if (value && value->is_array())
      return *value;
    Good = false;
    return Empty;
  }
  /// Null when the field is missing.
  const nlohmann::json *find(const char *name) const {
    if (!Object.is_object())
      return nullptr;
    const auto it = Object.find(name);
    return it == Object.end() ? nullptr : &*it;
  }
  void reject() { Good = false; }

private:
  template <typename T> T fail() {
    Good = false;
    return T{};
  }

  const nlohmann::json &Object;
  bool Good = true;
};

/// Null when the text is not a JSON object.
inline std::optional<nlohmann::json> parseRecord(const std::string &body) {
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    return std::nullopt;
  return json;
}

/// Compact text; bytes that are not UTF-8 are replaced.
inline std::string dumpRecord(const nlohmann::json &json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace citrongap

#endif // CITRONGAP_LEDGER_SRC_JSON_FIELDS_H
