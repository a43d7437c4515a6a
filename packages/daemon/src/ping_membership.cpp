// Pings over the peer link.
#include "ping_membership.h"

#include "citrongap/daemon/job_messages.h"

namespace citrongap {

namespace {
constexpr Millis PingInterval{300};
constexpr Millis SuspectAfter{900};
constexpr Millis DeadAfter{2000};
} // namespace

PingMembership::PingMembership(EventLoop &loop, PeerLink &link, Member self)
    : Loop(loop), Link(link), Self(std::move(self)) {
  Self.Incarnation = static_cast<std::uint64_t>(toMillis(wallNow()));
  Pinger = Loop.every(PingInterval, [this] { pingAll(); });
}

std::vector<Member> PingMembership::members() const {
  std::vector<Member> out{Self};
  for (const auto &[id, it] : Others)
    out.push_back(it);
  return out;
}

void PingMembership::setListed(const std::vector<Member> &listed) {
  for (const auto &it : listed) {
    if (it.Id == Self.Id)
      continue;
    const auto [known, added] = Others.try_emplace(it.Id, it);
    known->second.Address = it.Address;
    if (added)
      known->second.State = MemberState::Dead;
  }
}

void PingMembership::pingAll() {
  for (auto &[id, it] : Others) {
    const EntryVmId to = id;
    Link.request(to, encodeRequest(Ping{Self}), monoNow() + PingInterval,
                 [this, to](const PeerResult &result) {
                   const auto *bytes = std::get_if<std::string>(&result);
                   PeerAnswer answer;
                   if (bytes && decodeAnswer(*bytes, answer))
                     if (const auto *pong = std::get_if<Ping>(&answer))
                       onPing(pong->From);
                 });
    const Millis silence = monoNow() - HeardAt[id];
    if (it.State == MemberState::Alive && silence > SuspectAfter)
      setState(it, MemberState::Suspect);
    if (it.State == MemberState::Suspect && silence > DeadAfter)
      setState(it, MemberState::Dead);
    if (it.State == MemberState::Leaving && silence > DeadAfter)
      setState(it, MemberState::Dead);
  }
}

void PingMembership::onPing(const Member &from) {
  const auto it = Others.find(from.Id);
  if (it == Others.end())
    return;
  HeardAt[from.Id] = monoNow();
  const bool changed = it->second.State != from.State ||
                       it->second.Incarnation != from.Incarnation ||
                       it->second.InForce != from.InForce;
  it->second.Incarnation = from.Incarnation;
  it->second.InForce = from.InForce;
  it->second.State = from.State;
  if (changed)
    Changed.emit(it->second);
}

void PingMembership::setState(Member &member, MemberState state) {
  member.State = state;
  Changed.emit(member);
}

void PingMembership::leave() {
  Self.State = MemberState::Leaving;
  pingAll();
}

} // namespace citrongap
