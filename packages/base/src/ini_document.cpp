// INI parsing with inih, with checks that inih does not make.
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

/// Limits of inih's fixed buffers. inih truncates longer lines and names, so
/// they are reported before parsing.
constexpr std::size_t MaxLineBytes = 199;
constexpr std::size_t MaxSectionBytes = 49;
/// Prefix of the continuation lines of a list that is too long for one line. A
/// file that contains this control character is refused.
constexpr char ContinuationMark = '\x01';

int onValue(void *user, const char *section, const char *key,
            const char *value) {
  auto &target = *static_cast<ParseTarget *>(user);
  if (value[0] == ContinuationMark)
    target.Document.append(section, key, value + 1);
  else
    target.Document.insert(section, key, value, target.Found);
  return 1;
}

/// Position at which to break a list that is too long for one line: after the
/// last comma that fits. 0 for lines that are not to be broken.
std::size_t breakPosition(std::string_view line) {
  const auto begin = line.find_first_not_of(" \t");
  const bool isKey = begin != std::string_view::npos && line[begin] != '#' &&
                     line[begin] != ';' && line[begin] != '[';
  const std::size_t comma = line.substr(0, MaxLineBytes).rfind(',');
  if (line.size() <= MaxLineBytes || !isKey || comma == std::string_view::npos)
    return 0;
  const auto equals = line.find('=');
  return line[begin] == ContinuationMark || equals < comma ? comma + 1 : 0;
}

/// Text in which lists too long for one line of inih are continued on more
/// lines.
struct WrappedText {
  std::string Text;
  /// Line of the file, from 1, for each line of the text.
  std::vector<std::size_t> LineOf;
};

WrappedText wrapLists(std::string_view text) {
  WrappedText out;
  std::size_t line = 1;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string rest(text.substr(0, end));
    for (std::size_t at = breakPosition(rest); at > 0;
         at = breakPosition(rest)) {
      out.Text += rest.substr(0, at) + "\n";
      out.LineOf.push_back(line);
      rest = std::string(" ") + ContinuationMark + rest.substr(at);
    }
    out.Text += rest + "\n";
    out.LineOf.push_back(line++);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

/// Length in bytes of the UTF-8 sequence at the start of the text; 0 if it is
/// invalid.
std::size_t sequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t n) -> unsigned {
    return static_cast<unsigned char>(text[n]);
  };
  const unsigned lead = byte(0);
  if (lead < 0x80)
    return 1;
  const std::size_t size = lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
  if (lead < 0xc2 || lead > 0xf4 || text.size() < size)
    return 0;
  for (std::size_t n = 1; n < size; ++n)
    if ((byte(n) & 0xc0) != 0x80)
      return 0;
  // Rejects overlong forms, surrogates and code points above U+10FFFF.
  const unsigned second = byte(1);
  const bool bad =
      (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f) ||
      (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
  return bad ? 0 : size;
}

bool isUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t size = sequenceLength(text);
    if (size == 0)
      return false;
    text.remove_prefix(size);
  }
  return true;
}

/// Length in bytes of the name in a section header; 0 for other lines.
std::size_t sectionBytes(std::string_view line) {
  const auto begin = line.find_first_not_of(" \t\r\v\f");
  if (begin == std::string_view::npos || line[begin] != '[')
    return 0;
  const auto end = line.find(']', begin);
  return end == std::string_view::npos ? 0 : end - begin - 1;
}

void checkLine(const std::string &location, std::string_view line,
               Findings &findings) {
  if (line.size() > MaxLineBytes && breakPosition(line) == 0)
    findings.add(location,
                 fmt::format("is longer than {} bytes", MaxLineBytes));
  if (sectionBytes(line) > MaxSectionBytes)
    findings.add(location,
                 fmt::format("has a section name longer than {} bytes",
                             MaxSectionBytes));
  if (!isUtf8(line))
    findings.add(location, "is not UTF-8");
}

void checkText(const std::string &name, std::string_view text,
               Findings &findings) {
  if (text.find('\0') != std::string_view::npos)
    findings.add(name, "contains a NUL byte");
  if (text.find(ContinuationMark) != std::string_view::npos)
    findings.add(name, "contains a control character");
  std::size_t line = 1;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    checkLine(fmt::format("{} line {}", name, line),
              text.substr(begin, end - begin), findings);
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
  checkText(name, text, findings);
  if (findings.items().size() != before)
    return doc;
  ParseTarget target{doc, findings};
  const WrappedText wrapped = wrapLists(text);
  const int line = ini_parse_string(wrapped.Text.c_str(), onValue, &target);
  if (line > 0)
    findings.add(
        fmt::format("{} line {}", name,
                    wrapped.LineOf.at(static_cast<std::size_t>(line) - 1)),
        "is neither a section, a key with a value nor a comment");
  return doc;
}

void IniDocument::insert(const std::string &section, const std::string &key,
                         const std::string &value, Findings &findings) {
  if (std::find(Order.begin(), Order.end(), section) == Order.end())
    Order.push_back(section);
  const bool added = Values.emplace(Key(section, key), value).second;
  if (!added)
    findings.add(locationOf(section, key), "is set more than once");
}

void IniDocument::append(const std::string &section, const std::string &key,
                         const std::string &part) {
  Values[Key(section, key)] += part;
}

bool IniDocument::has(const std::string &section,
                      const std::string &key) const {
  return Values.contains(Key(section, key));
}

std::string IniDocument::text(const std::string &section,
                              const std::string &key, Findings &findings) {
  const auto value = optionalText(section, key);
  if (!value || value->empty()) {
    findings.add(locationOf(section, key), "is missing");
    return {};
  }
  return *value;
}

std::optional<std::string> IniDocument::optionalText(const std::string &section,
                                                     const std::string &key) {
  const auto it = Values.find(Key(section, key));
  if (it == Values.end())
    return std::nullopt;
  ReadKeys.insert(it->first);
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
      findings.add(locationOf(section, key), "is missing");
    return fallback.value_or(low);
  }
  std::uint64_t n = 0;
  const char *end = value->data() + value->size();
  const auto [ptr, ec] = std::from_chars(value->data(), end, n);
  if (ec != std::errc() || ptr != end || n < low || n > high) {
    findings.add(locationOf(section, key),
                 fmt::format("is '{}', not a whole number from {} to {}",
                             *value, low, high));
    return fallback.value_or(low);
  }
  return n;
}

void IniDocument::removePlaceholders() {
  std::erase_if(Values, [](const auto &it) {
    return it.second.starts_with("{{") && it.second.ends_with("}}");
  });
}

void IniDocument::reportUnknown(Findings &findings) const {
  for (const auto &[key, value] : Values)
    if (!ReadKeys.contains(key))
      findings.add(locationOf(key.first, key.second), "is not a known setting");
}

std::string IniDocument::locationOf(const std::string &section,
                                    const std::string &key) const {
  return fmt::format("{} [{}] {}", Name, section, key);
}

} // namespace citrongap
