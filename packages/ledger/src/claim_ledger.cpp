// The rules by which records of the stream "jobs" take effect.
#include "citrongap/ledger/claim_ledger.h"

#include <algorithm>
#include <utility>

namespace citrongap {

bool ClaimLedger::apply(LogOffset offset, const JobRecord &record) {
  if (offset < Next)
    return false;
  retainFrom(offset);
  Next = offset.next();
  const Place place{offset, record.At};
  return std::visit(
      Overloaded{[&](const JobAccepted &it) { return accept(place, it); },
                 [&](const JobClaim &it) { return claim(place, it); },
                 [&](const ClaimVoid &it) { return makeVoid(it); },
                 [&](const PodTakeOver &it) {
                   return raiseTerm(place, it.Pod, it.By);
                 },
                 [&](const JobEnded &it) { return end(place, it); },
                 [&](const JobKept &it) { return keep(place, it); }},
      record.Body);
}

void ClaimLedger::skip(LogOffset offset) {
  if (offset < Next)
    return;
  retainFrom(offset);
  Next = offset.next();
  ++Broken;
}

void ClaimLedger::retainFrom(LogOffset first) {
  if (first <= Next)
    return;
  Next = first;
  Jobs.clear();
  Pods.clear();
  Spent.clear();
}

void ClaimLedger::forget(WallTime now) {
  const WallTime limit = now - ForgetAfter;
  std::erase_if(Jobs,
                [&](const auto &it) { return it.second.Deadline < limit; });
  std::erase_if(Spent, [&](const auto &it) { return it.second < limit; });
}

/// A pod that is not known yet has lost its take-over to retention.
bool ClaimLedger::termIsCurrent(const PodId &pod, PodTerm term) const {
  const auto it = Pods.find(pod);
  return it == Pods.end() || term >= it->second.By.Term;
}

bool ClaimLedger::raiseTerm(Place place, const PodId &pod,
                            const PodHolding &by) {
  const auto it = Pods.find(pod);
  if (it != Pods.end() && it->second.By.Term >= by.Term && it->second.By != by)
    return false;
  Pods[pod] = {by, place.At};
  return true;
}

/// A key whose deadline is long past names a new job.
void ClaimLedger::dropExpired(const JobId &job, WallTime at) {
  const auto it = Jobs.find(job);
  if (it != Jobs.end() && at > it->second.Deadline + ReuseAfter)
    Jobs.erase(it);
}

JobEntry &ClaimLedger::entryFor(Place place, const JobId &job,
                                WallTime deadline) {
  const auto [it, added] = Jobs.try_emplace(job);
  JobEntry &entry = it->second;
  if (added) {
    entry.Job = job;
    entry.Kept = place.At;
  }
  entry.Deadline = std::max(entry.Deadline, deadline);
  return entry;
}

bool ClaimLedger::accept(Place place, const JobAccepted &it) {
  dropExpired(it.Job, place.At);
  JobEntry &entry = entryFor(place, it.Job, it.Deadline);
  if (entry.Result)
    return true;
  if (!entry.Accepted)
    entry.Accepted = it.Body;
  return *entry.Accepted == it.Body;
}

bool ClaimLedger::claim(Place place, const JobClaim &it) {
  if (Spent.contains(it.Id))
    return false;
  dropExpired(it.Job, place.At);
  const JobEntry *known = find(it.Job);
  if (known && known->Claim && known->Claim->Id == it.Id)
    return true;
  const bool held = known && (known->Claim || known->Result);
  if (held || !raiseTerm(place, it.Pod, it.By)) {
    Spent.emplace(it.Id, it.Deadline);
    return false;
  }
  JobEntry &entry = entryFor(place, it.Job, it.Deadline);
  entry.Claim =
      ClaimHolding{it.Id, it.Pod, it.By.Term, it.StartBy, place.Offset};
  return true;
}

/// Where the record of `claim` is gone, a later claim that lost to it looks
/// like the first one: it is spent as soon as any record tells of `claim`.
void ClaimLedger::spendLater(const JobId &job, const ClaimId &claim,
                             LogOffset order, WallTime deadline) {
  const auto it = Jobs.find(job);
  if (it == Jobs.end() || !it->second.Claim || Spent.contains(claim))
    return;
  JobEntry &entry = it->second;
  const bool anotherJob = entry.Deadline > deadline + ReuseAfter;
  if (anotherJob || entry.Claim->Id == claim || entry.Claim->Order <= order)
    return;
  Spent.emplace(entry.Claim->Id, entry.Deadline);
  entry.Claim.reset();
}

bool ClaimLedger::makeVoid(const ClaimVoid &it) {
  if (it.Order)
    spendLater(it.Job, it.Claim, *it.Order, it.Deadline);
  const auto known = Jobs.find(it.Job);
  const bool holds = known != Jobs.end() && known->second.Claim &&
                     known->second.Claim->Id == it.Claim;
  if (holds) {
    if (known->second.Result ||
        !termIsCurrent(known->second.Claim->Pod, it.Term))
      return false;
    known->second.Claim.reset();
    if (!known->second.Accepted)
      Jobs.erase(known);
  }
  Spent.emplace(it.Claim, it.Deadline);
  return true;
}

bool ClaimLedger::end(Place place, const JobEnded &it) {
  if (it.Under)
    spendLater(it.Job, it.Under->Claim, it.Under->Order, it.Deadline);
  const JobEntry *known = find(it.Job);
  if (known && known->Result)
    return *known->Result == it.Result;
  const ClaimHolding *holding =
      known && known->Claim ? &*known->Claim : nullptr;
  if (!it.Under && holding)
    return false;
  if (it.Under && (Spent.contains(it.Under->Claim) ||
                   !termIsCurrent(it.Under->Pod, it.Under->Term) ||
                   (holding && holding->Id != it.Under->Claim)))
    return false;
  JobEntry &entry = entryFor(place, it.Job, it.Deadline);
  entry.Result = it.Result;
  entry.Accepted.reset();
  return true;
}

bool ClaimLedger::keep(Place place, const JobKept &it) {
  const JobEntry &from = it.Entry;
  const JobEntry *known = find(from.Job);
  // The key names a new job by now.
  if (known && known->Deadline > from.Deadline + ReuseAfter)
    return false;
  if (from.Claim)
    spendLater(from.Job, from.Claim->Id, from.Claim->Order, from.Deadline);
  JobEntry &entry = entryFor(place, from.Job, from.Deadline);
  if (!entry.Accepted)
    entry.Accepted = from.Accepted;
  if (!entry.Result)
    entry.Result = from.Result;
  if (entry.Result)
    entry.Accepted.reset();
  if (from.Claim && !Spent.contains(from.Claim->Id) && !entry.Claim)
    entry.Claim = from.Claim;
  // Changes between the writer's state and this offset are not covered.
  const bool whole = entry.Accepted == from.Accepted &&
                     entry.Claim == from.Claim && entry.Result == from.Result &&
                     entry.Deadline == from.Deadline;
  if (whole)
    entry.Kept = place.At;
  return whole;
}

const JobEntry *ClaimLedger::find(const JobId &job) const {
  const auto it = Jobs.find(job);
  return it == Jobs.end() ? nullptr : &it->second;
}

std::optional<PodHolding> ClaimLedger::holderOf(const PodId &pod) const {
  const auto it = Pods.find(pod);
  return it == Pods.end() ? std::nullopt : std::optional(it->second.By);
}

namespace {

JobEntry withoutOrder(JobEntry entry) {
  if (entry.Claim)
    entry.Claim->Order = LogOffset();
  return entry;
}

/// In an order that does not depend on hashing.
template <typename Jobs, typename Keep>
std::vector<const JobEntry *> selectJobs(const Jobs &jobs, Keep keep) {
  std::vector<const JobEntry *> out;
  for (const auto &[id, entry] : jobs)
    if (keep(entry))
      out.push_back(&entry);
  std::sort(out.begin(), out.end(),
            [](auto *lhs, auto *rhs) { return lhs->Job < rhs->Job; });
  return out;
}

} // namespace

std::vector<const JobEntry *> ClaimLedger::openClaims(const PodId &pod) const {
  return selectJobs(Jobs, [&](const JobEntry &it) {
    return it.Claim && it.Claim->Pod == pod && !it.Result;
  });
}

std::vector<const JobEntry *> ClaimLedger::waitingJobs() const {
  return selectJobs(Jobs, [](const JobEntry &it) {
    return it.Accepted && !it.Claim && !it.Result;
  });
}

std::vector<const JobEntry *> ClaimLedger::jobsKeptBefore(WallTime at) const {
  return selectJobs(Jobs, [&](const JobEntry &it) { return it.Kept < at; });
}

std::vector<PodTakeOver> ClaimLedger::podsKeptBefore(WallTime at) const {
  std::vector<PodTakeOver> out;
  for (const auto &[pod, it] : Pods)
    if (it.Kept < at)
      out.push_back({pod, it.By});
  return out;
}

std::string ClaimLedger::digest() const {
  std::string buf;
  for (const JobEntry *it : selectJobs(Jobs, [](const auto &) { return true; }))
    buf += encodeJobRecord({"", it->Kept, JobKept{withoutOrder(*it)}}) + "\n";
  for (const auto &[pod, it] : Pods)
    buf += encodeJobRecord({"", it.Kept, PodTakeOver{pod, it.By}}) + "\n";
  std::map<ClaimId, WallTime> spent(Spent.begin(), Spent.end());
  for (const auto &[claim, deadline] : spent)
    buf += claim.str() + " " + std::to_string(toMillis(deadline)) + "\n";
  return buf;
}

} // namespace citrongap
