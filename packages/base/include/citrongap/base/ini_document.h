// Reading INI text with all findings collected: typed reads, unknown sections
// and unknown keys, each with file, section and key.
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

/// The largest INI file that is read.
inline constexpr std::size_t MaxIniBytes = 4U << 20U;

class IniDocument {
public:
  /// Reads a file; an unreadable or oversized one becomes a finding.
  static IniDocument fromFile(const std::string &path, Findings &findings);
  /// Parses text; `name` stands for the file in findings.
  static IniDocument fromText(const std::string &name, std::string_view text,
                              Findings &findings);

  const std::string &name() const { return Name; }
  /// Section names in order of first appearance.
  const std::vector<std::string> &sections() const { return Order; }
  bool has(const std::string &section, const std::string &key) const;

  /// Reads mark a key as known. A missing required key is a finding.
  std::string text(const std::string &section, const std::string &key,
                   Findings &findings);
  std::optional<std::string> optionalText(const std::string &section,
                                          const std::string &key);
  std::uint64_t number(const std::string &section, const std::string &key,
                       std::uint64_t low, std::uint64_t high,
                       std::optional<std::uint64_t> fallback,
                       Findings &findings);

  /// Adds one finding per key that no read asked for.
  void reportUnknown(Findings &findings) const;
  /// "file [section] key".
  std::string locationOf(const std::string &section,
                         const std::string &key) const;

  /// Used by the parser's callback.
  void insert(const std::string &section, const std::string &key,
              const std::string &value, Findings &findings);
  /// More of the value that was inserted last.
  void append(const std::string &section, const std::string &key,
              const std::string &part);

private:
  using Key = std::pair<std::string, std::string>;

  std::string Name;
  std::vector<std::string> Order;
  std::map<Key, std::string> Values;
  /// Invariant: a subset of the keys of `Values`.
  std::set<Key> Known;
};

} // namespace citrongap

#endif // CITRONGAP_BASE_INI_DOCUMENT_H
