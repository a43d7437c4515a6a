// Rules of the membership protocol: which update wins, and who is told.
#include "citrongap/peer/swim_state.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// Of two updates with one incarnation the higher rank wins.
int rank(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return 0;
  case MemberState::Suspect:
    return 1;
  case MemberState::Leaving:
    return 2;
  case MemberState::Dead:
    return 3;
  }
  return 0;
}

bool supersedes(const Member &update, const Member &known) {
  if (update.Incarnation != known.Incarnation)
    return update.Incarnation > known.Incarnation;
  return rank(update.State) > rank(known.State);
}

} // namespace

SwimState::SwimState(Member self, Random random, SwimSettings settings,
                     MonoTime now)
    : Settings(settings), Self(std::move(self)), Chance(random), LastSeen(now),
      SyncAt(now) {
  Far.Far = true;
  // Nodes that start together do not probe in step.
  const auto jitter = [this](Millis span) {
    return Millis(Chance.between(0, static_cast<std::uint64_t>(span.count())));
  };
  Near.NextAt = now + jitter(Settings.Period);
  Far.NextAt = now + jitter(Settings.FarPeriod);
}

std::vector<Member> SwimState::members() const {
  std::vector<Member> out;
  for (const auto &[id, peer] : Peers)
    out.push_back(peer.Known);
  const auto at =
      std::find_if(out.begin(), out.end(),
                   [this](const Member &it) { return Self.Id < it.Id; });
  out.insert(at, Self);
  return out;
}

void SwimState::receive(MonoTime now, const Endpoint &from,
                        const SwimMessage &message) {
  noticePause(now);
  if (message.Sender.Id == Self.Id)
    return;
  const auto known = Peers.find(message.Sender.Id);
  const bool firstContact = known != Peers.end() &&
                            known->second.Known.Incarnation == 0 &&
                            known->second.Known.State == MemberState::Alive;
  apply(now, message.Sender);
  // Everyone has the list: that its members run is no news.
  if (firstContact && message.Sender.State == MemberState::Alive)
    Updates.remove(message.Sender.Id);
  const bool synced = message.Kind == SwimKind::News && SyncSequence != 0 &&
                      message.Sequence == SyncSequence;
  for (const Member &it : message.Updates) {
    apply(now, it);
    if (synced && it.Id != Self.Id)
      Updates.drop(it);
  }
  if (synced)
    SyncAt = now + Settings.SyncPeriod;
  switch (message.Kind) {
  case SwimKind::Ping: {
    SwimMessage ack;
    ack.Kind = SwimKind::Ack;
    ack.Sequence = message.Sequence;
    // A sender that is thought to be worse than it says gets to refute it.
    const auto it = Peers.find(message.Sender.Id);
    if (it != Peers.end() && supersedes(it->second.Known, message.Sender))
      ack.Updates.push_back(it->second.Known);
    send(from, std::move(ack));
    break;
  }
  case SwimKind::Ack:
    onAck(message.Sequence);
    break;
  case SwimKind::PingRequest:
    onPingRequest(now, from, message);
    break;
  case SwimKind::Sync:
    sendAll(from, message.Sequence);
    break;
  case SwimKind::News:
    break;
  }
}

void SwimState::onAck(std::uint64_t sequence) {
  for (Prober *it : {&Near, &Far})
    if (it->Pending && it->Pending->Sequence == sequence)
      it->Pending.reset();
  const auto node = Relays.extract(sequence);
  if (node.empty())
    return;
  SwimMessage ack;
  ack.Kind = SwimKind::Ack;
  ack.Sequence = node.mapped().Sequence;
  send(node.mapped().Origin, std::move(ack));
}

void SwimState::onPingRequest(MonoTime now, const Endpoint &from,
                              const SwimMessage &message) {
  constexpr std::size_t MaxRelays = 256;
  const auto it = Peers.find(message.Target);
  if (it == Peers.end() || Relays.size() >= MaxRelays)
    return;
  const std::uint64_t sequence = NextSequence++;
  Relays[sequence] = {from, message.Sequence, now + Settings.FarPeriod};
  ping(it->second, sequence);
}

void SwimState::apply(MonoTime now, const Member &update) {
  if (update.Id == Self.Id)
    return applyToSelf(update);
  const auto it = Peers.find(update.Id);
  if (it == Peers.end()) {
    if (update.State != MemberState::Dead) {
      add(update, false);
      setState(now, Peers[update.Id], update.State);
    }
    return;
  }
  Peer &peer = it->second;
  if (supersedes(update, peer.Known)) {
    const Member before = std::exchange(peer.Known, update);
    if (update.Incarnation == before.Incarnation)
      peer.Known.InForce = std::max(before.InForce, update.InForce);
    setState(now, peer, update.State);
  } else if (update.Incarnation == peer.Known.Incarnation &&
             update.InForce > peer.Known.InForce) {
    peer.Known.InForce = update.InForce;
    Changes.push_back({peer.Known, true});
  }
}

void SwimState::applyToSelf(const Member &update) {
  if (update.Incarnation < Self.Incarnation)
    return;
  const bool leaves = update.State == MemberState::Leaving &&
                      Self.State != MemberState::Leaving;
  const bool wrong = update.State == MemberState::Suspect ||
                     update.State == MemberState::Dead ||
                     update.Incarnation > Self.Incarnation;
  if (!leaves && !wrong)
    return;
  if (leaves)
    Self.State = MemberState::Leaving;
  Self.Incarnation = update.Incarnation + 1;
  Updates.add(Self);
  changed(Self);
}

void SwimState::add(const Member &member, bool listed) {
  Peer &peer = Peers[member.Id];
  peer.Known = member;
  peer.Listed = listed;
  // At a random place: nodes that read the same list at the same time must not
  // all probe the same member.
  auto &round = (isNear(member) ? Near : Far).Round;
  const auto at = Chance.between(0, round.size());
  round.insert(round.begin() + static_cast<std::ptrdiff_t>(at), member.Id);
}

void SwimState::setState(MonoTime now, Peer &peer, MemberState state) {
  peer.Known.State = state;
  if (state == MemberState::Suspect)
    startSuspicion(now, peer);
  if (state == MemberState::Dead)
    peer.StateEnds = now + Settings.ForgetAfter;
  Updates.add(peer.Known);
  changed(peer.Known);
}

void SwimState::setListed(MonoTime now, const std::vector<Member> &listed) {
  for (auto &[id, peer] : Peers)
    peer.Listed = false;
  for (const Member &it : listed) {
    if (it.Id == Self.Id)
      continue;
    const bool leaves = it.State == MemberState::Leaving;
    const auto known = Peers.find(it.Id);
    if (known == Peers.end()) {
      add(it, true);
      Peer &peer = Peers[it.Id];
      peer.Known.Incarnation = 0;
      peer.Known.InForce = Revision();
      setState(now, peer, leaves ? MemberState::Leaving : MemberState::Alive);
      Updates.remove(it.Id);
      continue;
    }
    Peer &peer = known->second;
    peer.Listed = true;
    // What a member says of itself goes before the lagging list.
    if (peer.Known.Incarnation == 0)
      peer.Known.Address = it.Address;
    if (leaves && rank(peer.Known.State) < rank(MemberState::Leaving))
      setState(now, peer, MemberState::Leaving);
  }
}

void SwimState::setRevision(Revision revision) {
  Self.InForce = std::max(Self.InForce, revision);
}

void SwimState::leave(MonoTime now) {
  Self.State = MemberState::Leaving;
  ++Self.Incarnation;
  Updates.add(Self);
  changed(Self);
  noticePause(now);
  // The own data centre is told at once, since its pods move.
  for (const auto &[id, peer] : Peers)
    if (isNear(peer.Known) && peer.Known.State != MemberState::Dead) {
      SwimMessage news;
      news.Kind = SwimKind::News;
      send(peer.Known.Address, std::move(news));
    }
}

void SwimState::changed(const Member &member) { Changes.push_back({member}); }

bool SwimState::isNear(const Member &member) const {
  return member.DataCentre == Self.DataCentre;
}

void SwimState::ping(const Peer &peer, std::uint64_t sequence) {
  SwimMessage message;
  message.Sequence = sequence;
  if (peer.Known.State != MemberState::Alive)
    message.Updates.push_back(peer.Known);
  send(peer.Known.Address, std::move(message));
}

void SwimState::send(const Endpoint &to, SwimMessage message) {
  message.Sender = Self;
  std::size_t used = encodeSwim(message).size();
  if (used < MaxDatagramBytes)
    Updates.take(MaxDatagramBytes - used, Peers.size() + 1, message.Updates);
  Outbox.push_back({to, std::move(message)});
}

void SwimState::sendAll(const Endpoint &to, std::uint64_t sequence) {
  SwimMessage news;
  news.Kind = SwimKind::News;
  news.Sequence = sequence;
  news.Sender = Self;
  const std::size_t empty = encodeSwim(news).size();
  std::size_t used = empty;
  for (const auto &[id, peer] : Peers) {
    const std::size_t bytes = updateBytes(peer.Known);
    if (used + bytes > MaxDatagramBytes) {
      Outbox.push_back({to, news});
      news.Updates.clear();
      used = empty;
    }
    news.Updates.push_back(peer.Known);
    used += bytes;
  }
  Outbox.push_back({to, std::move(news)});
}

std::vector<SwimDatagram> SwimState::takeDatagrams() {
  return std::exchange(Outbox, {});
}

std::vector<SwimChange> SwimState::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace citrongap
