// Reads of JSON members.
#include "citrongap/standins/json_fields.h"

namespace citrongap::standins {

using nlohmann::json;

std::optional<json> parseObject(const std::string &text) {
  auto value = json::parse(text, nullptr, false);
  if (value.is_discarded() || !value.is_object())
    return std::nullopt;
  return value;
}

std::string dump(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string textField(const json &object, const char *name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t numberField(const json &object, const char *name,
                         std::int64_t fallback) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                       : fallback;
}

bool boolField(const json &object, const char *name, bool fallback) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

json objectField(const json &object, const char *name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_object() ? *it : json::object();
}

json arrayField(const json &object, const char *name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_array() ? *it : json::array();
}

std::vector<std::string> textsField(const json &object, const char *name) {
  std::vector<std::string> out;
  const auto it = object.find(name);
  if (it == object.end() || !it->is_array())
    return out;
  for (const auto &item : *it)
    if (item.is_string())
      out.push_back(item.get<std::string>());
  return out;
}

std::optional<std::vector<std::uint32_t>> indexesField(const json &object,
                                                       const char *name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_array())
    return std::nullopt;
  std::vector<std::uint32_t> out;
  for (const auto &item : *it) {
    if (!item.is_number_unsigned())
      return std::nullopt;
    out.push_back(item.get<std::uint32_t>());
  }
  return out;
}

} // namespace citrongap::standins
