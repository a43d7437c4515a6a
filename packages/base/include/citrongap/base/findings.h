// Validation findings. All faults of an input are reported together, each with
// its location, instead of one at a time.
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

/// Faults in the order in which they were found.
class Findings {
public:
  void add(std::string location, std::string message);
  void append(const Findings &other);
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }
  /// One line per finding: "location: message".
  std::string text() const;

  bool operator==(const Findings &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Items); }

private:
  std::vector<Finding> Items;
};

/// A valid value, or the findings that prevent it.
template <typename T> using Checked = std::variant<T, Findings>;

} // namespace citrongap

#endif // CITRONGAP_BASE_FINDINGS_H
