// Writes history lines.
#include "citrongap/standins/history_file.h"
#include "citrongap/standins/json_fields.h"

namespace citrongap::standins {

HistoryFile::HistoryFile(const std::string &path) : Wanted(!path.empty()) {
  if (Wanted)
    Out.open(path, std::ios::app);
}

void HistoryFile::write(const nlohmann::json &event) {
  if (Wanted)
    Out << dump(event) + "\n" << std::flush;
}

} // namespace citrongap::standins
