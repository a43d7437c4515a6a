// Joins the group that owns a topic while the topic has no owner, keeps the
// membership, and reports when this node becomes or ceases to be the owner. The
// store may move the topic with each change of the group, so a node does not
// join beside an owner. A member counts as owner only while its last join is
// recent enough that the store cannot have given the topic to another member.
#ifndef CITRONGAP_STORE_OWNER_ELECTION_H
#define CITRONGAP_STORE_OWNER_ELECTION_H

#include "citrongap/base/random.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <memory>
#include <string>

namespace citrongap {

/// Intervals and limits of an OwnerElection.
struct ElectionOptions {
  /// The store removes a member that has not joined for this long and gives
  /// its topic to another. Covers five joins, so that one lost answer does not
  /// end an ownership.
  Millis SessionTimeout{1500};
  /// Time between joins. A topic that its owner left is taken over with the
  /// next join.
  Millis JoinInterval{300};
  /// A slow store answers within 0.4 s.
  Millis AnswerTimeout{600};
  /// Delay after a failed join; several retries fit into the session timeout.
  Millis RetryDelay{150};
  /// For a small VM: the checks before a join are both `OwnerCheckInterval`
  /// apart, so that others join first.
  bool Standby = false;
  /// Time between the checks of a node that is not a member.
  Millis OwnerCheckInterval{250};
  /// A check that finds no owner is repeated after a random time up to this, so
  /// that few nodes join at once.
  Millis JoinSpread{100};
};

/// Membership of one member in one group, for one topic.
class OwnerElection {
public:
  /// `member` is the name of this node in `group`.
  OwnerElection(EventLoop &loop, StorePort &store, std::string group,
                std::string member, TopicId topic, ElectionOptions options);

  /// Begins to check the owner. Later calls do nothing.
  void start();
  /// Leaves the group for good, so that another member can take over at once.
  void leave();
  /// The last join assigned the topic to this member and was sent less than
  /// the session timeout ago.
  bool isOwner() const;
  /// Generation of the group as of the last join.
  Epoch generation() const { return Generation; }
  /// Fencing epoch for an ownership that begins now. It is above all earlier
  /// ones, and no other member can use it, since the topic has one owner in
  /// each generation. The `EpochsPerOwnership` epochs from it on belong to the
  /// ownership.
  Epoch nextEpoch();
  static constexpr std::uint64_t EpochsPerOwnership = 16;
  /// Called each time this member becomes or ceases to be the owner.
  std::function<void(bool isOwner)> OnChange;

private:
  void checkOwner();
  void scheduleCheck(Millis wait);
  void onOwnerChecked(StoreResult<TopicOwner> result);
  void join();
  void onMembership(MonoTime sentAt, StoreResult<GroupMembership> result);
  void reportChange();

  EventLoop &Loop;
  StorePort &Store;
  std::string Group;
  std::string Member;
  TopicId Topic;
  ElectionOptions Options;
  Epoch Generation;
  /// The last join assigned the topic to this member.
  bool Assigned = false;
  /// The last value given to `OnChange`.
  bool Reported = false;
  bool Started = false;
  bool Left = false;
  /// When the last successful join was sent.
  MonoTime LastJoinSentAt;
  /// Ownerships of this member that began in the current generation.
  std::uint64_t OwnershipsInGeneration = 0;
  /// Consecutive owner checks that found no owner.
  int ChecksWithoutOwner = 0;
  Random Spread{Random::fromDevice()};
  /// Starts the next join or owner check.
  Timer PollTimer;
  /// Reports the end of the ownership when the session expires.
  Timer SessionTimer;
  /// Guards callbacks of store calls that outlive this object.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_OWNER_ELECTION_H
