// The history of a run: one JSON object a line, flushed line by line, in the
// format of docs/TESTING.md.
#ifndef CITRONGAP_STANDINS_HISTORY_FILE_H
#define CITRONGAP_STANDINS_HISTORY_FILE_H

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace citrongap::standins {

class HistoryFile {
public:
  /// Appends to `path`; an empty one drops everything.
  explicit HistoryFile(const std::string &path);
  bool ok() const { return !Wanted || Out.good(); }
  void write(const nlohmann::json &event);

private:
  bool Wanted;
  std::ofstream Out;
};

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_HISTORY_FILE_H
