// Joins the owners' group again and again, and reports changes.
#include "citrongap/store/owner_election.h"

#include <utility>

namespace citrongap {

OwnerElection::OwnerElection(EventLoop &loop, StorePort &store,
                             std::string group, std::string member,
                             TopicId topic, ElectionOptions terms)
    : Loop(loop), Store(store), Group(std::move(group)),
      Member(std::move(member)), Topic(std::move(topic)), Terms(terms) {}

void OwnerElection::start() {
  if (Left || std::exchange(Started, true))
    return;
  if (Terms.Standby)
    Again = Loop.at(monoNow() + Terms.OwnerCheckInterval, [this] { look(); });
  else
    join();
}

void OwnerElection::look() {
  if (Left)
    return;
  Store.findOwner(Group, Topic, monoNow() + Terms.AnswerTimeout,
                  [this, alive = std::weak_ptr<int>(Alive)](auto result) {
                    if (alive.lock())
                      onHolder(std::move(result));
                  });
}

void OwnerElection::onHolder(StoreResult<TopicOwner> result) {
  const auto *holder = std::get_if<TopicOwner>(&result);
  if (holder)
    Vacant = holder->Member.empty() ? Vacant + 1 : 0;
  if (Vacant > 1)
    join();
  else
    Again = Loop.at(monoNow() + Terms.OwnerCheckInterval, [this] { look(); });
}

bool OwnerElection::isOwner() const {
  return Holding && !Left && monoNow() < ConfirmedAt + Terms.SessionTimeout;
}

void OwnerElection::leave() {
  Left = true;
  Again.cancel();
  Lapse.cancel();
  report();
  Store.leave(Group, Member, monoNow() + Terms.AnswerTimeout, [](auto) {});
}

void OwnerElection::join() {
  if (Left)
    return;
  const MonoTime now = monoNow();
  Store.join(Group, Member, Topic, Terms.SessionTimeout, Generation,
             now + Terms.AnswerTimeout,
             [this, now, alive = std::weak_ptr<int>(Alive)](auto result) {
               if (alive.lock())
                 onStanding(now, std::move(result));
             });
}

void OwnerElection::onStanding(MonoTime sentAt,
                               StoreResult<GroupMembership> result) {
  if (Left)
    return;
  const auto *standing = std::get_if<GroupMembership>(&result);
  if (standing) {
    const bool changed = standing->Generation != Generation;
    if (changed)
      Ownerships = 0;
    Generation = standing->Generation;
    Holding = standing->IsOwner;
    ConfirmedAt = sentAt;
    // A member that gives a partition up does so by joining again.
    const Millis wait = changed ? Terms.RetryDelay : Terms.JoinInterval;
    Again = Loop.at(monoNow() + wait, [this] { join(); });
  } else {
    Again = Loop.at(monoNow() + Terms.RetryDelay, [this] { join(); });
  }
  Lapse = Loop.at(ConfirmedAt + Terms.SessionTimeout, [this] { report(); });
  report();
}

Epoch OwnerElection::nextEpoch() {
  // A membership that lapses and is renewed within one generation begins a new
  // ownership each time; far fewer than this many fit.
  constexpr std::uint64_t OwnershipsPerGeneration = 1U << 16U;
  return Epoch(Generation.value() * OwnershipsPerGeneration + Ownerships++);
}

void OwnerElection::report() {
  const bool now = isOwner();
  if (now == Reported)
    return;
  Reported = now;
  if (OnChange)
    OnChange(now);
}

} // namespace citrongap
