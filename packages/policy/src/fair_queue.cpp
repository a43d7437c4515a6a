// Data structures: a job list per account and class, an ordered set of accounts
// by tag per band, and a hash index from job ids to list positions.
#include "citrongap/policy/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citrongap {

namespace {

/// Keeps short queues from compacting the heap at every removal.
constexpr std::size_t ExpirySlack = 64;

std::size_t indexOf(ServiceClass cls) { return static_cast<std::size_t>(cls); }

/// Estimated accelerator-milliseconds.
std::int64_t workOf(const QueuedJob &job) {
  return job.EstimateMs * job.Job.Gang.Count;
}

} // namespace

bool FairQueue::Account::hasWork(Band band) const {
  if (band == UrgentBand)
    return !Waiting[0].empty();
  return !Waiting[1].empty() || !Waiting[2].empty();
}

void FairQueue::setAccount(const ClientAccountId &account, FairShare share) {
  Account &it = Accounts[account];
  if (it.Length > 0)
    WaitingWeight += share.Weight - std::uint64_t{it.Share.Weight};
  it.Id = account;
  it.Share = share;
}

std::vector<QueuedJob>
FairQueue::removeAccount(const ClientAccountId &account) {
  std::vector<QueuedJob> jobs;
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return jobs;
  for (auto &list : it->second.Waiting)
    while (!list.empty())
      jobs.push_back(extract(Index.find(list.front().Job.Id)));
  Accounts.erase(it);
  ++Changes;
  return jobs;
}

void FairQueue::link(Account &account) {
  for (const Band band : {UrgentBand, NonUrgentBand})
    if (account.hasWork(band))
      Order[band].insert({account.Tag, &account});
}

void FairQueue::unlink(Account &account) {
  for (auto &order : Order)
    order.erase({account.Tag, &account});
}

void FairQueue::advanceVirtualTime() {
  std::optional<double> lowest;
  for (const auto &order : Order)
    if (!order.empty())
      lowest =
          std::min(lowest.value_or(order.begin()->Tag), order.begin()->Tag);
  VirtualTime = std::max(VirtualTime, lowest.value_or(VirtualTime));
}

void FairQueue::insert(Account &account, QueuedJob job, bool front) {
  const std::size_t cls = indexOf(job.Class);
  if (account.Length == 0) {
    advanceVirtualTime();
    account.Tag = std::max(account.Tag, VirtualTime);
    WaitingWeight += account.Share.Weight;
  }
  JobList &list = account.Waiting[cls];
  job.EstimateMs = std::max<std::int64_t>(job.EstimateMs, 1);
  job.Sequence = NextSequence++;
  Expiries.push_back({job.Job.Deadline, job.Sequence, job.Job.Id});
  std::push_heap(Expiries.begin(), Expiries.end());
  account.Work[cls] += workOf(job);
  ++account.Length;
  const auto it =
      list.insert(front ? list.begin() : list.end(), std::move(job));
  Index[it->Job.Id] = {&account, it};
  if (list.size() == 1)
    link(account);
  ++Changes;
}

QueuedJob
FairQueue::extract(std::unordered_map<JobId, QueuePosition>::iterator it) {
  Account &account = *it->second.Owner;
  const auto position = it->second.It;
  const std::size_t cls = indexOf(position->Class);
  JobList &list = account.Waiting[cls];
  Index.erase(it);
  QueuedJob job = std::move(*position);
  account.Work[cls] -= workOf(job);
  --account.Length;
  const bool last = list.size() == 1;
  if (last)
    unlink(account);
  list.erase(position);
  if (last)
    link(account);
  if (account.Length == 0)
    WaitingWeight -= account.Share.Weight;
  compactExpiries();
  return job;
}

const QueuedJob *FairQueue::displacementCandidate(const Account &account,
                                                  ServiceClass cls) const {
  for (std::size_t i = Classes; i-- > indexOf(cls) + 1;) {
    // Requeued jobs are at the front, so if the last job was started before,
    // all jobs of the list were.
    const JobList &list = account.Waiting[i];
    if (!list.empty() && !list.back().MayHaveRun)
      return &list.back();
  }
  return nullptr;
}

PushResult FairQueue::push(QueuedJob job) {
  const auto it = Accounts.find(job.Job.Id.Account);
  if (it == Accounts.end())
    return NotRun{"the account has no plan", 0};
  if (Index.contains(job.Job.Id))
    return Queued{};
  Account &account = it->second;
  if (account.Length < account.Share.MaxQueued) {
    insert(account, std::move(job), false);
    return Queued{};
  }
  const NotRun why{"the account's queue is full",
                   std::max<std::int64_t>(waitMs(account.Id, job.Class), 1)};
  const QueuedJob *candidate = displacementCandidate(account, job.Class);
  if (!candidate)
    return why;
  const JobId displaced = candidate->Job.Id;
  extract(Index.find(displaced));
  insert(account, std::move(job), false);
  return Displaced{displaced, why};
}

void FairQueue::requeue(QueuedJob job) {
  const auto it = Accounts.find(job.Job.Id.Account);
  if (it != Accounts.end() && !Index.contains(job.Job.Id))
    insert(it->second, std::move(job), true);
}

std::optional<QueuedJob> FairQueue::erase(const JobId &job) {
  const auto it = Index.find(job);
  if (it == Index.end())
    return std::nullopt;
  ++Changes;
  return extract(it);
}

std::vector<QueuedJob> FairQueue::takeExpired(WallTime wall) {
  std::vector<QueuedJob> expired;
  while (!Expiries.empty() && Expiries.front().Deadline <= wall) {
    std::pop_heap(Expiries.begin(), Expiries.end());
    const Expiry entry = std::move(Expiries.back());
    Expiries.pop_back();
    const auto it = Index.find(entry.Job);
    if (it == Index.end() || it->second.It->Sequence != entry.Sequence)
      continue;
    ++Changes;
    expired.push_back(extract(it));
  }
  return expired;
}

void FairQueue::compactExpiries() {
  if (Expiries.size() <= 2 * Index.size() + ExpirySlack)
    return;
  std::erase_if(Expiries, [&](const Expiry &entry) {
    const auto it = Index.find(entry.Job);
    return it == Index.end() || it->second.It->Sequence != entry.Sequence;
  });
  std::make_heap(Expiries.begin(), Expiries.end());
}

void FairQueue::charge(Account &account, const JobRequest &job,
                       std::int64_t estimateMs) {
  const double weight = account.Share.Weight;
  const auto charged =
      static_cast<double>(std::max<std::int64_t>(estimateMs, 1));
  const double tag = charged * job.Gang.Count / weight;
  unlink(account);
  account.Tag += tag;
  link(account);
  Charges[job.Id] = {account.Id, job.Gang, weight, tag};
}

std::optional<QueuedJob> FairQueue::start(const JobId &job) {
  const auto it = Index.find(job);
  if (it == Index.end())
    return std::nullopt;
  ++Starts;
  advanceVirtualTime();
  Account &account = *it->second.Owner;
  QueuedJob taken = extract(it);
  charge(account, taken.Job, taken.EstimateMs);
  return taken;
}

void FairQueue::adopt(const JobRequest &job, std::int64_t estimateMs) {
  erase(job.Id);
  const auto it = Accounts.find(job.Id.Account);
  if (it != Accounts.end())
    charge(it->second, job, estimateMs);
  ++Changes;
}

void FairQueue::finish(const JobId &job, std::int64_t ranMs) {
  const auto it = Charges.find(job);
  if (it == Charges.end())
    return;
  const Charge charge = it->second;
  Charges.erase(it);
  const auto owner = Accounts.find(charge.Account);
  if (owner == Accounts.end())
    return;
  Account &account = owner->second;
  const double ran =
      static_cast<double>(std::max<std::int64_t>(ranMs, 0)) * charge.Gang.Count;
  unlink(account);
  account.Tag = std::max(0.0, account.Tag + ran / charge.Weight - charge.Tag);
  link(account);
  ++Changes;
}

const QueuedJob *FairQueue::find(const JobId &job) const {
  const auto it = Index.find(job);
  return it == Index.end() ? nullptr : &*it->second.It;
}

std::vector<JobId> FairQueue::firstOf(const ClientAccountId &account,
                                      std::size_t depth, MonoTime now) const {
  std::vector<JobId> out;
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return out;
  for (const JobList &list : it->second.Waiting) {
    for (const QueuedJob &job : list) {
      if (depth-- == 0)
        return out;
      if (job.NotBefore <= now)
        out.push_back(job.Job.Id);
    }
  }
  return out;
}

std::map<ClientAccountId, std::uint32_t> FairQueue::lengths() const {
  std::map<ClientAccountId, std::uint32_t> out;
  for (const auto &[id, account] : Accounts)
    if (account.Length > 0)
      out[id] = account.Length;
  return out;
}

std::uint32_t FairQueue::lengthOf(const ClientAccountId &account) const {
  const auto it = Accounts.find(account);
  return it == Accounts.end() ? 0 : it->second.Length;
}

double FairQueue::tagOf(const ClientAccountId &account) const {
  const auto it = Accounts.find(account);
  return it == Accounts.end() ? 0 : it->second.Tag;
}

std::int64_t FairQueue::waitMs(const ClientAccountId &account,
                               ServiceClass cls) const {
  const auto it = Accounts.find(account);
  if (it == Accounts.end() || it->second.Length == 0 || Capacity.Count == 0)
    return 0;
  std::int64_t ahead = 0;
  for (std::size_t i = 0; i <= indexOf(cls); ++i)
    ahead += it->second.Work[i];
  const double share = static_cast<double>(it->second.Share.Weight) /
                       static_cast<double>(WaitingWeight);
  return std::llround(static_cast<double>(ahead) / (Capacity.Count * share));
}

} // namespace citrongap
