// Port to the group of entry VMs: who is there, from heartbeats and the VM
// list.
#ifndef CITRONGAP_PEER_MEMBERSHIP_H
#define CITRONGAP_PEER_MEMBERSHIP_H

#include "citrongap/peer/member.h"

#include <sigc++/signal.h>
#include <vector>

namespace citrongap {

class Membership {
public:
  virtual ~Membership() = default;

  virtual const Member &self() const = 0;
  /// Everyone known, this entry VM included, by id.
  virtual std::vector<Member> members() const = 0;
  /// What the platform's list says; members that it does not name any more are
  /// forgotten once they are dead.
  virtual void setListed(const std::vector<Member> &listed) = 0;
  /// The revision that this entry VM has in force, told to the others.
  virtual void setRevision(Revision revision) = 0;
  /// Tells the others that this entry VM leaves by plan.
  virtual void leave() = 0;

  /// A member came, changed its state or moved on to a newer revision.
  sigc::signal<void(const Member &)> Changed;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_MEMBERSHIP_H
