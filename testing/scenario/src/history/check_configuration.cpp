// Rules on configuration: monotone on each node, the same lists for the same
// revision, and converged in time.
#include "checks.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap::history {

void checkMonotone(const History &history, Violations &out) {
  std::map<EntryVmId, Revision> highest;
  std::map<Revision, std::string> digests;
  for (const auto &it : history.Configurations) {
    Revision &before = highest[it.Node];
    if (it.Number < before)
      out.push_back(
          {Rule::MonotoneConfiguration, it.At,
           fmt::format("{} went back from revision {} to {}", it.Node.str(),
                       before.value(), it.Number.value())});
    before = std::max(before, it.Number);
    if (it.Digest.empty())
      continue;
    const auto &digest = digests.emplace(it.Number, it.Digest).first->second;
    if (digest != it.Digest)
      out.push_back({Rule::MonotoneConfiguration, it.At,
                     fmt::format("{} holds other lists as revision {}",
                                 it.Node.str(), it.Number.value())});
  }
}

void checkConvergence(const History &history, Violations &out) {
  for (const auto &goal : history.Convergences) {
    for (const auto &node : goal.Nodes) {
      const bool reached =
          std::any_of(history.Configurations.begin(),
                      history.Configurations.end(), [&](const InForce &it) {
                        return it.Node == node && it.At <= goal.By &&
                               it.Number >= goal.Number;
                      });
      if (!reached)
        out.push_back({Rule::Convergence, goal.By,
                       fmt::format("{} did not reach revision {} in time",
                                   node.str(), goal.Number.value())});
    }
  }
}

} // namespace citrongap::history
