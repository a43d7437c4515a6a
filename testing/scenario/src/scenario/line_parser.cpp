// Words of a scenario line.
#include "line_parser.h"

#include <charconv>
#include <sstream>

namespace citrongap::scenario {

LineParser::LineParser(const std::string &line) {
  std::istringstream words(line.substr(0, line.find('#')));
  for (std::string it; words >> it;)
    Words.push_back(it);
}

std::string LineParser::word() {
  if (atEnd()) {
    fail("the line ends too early");
    return "";
  }
  return Words[Next++];
}

bool LineParser::accept(std::string_view text) {
  if (atEnd() || Words[Next] != text)
    return false;
  ++Next;
  return true;
}

void LineParser::expect(std::string_view text) {
  if (!accept(text))
    fail("expected '" + std::string(text) + "'");
}

std::uint32_t LineParser::number() { return numberBefore(""); }

std::uint32_t LineParser::rate() { return numberBefore("/s"); }

double LineParser::percent() { return numberBefore("%"); }

Millis LineParser::duration() {
  if (!atEnd() && !Words[Next].ends_with("ms"))
    return Seconds(numberBefore("s"));
  return Millis(numberBefore("ms"));
}

Millis LineParser::forDuration() {
  expect("for");
  return duration();
}

std::uint32_t LineParser::numberBefore(std::string_view suffix) {
  const std::string text = word();
  std::uint32_t n = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, n);
  const std::string_view rest(ptr, static_cast<std::size_t>(end - ptr));
  if (ec != std::errc() || rest != suffix)
    fail("'" + text + "' is not a whole number" +
         (suffix.empty() ? "" : " with " + std::string(suffix)));
  return n;
}

void LineParser::fail(const std::string &message) {
  if (Fault.empty())
    Fault = message;
}

} // namespace citrongap::scenario
