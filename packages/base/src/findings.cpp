// Collection and formatting of findings.
#include "citrongap/base/findings.h"

#include <utility>

namespace citrongap {

void Findings::add(std::string location, std::string message) {
  Items.push_back({std::move(location), std::move(message)});
}

void Findings::append(const Findings &other) {
  Items.insert(Items.end(), other.Items.begin(), other.Items.end());
}

std::string Findings::text() const {
  std::string buf;
  for (const Finding &it : Items)
    buf += it.Location + ": " + it.Message + "\n";
  return buf;
}

} // namespace citrongap
