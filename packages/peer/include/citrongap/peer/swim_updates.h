// The queue of membership changes that ride on other messages: each is sent a
// bounded number of times, those sent least often first.
#ifndef CITRONGAP_PEER_SWIM_UPDATES_H
#define CITRONGAP_PEER_SWIM_UPDATES_H

#include "citrongap/peer/member.h"

#include <map>
#include <vector>

namespace citrongap {

class SwimUpdates {
public:
  /// Replaces an older update about the same member.
  void add(const Member &update);
  /// Forgets what is queued about `id`, since the others know it already.
  void remove(const EntryVmId &id) { Pending.erase(id); }
  /// The same, but keeps an update that says something else than `known`.
  void drop(const Member &known);
  /// Appends to `out` what fits into `room` bytes. Each update is handed out
  /// at most 3 * ceil(log2(members + 1)) times.
  void take(std::size_t room, std::size_t members, std::vector<Member> &out);
  bool empty() const { return Pending.empty(); }

private:
  struct Update {
    Member About;
    unsigned Sent = 0;
  };

  std::map<EntryVmId, Update> Pending;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_SWIM_UPDATES_H
