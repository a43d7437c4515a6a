// Reads of JSON members with a fallback for missing or mistyped ones.
#ifndef CITRONGAP_STANDINS_JSON_FIELDS_H
#define CITRONGAP_STANDINS_JSON_FIELDS_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace citrongap::standins {

/// Null when the text is not a JSON object.
std::optional<nlohmann::json> parseObject(const std::string &text);

/// Text that is not UTF-8 is replaced, never thrown on.
std::string dump(const nlohmann::json &value);

std::string textField(const nlohmann::json &object, const char *name);
std::int64_t numberField(const nlohmann::json &object, const char *name,
                         std::int64_t fallback);
bool boolField(const nlohmann::json &object, const char *name, bool fallback);
/// An empty object when there is none.
nlohmann::json objectField(const nlohmann::json &object, const char *name);
/// An empty array when there is none.
nlohmann::json arrayField(const nlohmann::json &object, const char *name);
/// The texts of an array; other items are left out.
std::vector<std::string> textsField(const nlohmann::json &object,
                                    const char *name);
/// Numbers not below zero of an array; null when any item is something else.
std::optional<std::vector<std::uint32_t>>
indexesField(const nlohmann::json &object, const char *name);

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_JSON_FIELDS_H
