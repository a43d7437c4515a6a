// Rendezvous hashing over the members that may own pods.
#include "citrongap/peer/ownership.h"

#include "citrongap/base/hash.h"

#include <string_view>

namespace citrongap {

std::optional<EntryVmId> ownerOf(const PodId &pod,
                                 const std::vector<Member> &members,
                                 const DataCentreId &dataCentre) {
  std::vector<std::string_view> able;
  for (const Member &it : members) {
    const bool runs =
        it.State == MemberState::Alive || it.State == MemberState::Suspect;
    if (runs && it.DataCentre == dataCentre)
      able.push_back(it.Id.str());
  }
  const std::size_t at = rendezvousPick(pod.str(), able);
  if (at == able.size())
    return std::nullopt;
  return EntryVmId(std::string(able[at]));
}

} // namespace citrongap
