// Failure detection and dissemination between entry VMs as published for SWIM
// (Das, Gupta, Motivala, DSN 2002): pure logic, with time passed in and
// messages handed out. Each node probes one member of its own data centre a
// period and one of all others a longer period, so its cost does not grow with
// the number of members.
#ifndef CITRONGAP_PEER_SWIM_STATE_H
#define CITRONGAP_PEER_SWIM_STATE_H

#include "citrongap/base/random.h"
#include "citrongap/base/time.h"
#include "citrongap/peer/swim_message.h"
#include "citrongap/peer/swim_updates.h"

#include <map>
#include <optional>
#include <vector>

namespace citrongap {

struct SwimSettings {
  /// Between probes of the own data centre's members.
  Millis Period{500};
  /// Between probes of other data centres' members and of dead listed ones.
  Millis FarPeriod{2000};
  /// A probe without an answer for so long is tried through others; it has
  /// failed once its period is over.
  Millis AckTimeout{200};
  std::size_t IndirectProbes = 3;
  /// From suspicion to death; a process that is paused for less survives.
  Millis Suspicion{3000};
  Millis FarSuspicion{6000};
  /// A dead member that the list does not name is kept so long.
  Millis ForgetAfter{60000};
  /// Between full exchanges with one random member.
  Millis SyncPeriod{300000};
};

struct SwimDatagram {
  Endpoint To;
  SwimMessage Message;
};

struct SwimChange {
  Member About;
  /// Nothing but the revision in force has changed.
  bool RevisionOnly = false;
};

class SwimState {
public:
  SwimState(Member self, Random random, SwimSettings settings, MonoTime now);

  const Member &self() const { return Self; }
  /// Everyone known, this entry VM included, by id.
  std::vector<Member> members() const;

  /// Sends what is due; call it several times a period.
  void tick(MonoTime now);
  void receive(MonoTime now, const Endpoint &from, const SwimMessage &message);
  void setListed(MonoTime now, const std::vector<Member> &listed);
  void setRevision(Revision revision);
  void leave(MonoTime now);

  /// Hands out the messages to send since the last call.
  std::vector<SwimDatagram> takeDatagrams();
  /// Hands out what changed since the last call.
  std::vector<SwimChange> takeChanges();

private:
  struct Peer {
    Member Known;
    bool Listed = false;
    /// When a suspect dies, or when a dead member that isn't listed is
    /// forgotten; no meaning in other states.
    MonoTime StateEnds;
  };
  struct Probe {
    EntryVmId Target;
    std::uint64_t Sequence = 0;
    MonoTime AskOthersAt;
    MonoTime FailsAt;
    bool AskedOthers = false;
  };
  /// One probe at a time over a shuffled round of members.
  struct Prober {
    bool Far = false;
    MonoTime NextAt;
    std::vector<EntryVmId> Round;
    std::optional<Probe> Pending;
  };
  /// A ping sent for another member.
  struct Relay {
    Endpoint Origin;
    std::uint64_t Sequence = 0;
    MonoTime Expires;
  };

  void noticePause(MonoTime now);
  void runProber(MonoTime now, Prober &prober);
  void startProbe(MonoTime now, Prober &prober);
  std::optional<EntryVmId> nextTarget(Prober &prober);
  bool probes(const Prober &prober, const Peer &peer) const;
  void askOthers(const Probe &probe);
  void failProbe(MonoTime now, const EntryVmId &target);
  void expire(MonoTime now);
  void sync(MonoTime now);

  void apply(MonoTime now, const Member &update);
  void applyToSelf(const Member &update);
  void add(const Member &member, bool listed);
  void setState(MonoTime now, Peer &peer, MemberState state);
  void startSuspicion(MonoTime now, Peer &peer);
  void changed(const Member &member);

  void onAck(std::uint64_t sequence);
  void onPingRequest(MonoTime now, const Endpoint &from,
                     const SwimMessage &message);
  void sendAll(const Endpoint &to, std::uint64_t sequence);
  void ping(const Peer &peer, std::uint64_t sequence);
  void send(const Endpoint &to, SwimMessage message);
  bool isNear(const Member &member) const;
  /// Up to `count` random members that may relay, without `except`; near ones
  /// if asked for and there are any.
  std::vector<const Peer *> pickRelays(std::size_t count, bool nearOnly,
                                       const EntryVmId &except);

  SwimSettings Settings;
  Member Self;
  Random Chance;
  /// Without this entry VM.
  std::map<EntryVmId, Peer> Peers;
  SwimUpdates Updates;
  Prober Near;
  Prober Far;
  std::map<std::uint64_t, Relay> Relays;
  std::uint64_t NextSequence = 1;
  MonoTime LastSeen;
  MonoTime SyncAt;
  /// Of the latest Sync, or 0.
  std::uint64_t SyncSequence = 0;
  std::vector<SwimDatagram> Outbox;
  std::vector<SwimChange> Changes;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_SWIM_STATE_H
