// The periodic part of SwimState: probes, suspicion and death.
#include "citrongap/peer/swim_state.h"

#include <algorithm>
#include <utility>

namespace citrongap {

void SwimState::tick(MonoTime now) {
  noticePause(now);
  expire(now);
  runProber(now, Near);
  runProber(now, Far);
  if (now >= SyncAt)
    sync(now);
}

void SwimState::noticePause(MonoTime now) {
  const bool paused = now - LastSeen > Settings.Period;
  LastSeen = now;
  if (!paused)
    return;
  // Answers and refutations may have been missed: nobody is judged by them.
  Near.Pending.reset();
  Far.Pending.reset();
  Relays.clear();
  for (auto &[id, peer] : Peers)
    if (peer.Known.State == MemberState::Suspect)
      startSuspicion(now, peer);
  SyncAt = now;
}

void SwimState::startSuspicion(MonoTime now, Peer &peer) {
  peer.StateEnds =
      now + (isNear(peer.Known) ? Settings.Suspicion : Settings.FarSuspicion);
}

void SwimState::expire(MonoTime now) {
  std::erase_if(Relays,
                [now](const auto &it) { return it.second.Expires <= now; });
  for (auto it = Peers.begin(); it != Peers.end();) {
    Peer &peer = it->second;
    if (peer.Known.State == MemberState::Suspect && peer.StateEnds <= now)
      setState(now, peer, MemberState::Dead);
    const bool forget = peer.Known.State == MemberState::Dead &&
                        peer.StateEnds <= now && !peer.Listed;
    it = forget ? Peers.erase(it) : std::next(it);
  }
}

void SwimState::runProber(MonoTime now, Prober &prober) {
  if (prober.Pending) {
    Probe &probe = *prober.Pending;
    if (now >= probe.FailsAt) {
      failProbe(now, std::exchange(prober.Pending, std::nullopt)->Target);
    } else if (now >= probe.AskOthersAt && !probe.AskedOthers) {
      probe.AskedOthers = true;
      askOthers(probe);
    }
  }
  if (now >= prober.NextAt && !prober.Pending)
    startProbe(now, prober);
}

void SwimState::startProbe(MonoTime now, Prober &prober) {
  prober.NextAt = now + (prober.Far ? Settings.FarPeriod : Settings.Period);
  const auto target = nextTarget(prober);
  if (!target)
    return;
  Probe probe;
  probe.Target = *target;
  probe.Sequence = NextSequence++;
  probe.AskOthersAt = now + Settings.AckTimeout;
  probe.FailsAt = now + Settings.Period;
  ping(Peers.at(*target), probe.Sequence);
  prober.Pending = std::move(probe);
}

std::optional<EntryVmId> SwimState::nextTarget(Prober &prober) {
  for (int round = 0; round < 2; ++round) {
    while (!prober.Round.empty()) {
      const EntryVmId id = prober.Round.back();
      prober.Round.pop_back();
      const auto it = Peers.find(id);
      if (it != Peers.end() && probes(prober, it->second))
        return id;
    }
    for (const auto &[id, peer] : Peers)
      if (probes(prober, peer))
        prober.Round.push_back(id);
    std::shuffle(prober.Round.begin(), prober.Round.end(), Chance.engine());
  }
  return std::nullopt;
}

bool SwimState::probes(const Prober &prober, const Peer &peer) const {
  // The dead that the list names may come back; they are asked rarely.
  if (peer.Known.State == MemberState::Dead)
    return prober.Far && peer.Listed;
  return prober.Far != isNear(peer.Known);
}

void SwimState::askOthers(const Probe &probe) {
  const auto it = Peers.find(probe.Target);
  if (it == Peers.end())
    return;
  const bool nearOnly = isNear(it->second.Known);
  for (const Peer *relay :
       pickRelays(Settings.IndirectProbes, nearOnly, probe.Target)) {
    SwimMessage message;
    message.Kind = SwimKind::PingRequest;
    message.Sequence = probe.Sequence;
    message.Target = probe.Target;
    send(relay->Known.Address, std::move(message));
  }
}

std::vector<const SwimState::Peer *>
SwimState::pickRelays(std::size_t count, bool nearOnly,
                      const EntryVmId &except) {
  std::vector<const Peer *> all;
  for (const auto &[id, peer] : Peers)
    if (id != except && peer.Known.State == MemberState::Alive &&
        (!nearOnly || isNear(peer.Known)))
      all.push_back(&peer);
  if (all.empty() && nearOnly)
    return pickRelays(count, false, except);
  std::vector<const Peer *> out;
  std::sample(all.begin(), all.end(), std::back_inserter(out), count,
              Chance.engine());
  return out;
}

void SwimState::failProbe(MonoTime now, const EntryVmId &target) {
  const auto it = Peers.find(target);
  if (it == Peers.end())
    return;
  Peer &peer = it->second;
  if (peer.Known.State == MemberState::Leaving)
    return setState(now, peer, MemberState::Dead);
  if (peer.Known.State != MemberState::Alive)
    return;
  setState(now, peer, MemberState::Suspect);
  // Waits in the socket of a paused process, which refutes it on waking.
  ping(peer, NextSequence++);
}

void SwimState::sync(MonoTime now) {
  // The answer puts the next exchange off by a whole period.
  SyncAt = now + Settings.FarPeriod;
  const auto anyone = pickRelays(1, false, Self.Id);
  if (anyone.empty())
    return;
  SyncSequence = NextSequence++;
  SwimMessage message;
  message.Kind = SwimKind::Sync;
  message.Sequence = SyncSequence;
  send(anyone.front()->Known.Address, std::move(message));
}

} // namespace citrongap
