// INI parsing by inih; checks and findings on top of it.
#include "citrongap/base/ini_document.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace citrongap {

namespace {

struct ParseTarget {
  IniDocument &Document;
  Findings &Found;
};

int onValue(void *user, const char *section, const char *key,
            const char *value) {
  auto &target = *static_cast<ParseTarget *>(user);
  target.Document.insert(section, key, value, target.Found);
  return 1;
}

/// inih has a fixed line buffer, so that longer lines are reported here.
constexpr std::size_t MaxLineBytes = 199;

void reportRawFaults(const std::string &name, std::string_view text,
                     Findings &findings) {
  if (text.find('\0') != std::string_view::npos)
    findings.add(name, "contains a NUL byte");
  std::size_t line = 1;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    if (end - begin > MaxLineBytes)
      findings.add(fmt::format("{} line {}", name, line),
                   fmt::format("is longer than {} bytes", MaxLineBytes));
    begin = end + 1;
    ++line;
  }
}

} // namespace

IniDocument IniDocument::fromFile(const std::string &path, Findings &findings) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    findings.add(path, "can't be read");
    IniDocument empty;
    empty.Name = path;
    return empty;
  }
  std::ostringstream buf;
  buf << file.rdbuf();
  return fromText(path, buf.str(), findings);
}

IniDocument IniDocument::fromText(const std::string &name,
                                  std::string_view text, Findings &findings) {
  IniDocument doc;
  doc.Name = name;
  if (text.size() > MaxIniBytes) {
    findings.add(name, fmt::format("is larger than {} bytes", MaxIniBytes));
    return doc;
  }
  const std::size_t before = findings.items().size();
  reportRawFaults(name, text, findings);
  if (findings.items().size() != before)
    return doc;
  ParseTarget target{doc, findings};
  const std::string copy(text);
  const int line = ini_parse_string(copy.c_str(), onValue, &target);
  if (line > 0)
    findings.add(fmt::format("{} line {}", name, line),
                 "is neither a section, a key with a value nor a comment");
  return doc;
}

void IniDocument::insert(const std::string &section, const std::string &key,
                         const std::string &value, Findings &findings) {
  if (std::find(Order.begin(), Order.end(), section) == Order.end())
    Order.push_back(section);
  const bool added = Values.emplace(Key(section, key), value).second;
  if (!added)
    findings.add(place(section, key), "stands twice");
}

bool IniDocument::has(const std::string &section,
                      const std::string &key) const {
  return Values.contains(Key(section, key));
}

std::string IniDocument::text(const std::string &section,
                              const std::string &key, Findings &findings) {
  const auto value = optionalText(section, key);
  if (!value || value->empty()) {
    findings.add(place(section, key), "is missing");
    return {};
  }
  return *value;
}

std::optional<std::string> IniDocument::optionalText(const std::string &section,
                                                     const std::string &key) {
  const auto it = Values.find(Key(section, key));
  if (it == Values.end())
    return std::nullopt;
  Known.insert(it->first);
  return it->second;
}

std::uint64_t IniDocument::number(const std::string &section,
                                  const std::string &key, std::uint64_t low,
                                  std::uint64_t high,
                                  std::optional<std::uint64_t> fallback,
                                  Findings &findings) {
  const auto value = optionalText(section, key);
  if (!value) {
    if (!fallback)
      findings.add(place(section, key), "is missing");
    return fallback.value_or(low);
  }
  std::uint64_t n = 0;
  const char *end = value->data() + value->size();
  const auto [ptr, ec] = std::from_chars(value->data(), end, n);
  if (ec != std::errc() || ptr != end || n < low || n > high) {
    findings.add(place(section, key),
                 fmt::format("is '{}', not a whole number from {} to {}",
                             *value, low, high));
    return fallback.value_or(low);
  }
  return n;
}

void IniDocument::reportUnknown(Findings &findings) const {
  for (const auto &[key, value] : Values)
    if (!Known.contains(key))
      findings.add(place(key.first, key.second), "is not a known setting");
}

std::string IniDocument::place(const std::string &section,
                               const std::string &key) const {
  return fmt::format("{} [{}] {}", Name, section, key);
}

} // namespace citrongap
