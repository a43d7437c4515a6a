// Which entry VM owns a pod. A hint where to send requests: the leases on the
// backend servers decide who may place there.
#ifndef CITRONGAP_PEER_OWNERSHIP_H
#define CITRONGAP_PEER_OWNERSHIP_H

#include "citrongap/peer/member.h"

#include <optional>
#include <vector>

namespace citrongap {

/// The owner by rendezvous hashing over the alive and suspect members of the
/// pod's data centre; nothing when there are none. A suspect keeps its pods
/// until it is dead, a leaving member gives them up at once. Nodes with the
/// same view agree, and a member's death or return moves only its own pods.
std::optional<EntryVmId> ownerOf(const PodId &pod,
                                 const std::vector<Member> &members,
                                 const DataCentreId &dataCentre);

} // namespace citrongap

#endif // CITRONGAP_PEER_OWNERSHIP_H
