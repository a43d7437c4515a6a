// What a link tells of orders that have no outcome yet.
#include "citrongap/control/server_link.h"

#include "citrongap/control/owner_waits.h"

#include <algorithm>
#include <utility>

namespace citrongap {

Millis ServerLink::answerAge(MonoTime now) const {
  return LastAnswerAt ? now - *LastAnswerAt : Millis(-1);
}

MonoTime ServerLink::startSettledBy(const RunId &run) const {
  const auto late = LateStarts.find(run);
  return late == LateStarts.end() ? latestLeaseEnd()
                                  : std::max(latestLeaseEnd(), late->second);
}

WaitReason ServerLink::startWait(const RunId &run, const TrackedRun &tracked,
                                 bool listStale) const {
  if (tracked.StartInFlight) {
    const auto late = LateStarts.find(run);
    if (late == LateStarts.end())
      return {"answer", std::nullopt};
    return {"answer", late->second - Options.MaxOrderDelay};
  }
  if (!reachable())
    return {"server", startSettledBy(run)};
  if (!Synchronized)
    return {"first_answer", std::nullopt};
  if (!Notify.MayAct())
    return {"ownership", std::nullopt};
  if (RenewalsBarred)
    return {"lease_record", std::nullopt};
  if (listStale)
    return {"server_list", std::nullopt};
  if (!leaseUntil(monoNow()))
    return {"clock", std::nullopt};
  return {"retry", std::nullopt};
}

void ServerLink::reviewOrders(OrderReview &review) {
  const MonoTime now = monoNow();
  for (auto &[id, it] : TrackedRuns) {
    if (it.StopRequested) {
      const Millis age = now - it.StopRequestedAt;
      review.OldestStop = std::max(review.OldestStop, age);
      if (it.StopLogged || !review.takeLine(age))
        continue;
      it.StopLogged = true;
      Log("order", "stop_late",
          "task={} run={} server={} age_ms={} acknowledged={} reachable={} "
          "last_answer_ms={} why=\"{}\"",
          id.first.str(), id.second, Incarnation.Id.str(), age.count(),
          it.StopConfirmedAt.has_value(), reachable(), answerAge(now).count(),
          it.StopReason);
    } else if (!it.StartConfirmedAt) {
      const Millis age = now - it.StartRequestedAt;
      review.OldestStart = std::max(review.OldestStart, age);
      if (it.StartLogged || !review.takeLine(age))
        continue;
      it.StartLogged = true;
      const WaitReason wait = startWait(id, it, review.ListStale);
      Log("order", "start_late",
          "task={} run={} server={} age_ms={} waits_for={} until_ms={} "
          "reachable={} last_answer_ms={}",
          id.first.str(), id.second, Incarnation.Id.str(), age.count(),
          wait.For, untilText(wait.Until, now), reachable(),
          answerAge(now).count());
    }
  }
}

void ServerLink::noteStartOutcome(const RunId &id, TrackedRun &tracked,
                                  const char *how) {
  if (!std::exchange(tracked.StartLogged, false) || !Active)
    return;
  Log("order", "start_late_over", "task={} run={} server={} age_ms={} how={}",
      id.first.str(), id.second, Incarnation.Id.str(),
      (monoNow() - tracked.StartRequestedAt).count(), how);
}

void ServerLink::noteOutcome(const RunId &id, TrackedRun &tracked,
                             const char *how) {
  noteStartOutcome(id, tracked, how);
  if (!std::exchange(tracked.StopLogged, false) || !Active)
    return;
  Log("order", "stop_late_over", "task={} run={} server={} age_ms={} how={}",
      id.first.str(), id.second, Incarnation.Id.str(),
      (monoNow() - tracked.StopRequestedAt).count(), how);
}

void ServerLink::forgetRun(const RunId &run, const char *how) {
  const auto found = TrackedRuns.find(run);
  if (found == TrackedRuns.end())
    return;
  noteOutcome(run, found->second, how);
  TrackedRuns.erase(found);
}

void ServerLink::noteOutcomes(const char *how) {
  for (auto &[id, it] : TrackedRuns)
    noteOutcome(id, it, how);
}

bool ServerLink::tracksStop(const RunId &run) const {
  const auto found = TrackedRuns.find(run);
  return found != TrackedRuns.end() && found->second.StopRequested;
}

std::optional<WaitReason> ServerLink::leaseWait() const {
  if (reachable() || TrackedRuns.empty())
    return std::nullopt;
  MonoTime lateStart;
  for (const auto &[id, it] : TrackedRuns)
    if (const auto late = LateStarts.find(id); late != LateStarts.end())
      lateStart = std::max(lateStart, late->second);
  if (lateStart > latestLeaseEnd())
    return WaitReason{"late_start", lateStart};
  return WaitReason{OthersLeaseEnd > OwnLeaseEnd ? "earlier_owner" : "own",
                    latestLeaseEnd()};
}

} // namespace citrongap
