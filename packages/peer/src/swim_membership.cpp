// Drives the protocol's state by timer and socket.
#include "citrongap/peer/swim_membership.h"

#include "citrongap/base/log.h"

#include <utility>

namespace citrongap {

namespace {

constexpr Log PeerLog("peer");
constexpr Millis TickInterval{100};

Member withIncarnation(Member self) {
  if (self.Incarnation == 0)
    self.Incarnation = static_cast<std::uint64_t>(toMillis(wallNow()));
  return self;
}

} // namespace

SwimMembership::SwimMembership(EventLoop &loop, Member self, Random seed,
                               SwimSettings settings)
    : State(withIncarnation(std::move(self)), seed, settings, monoNow()),
      Socket(loop, State.self().Address,
             [this](const Endpoint &from, const std::string &bytes) {
               onDatagram(from, bytes);
             }),
      Tick(loop.every(TickInterval, [this] {
        State.tick(monoNow());
        flush();
      })) {
  if (!Socket.open())
    PeerLog("cannot listen on udp {}", State.self().Address.str());
}

void SwimMembership::setListed(const std::vector<Member> &listed) {
  State.setListed(monoNow(), listed);
  flush();
}

void SwimMembership::setRevision(Revision revision) {
  State.setRevision(revision);
}

void SwimMembership::leave() {
  State.leave(monoNow());
  flush();
}

void SwimMembership::onDatagram(const Endpoint &from,
                                const std::string &bytes) {
  const auto message = decodeSwim(bytes);
  if (!message)
    return;
  State.receive(monoNow(), from, *message);
  flush();
}

void SwimMembership::flush() {
  for (const SwimDatagram &it : State.takeDatagrams())
    Socket.send(it.To, encodeSwim(it.Message));
  for (const SwimChange &it : State.takeChanges()) {
    if (!it.RevisionOnly)
      PeerLog("{} is {}, incarnation {}", it.About.Id.str(),
              toString(it.About.State), it.About.Incarnation);
    Changed.emit(it.About);
  }
}

} // namespace citrongap
