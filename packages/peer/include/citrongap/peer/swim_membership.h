// Membership by the SWIM protocol over UDP.
#ifndef CITRONGAP_PEER_SWIM_MEMBERSHIP_H
#define CITRONGAP_PEER_SWIM_MEMBERSHIP_H

#include "citrongap/net/event_loop.h"
#include "citrongap/peer/membership.h"
#include "citrongap/peer/swim_state.h"
#include "citrongap/peer/udp_socket.h"

namespace citrongap {

class SwimMembership final : public Membership {
public:
  /// Listens on `self.Address` by UDP. An incarnation of 0 is replaced by the
  /// wall-clock time in milliseconds, so that a restart is seen.
  SwimMembership(EventLoop &loop, Member self, Random seed,
                 SwimSettings settings = {});

  /// False when the address could not be bound.
  bool listening() const { return Socket.open(); }

  const Member &self() const override { return State.self(); }
  std::vector<Member> members() const override { return State.members(); }
  void setListed(const std::vector<Member> &listed) override;
  void setRevision(Revision revision) override;
  void leave() override;

private:
  void onDatagram(const Endpoint &from, const std::string &bytes);
  /// Sends what is due, then reports what changed.
  void flush();

  SwimState State;
  UdpSocket Socket;
  Timer Tick;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_SWIM_MEMBERSHIP_H
