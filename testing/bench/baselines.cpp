// First fit, class priority and plain quotas.
#include "baselines.h"

#include <algorithm>

namespace citrongap::bench {

namespace {
constexpr std::uint32_t MaxAttempts = 3;
} // namespace

void BaselineScheduler::configure(const Configuration &configuration,
                                  MonoTime) {
  Lists = configuration;
  setQuotas();
}

void BaselineScheduler::setServer(const ServerDescription &server, MonoTime) {
  Slots.addServer(server);
  setQuotas();
}

void BaselineScheduler::setQuotas() {
  std::uint32_t guaranteed = 0;
  std::uint32_t weights = 0;
  Quota.clear();
  for (const auto &[id, entry] : Lists.Accounts) {
    const PlanEntry &plan = *Lists.planOf(id);
    for (const auto &shape : plan.Guaranteed)
      Quota[id] += shape.Gang.Count * shape.Count;
    guaranteed += Quota[id];
    weights += plan.Weight;
  }
  const std::uint32_t total = Slots.total().Count;
  const std::uint32_t rest = total > guaranteed ? total - guaranteed : 0;
  for (auto &[id, quota] : Quota)
    quota += rest * Lists.planOf(id)->Weight / weights;
}

void BaselineScheduler::enqueue(const JobRequest &job) {
  Index[job.Id] = NextArrival;
  Queue[NextArrival++] = job;
}

std::variant<std::monostate, NotRun>
BaselineScheduler::submit(const JobRequest &job, WallTime, MonoTime) {
  if (job.Gang > Slots.total())
    return NotRun{"larger than the pod", 0};
  enqueue(job);
  return std::monostate{};
}

bool BaselineScheduler::underQuota(const JobRequest &job) const {
  const auto used = Used.find(job.Id.Account);
  const auto quota = Quota.find(job.Id.Account);
  const std::uint32_t already = used == Used.end() ? 0 : used->second;
  return quota != Quota.end() && already + job.Gang.Count <= quota->second;
}

BaselineScheduler::Rank BaselineScheduler::rankOf(const JobRequest &job,
                                                  std::uint64_t arrival) const {
  return {Rules.Quotas && !underQuota(job),
          Rules.ByClass ? job.Class : ServiceClass::Urgent, arrival};
}

std::vector<JobRequest> BaselineScheduler::ordered() const {
  std::vector<std::pair<Rank, const JobRequest *>> ranks;
  ranks.reserve(Queue.size());
  for (const auto &[arrival, job] : Queue)
    ranks.emplace_back(rankOf(job, arrival), &job);
  std::sort(ranks.begin(), ranks.end());
  std::vector<JobRequest> out;
  out.reserve(ranks.size());
  for (const auto &[rank, job] : ranks)
    out.push_back(*job);
  return out;
}

std::vector<Decision> BaselineScheduler::decide(WallTime wall, MonoTime) {
  std::vector<Decision> decisions;
  if (Slots.free().Count == 0 && !Rules.Quotas)
    return decisions;
  std::set<std::uint32_t> unplaceable;
  bool reclaiming = false;
  for (const auto &job : ordered()) {
    if (job.Deadline <= wall) {
      cancelQueued(job.Id);
      decisions.emplace_back(RefuseJob{job.Id, {"past its deadline", 0}});
      continue;
    }
    if (reclaiming && !underQuota(job))
      continue;
    const bool known = unplaceable.contains(job.Gang.Count);
    auto where = known ? std::nullopt : Slots.place(job.Gang, Rules.Placing);
    if (where) {
      start(job, std::move(*where), decisions);
    } else {
      unplaceable.insert(job.Gang.Count);
      if (Rules.Quotas && underQuota(job)) {
        reclaiming = true;
        reclaim(job, decisions);
      }
    }
  }
  return decisions;
}

void BaselineScheduler::start(const JobRequest &job, Placement where,
                              std::vector<Decision> &decisions) {
  cancelQueued(job.Id);
  Slots.take(where, job.Gang);
  Used[job.Id.Account] += job.Gang.Count;
  Running[job.Id] = {job, where, NextArrival++, false};
  decisions.emplace_back(StartJob{job, std::move(where)});
}

void BaselineScheduler::reclaim(const JobRequest &job,
                                std::vector<Decision> &decisions) {
  if (Revoking > 0 || Slots.free() >= job.Gang)
    return;
  std::vector<Run *> borrowers;
  for (auto &[id, run] : Running)
    if (run.Job.Repeatable && Used[id.Account] > Quota[id.Account])
      borrowers.push_back(&run);
  std::sort(borrowers.begin(), borrowers.end(),
            [](const auto *lhs, const auto *rhs) {
              return lhs->Started > rhs->Started;
            });
  std::uint32_t freed = Slots.free().Count;
  for (Run *it : borrowers) {
    if (freed >= job.Gang.Count)
      break;
    freed += it->Job.Gang.Count;
    it->Revoking = true;
    ++Revoking;
    decisions.emplace_back(RevokeJob{it->Job.Id, "its account is over quota"});
  }
}

void BaselineScheduler::release(std::unordered_map<JobId, Run>::iterator it) {
  Slots.give(it->second.Where);
  Used[it->first.Account] -= it->second.Job.Gang.Count;
  Revoking -= it->second.Revoking ? 1 : 0;
  Running.erase(it);
}

void BaselineScheduler::jobEnded(const JobId &job, const RunReport &report,
                                 MonoTime) {
  const auto it = Running.find(job);
  if (it == Running.end())
    return;
  const JobRequest request = it->second.Job;
  release(it);
  if (!report.Succeeded && request.Repeatable && ++Attempts[job] < MaxAttempts)
    enqueue(request);
}

void BaselineScheduler::jobRevoked(const JobId &job, MonoTime) {
  const auto it = Running.find(job);
  if (it == Running.end())
    return;
  const JobRequest request = it->second.Job;
  release(it);
  enqueue(request);
}

bool BaselineScheduler::cancelQueued(const JobId &job) {
  const auto it = Index.find(job);
  if (it == Index.end())
    return false;
  Queue.erase(it->second);
  Index.erase(it);
  return true;
}

} // namespace citrongap::bench
