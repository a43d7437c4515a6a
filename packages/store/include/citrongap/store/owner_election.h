// Keeps this node in the group that owns a topic and tells when it holds it.
// The holder counts as owner only while its last join is young enough that no
// other member can have been given the topic meanwhile.
#ifndef CITRONGAP_STORE_OWNER_ELECTION_H
#define CITRONGAP_STORE_OWNER_ELECTION_H

#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <memory>
#include <string>

namespace citrongap {

struct ElectionOptions {
  /// Without a join for so long, the store gives the topic to another member;
  /// five joins, so that one lost answer does not end an ownership.
  Millis SessionTimeout{1500};
  /// Between joins; a topic that was left is noticed with the next one.
  Millis JoinInterval{300};
  /// A slow store answers within 0.4 s.
  Millis AnswerTimeout{600};
  /// Several tries fit before the membership lapses.
  Millis RetryDelay{150};
  /// A small VM joins only when nobody has held the topic for two looks.
  bool Standby = false;
  /// Two looks are longer than a membership lasts.
  Millis OwnerCheckInterval{2000};
};

class OwnerElection {
public:
  OwnerElection(EventLoop &loop, StorePort &store, std::string group,
                std::string member, TopicId topic, ElectionOptions terms);

  /// Later calls do nothing.
  void start();
  /// Leaves the group, so that another member takes over at once.
  void leave();
  /// Holds the topic, and its last join was sent within the lapse.
  bool isOwner() const;
  Epoch generation() const { return Generation; }
  /// For the ownership that begins now: above all earlier ones, and no other
  /// member can use it, since a generation gives the topic to one member.
  Epoch nextEpoch();
  /// Each time this member starts or ceases to hold the topic.
  std::function<void(bool holds)> OnChange;

private:
  void look();
  void onHolder(StoreResult<TopicOwner> result);
  void join();
  void onStanding(MonoTime sentAt, StoreResult<GroupMembership> result);
  void report();

  EventLoop &Loop;
  StorePort &Store;
  std::string Group;
  std::string Member;
  TopicId Topic;
  ElectionOptions Terms;
  Epoch Generation;
  bool Holding = false;
  bool Reported = false;
  bool Started = false;
  bool Left = false;
  MonoTime ConfirmedAt;
  /// Ownerships of this member that began in the present generation.
  std::uint64_t Ownerships = 0;
  /// Looks in a row that found no holder.
  int Vacant = 0;
  Timer Again;
  Timer Lapse;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_OWNER_ELECTION_H
