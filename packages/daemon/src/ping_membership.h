// Membership by asking every listed member in turn; small deployments only.
#ifndef CITRONGAP_DAEMON_SRC_PING_MEMBERSHIP_H
#define CITRONGAP_DAEMON_SRC_PING_MEMBERSHIP_H

#include "citrongap/base/time.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/peer/membership.h"
#include "citrongap/peer/peer_link.h"

#include <map>

namespace citrongap {

class PingMembership final : public Membership {
public:
  PingMembership(EventLoop &loop, PeerLink &link, Member self);

  const Member &self() const override { return Self; }
  std::vector<Member> members() const override;
  void setListed(const std::vector<Member> &listed) override;
  void setRevision(Revision revision) override { Self.InForce = revision; }
  void leave() override;

  /// A ping of another member.
  void onPing(const Member &from);

private:
  void pingAll();
  void setState(Member &member, MemberState state);

  EventLoop &Loop;
  PeerLink &Link;
  Member Self;
  std::map<EntryVmId, Member> Others;
  std::map<EntryVmId, MonoTime> HeardAt;
  Timer Pinger;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_SRC_PING_MEMBERSHIP_H
