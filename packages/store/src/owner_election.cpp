// Renews the group membership by periodic joins and reports ownership changes.
#include "citrongap/store/owner_election.h"

#include <utility>

namespace citrongap {

OwnerElection::OwnerElection(EventLoop &loop, StorePort &store,
                             std::string group, std::string member,
                             TopicId topic, ElectionOptions options)
    : Loop(loop), Store(store), Group(std::move(group)),
      Member(std::move(member)), Topic(std::move(topic)), Options(options) {}

void OwnerElection::start() {
  if (Left || std::exchange(Started, true))
    return;
  if (Options.Standby)
    scheduleCheck(Options.OwnerCheckInterval);
  else
    checkOwner();
}

void OwnerElection::scheduleCheck(Millis wait) {
  PollTimer = Loop.at(monoNow() + wait, [this] { checkOwner(); });
}

void OwnerElection::checkOwner() {
  if (Left)
    return;
  Store.findOwner(Group, Topic, monoNow() + Options.AnswerTimeout,
                  [this, alive = std::weak_ptr<int>(Alive)](auto result) {
                    if (alive.lock())
                      onOwnerChecked(std::move(result));
                  });
}

void OwnerElection::onOwnerChecked(StoreResult<TopicOwner> result) {
  if (Left)
    return;
  const auto *owner = std::get_if<TopicOwner>(&result);
  if (owner)
    ChecksWithoutOwner = owner->Member.empty() ? ChecksWithoutOwner + 1 : 0;
  // A join whose answer was lost, or that the store made late, may have given
  // the topic to this node.
  const bool isAssigned = owner && owner->Member == Member;
  if (ChecksWithoutOwner > 1 || isAssigned) {
    join();
  } else if (ChecksWithoutOwner == 1 && !Options.Standby) {
    const auto longest = static_cast<std::uint64_t>(Options.JoinSpread.count());
    scheduleCheck(
        Millis(static_cast<std::int64_t>(Spread.between(0, longest))));
  } else {
    scheduleCheck(Options.OwnerCheckInterval);
  }
}

bool OwnerElection::isOwner() const {
  return Assigned && !Left &&
         monoNow() < LastJoinSentAt + Options.SessionTimeout;
}

void OwnerElection::leave() {
  Left = true;
  PollTimer.cancel();
  SessionTimer.cancel();
  reportChange();
  Store.leave(Group, Member, monoNow() + Options.AnswerTimeout, [](auto) {});
}

void OwnerElection::join() {
  if (Left)
    return;
  const MonoTime sentAt = monoNow();
  Store.join(Group, Member, Topic, Options.SessionTimeout, Generation,
             sentAt + Options.AnswerTimeout,
             [this, sentAt, alive = std::weak_ptr<int>(Alive)](auto result) {
               if (alive.lock())
                 onMembership(sentAt, std::move(result));
             });
}

void OwnerElection::onMembership(MonoTime sentAt,
                                 StoreResult<GroupMembership> result) {
  if (Left)
    return;
  const auto *membership = std::get_if<GroupMembership>(&result);
  if (membership) {
    const bool changed = membership->Generation != Generation;
    if (changed)
      OwnershipsInGeneration = 0;
    Generation = membership->Generation;
    Assigned = membership->IsOwner;
    LastJoinSentAt = sentAt;
    // After a rebalance a member releases its partition only by joining again,
    // so that join is made early.
    const Millis wait = changed ? Options.RetryDelay : Options.JoinInterval;
    PollTimer = Loop.at(monoNow() + wait, [this] { join(); });
  } else if (monoNow() < LastJoinSentAt + Options.SessionTimeout) {
    PollTimer = Loop.at(monoNow() + Options.RetryDelay, [this] { join(); });
  } else {
    // The membership has expired. Another node may own the topic by now.
    Assigned = false;
    ChecksWithoutOwner = 0;
    scheduleCheck(Options.RetryDelay);
  }
  SessionTimer = Loop.at(LastJoinSentAt + Options.SessionTimeout,
                         [this] { reportChange(); });
  reportChange();
}

Epoch OwnerElection::nextEpoch() {
  // A session that expires and is renewed within one generation begins a new
  // ownership each time. A generation has far fewer of them than this bound.
  constexpr std::uint64_t EpochsPerGeneration = 1U << 16U;
  return Epoch(Generation.value() * EpochsPerGeneration +
               OwnershipsInGeneration++ * EpochsPerOwnership);
}

void OwnerElection::reportChange() {
  const bool owner = isOwner();
  if (owner == Reported)
    return;
  Reported = owner;
  if (OnChange)
    OnChange(owner);
}

} // namespace citrongap
