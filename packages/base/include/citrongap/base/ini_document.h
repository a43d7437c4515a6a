// INI documents with typed reads. Faults and unknown keys are collected as
// findings, each with its file, section and key.
#ifndef CITRONGAP_BASE_INI_DOCUMENT_H
#define CITRONGAP_BASE_INI_DOCUMENT_H

#include "citrongap/base/findings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citrongap {

/// Upper bound on the size of an INI file.
inline constexpr std::size_t MaxIniBytes = 4U << 20U;

class IniDocument {
public:
  /// Reads a file; an unreadable or oversized file is a finding.
  static IniDocument fromFile(const std::string &path, Findings &findings);
  /// Parses text; findings use `name` as the file name.
  static IniDocument fromText(const std::string &name, std::string_view text,
                              Findings &findings);

  const std::string &name() const { return Name; }
  /// Section names in order of first appearance.
  const std::vector<std::string> &sections() const { return Order; }
  bool has(const std::string &section, const std::string &key) const;

  /// Reads a required value; a missing or empty one is a finding. This and the
  /// other reads mark the key as known.
  std::string text(const std::string &section, const std::string &key,
                   Findings &findings);
  std::optional<std::string> optionalText(const std::string &section,
                                          const std::string &key);
  /// Reads a whole number in [low, high]. An invalid value is a finding. A
  /// missing one is a finding only without a fallback. In both cases the result
  /// is the fallback, or `low` without one.
  std::uint64_t number(const std::string &section, const std::string &key,
                       std::uint64_t low, std::uint64_t high,
                       std::optional<std::uint64_t> fallback,
                       Findings &findings);

  /// Removes keys whose value is a template placeholder, "{{name}}".
  void removePlaceholders();
  /// Adds one finding per key that was not read.
  void reportUnknown(Findings &findings) const;
  /// "file [section] key".
  std::string locationOf(const std::string &section,
                         const std::string &key) const;

  /// For the parser's callback: adds a value; a duplicate key is a finding.
  void insert(const std::string &section, const std::string &key,
              const std::string &value, Findings &findings);
  /// For the parser's callback: extends the value of a key.
  void append(const std::string &section, const std::string &key,
              const std::string &part);

private:
  using Key = std::pair<std::string, std::string>;

  std::string Name;
  /// Section names in order of first appearance.
  std::vector<std::string> Order;
  std::map<Key, std::string> Values;
  /// Invariant: a subset of the keys of `Values`.
  std::set<Key> ReadKeys;
};

} // namespace citrongap

#endif // CITRONGAP_BASE_INI_DOCUMENT_H
