// The words of one line of a scenario; the first fault of the line is kept.
#ifndef CITRONGAP_SCENARIO_SRC_LINE_PARSER_H
#define CITRONGAP_SCENARIO_SRC_LINE_PARSER_H

#include "citrongap/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citrongap::scenario {

class LineParser {
public:
  /// What follows '#' is a comment.
  explicit LineParser(const std::string &line);

  bool atEnd() const { return Next >= Words.size(); }
  /// The next word; fails at the end.
  std::string word();
  /// Takes the next word when it is `text`.
  bool accept(std::string_view text);
  /// Fails unless the next word is `text`.
  void expect(std::string_view text);
  std::uint32_t number();
  /// "20/s".
  std::uint32_t rate();
  /// "90%".
  double percent();
  /// "500ms" or "2s".
  Millis duration();
  /// "for 2s".
  Millis forDuration();

  void fail(const std::string &message);
  /// Empty when all was well so far.
  const std::string &fault() const { return Fault; }

private:
  std::uint32_t numberBefore(std::string_view suffix);

  std::vector<std::string> Words;
  std::size_t Next = 0;
  std::string Fault;
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_LINE_PARSER_H
