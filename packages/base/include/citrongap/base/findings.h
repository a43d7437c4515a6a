// Findings: everything wrong with an input, each with its place, reported
// together instead of one at a time.
#ifndef CITRONGAP_BASE_FINDINGS_H
#define CITRONGAP_BASE_FINDINGS_H

#include <string>
#include <variant>
#include <vector>

namespace citrongap {

/// One fault of an input. `Location` is "file [section] key" or a JSON pointer.
struct Finding {
  std::string Location;
  std::string Message;

  bool operator==(const Finding &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Location, Message);
  }
};

class Findings {
public:
  void add(std::string place, std::string message);
  void append(const Findings &other);
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }
  /// One finding a line: "place: message".
  std::string text() const;

  bool operator==(const Findings &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Items); }

private:
  std::vector<Finding> Items;
};

/// A value, or all the reasons why there is none.
template <typename T> using Checked = std::variant<T, Findings>;

} // namespace citrongap

#endif // CITRONGAP_BASE_FINDINGS_H
