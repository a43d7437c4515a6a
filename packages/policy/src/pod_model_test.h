// A pod as its backend servers see it, kept apart from the scheduler's books:
// every decision is checked against it.
#ifndef CITRONGAP_POLICY_POD_MODEL_TEST_H
#define CITRONGAP_POLICY_POD_MODEL_TEST_H

#include "citrongap/policy/pod_scheduler.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citrongap {

struct PodModel {
  using Slot = std::pair<BackendServerId, std::uint32_t>;

  /// `racks` of `perRack` servers with 8 accelerators each.
  PodModel(std::uint32_t racks, std::uint32_t perRack) {
    Lists.DataCentres[DataCentreId("dc")] = {
        DataCentreId("dc"), racks, perRack, {8}};
    for (std::uint32_t i = 0; i < racks * perRack; ++i)
      setState(i, ServerState::Live, perRack);
  }

  void setState(std::uint32_t i, ServerState state, std::uint32_t perRack = 6) {
    const auto name = std::to_string(100 + i);
    auto &it = Servers[BackendServerId("s" + name)];
    if (it.Server.empty())
      it = {BackendServerId("s" + name),
            RackId("r" + std::to_string(100 + i / perRack)),
            {8},
            state};
    it.State = state;
    Pod.setServer(it, Now);
  }

  void addAccount(const std::string &name,
                  std::vector<GuaranteedShape> shapes) {
    PlanEntry plan;
    plan.Plan = PlanId("plan-" + name);
    plan.Guaranteed = std::move(shapes);
    Lists.Plans[plan.Plan] = plan;
    Lists.Accounts[ClientAccountId(name)] = {ClientAccountId(name), plan.Plan};
    Pod.configure(Lists, Now);
  }

  static JobId id(const std::string &account, const std::string &key) {
    return {ClientAccountId(account), RequestKey(key)};
  }

  JobId submit(const std::string &account, const std::string &key,
               std::uint32_t gang, bool repeatable = true,
               ServiceClass cls = ServiceClass::Standard) {
    JobRequest job;
    job.Id = id(account, key);
    job.Gang.Count = gang;
    job.Repeatable = repeatable;
    job.Class = cls;
    job.DeclaredRunMs = 100000000;
    job.Deadline = wallFromMillis(1000000000);
    Pod.submit(job, Wall, Now);
    return job.Id;
  }

  /// Applies the decisions and returns them; faults go to `Faults`.
  std::vector<Decision> decide() {
    auto out = Pod.decide(Wall, Now);
    for (const Decision &it : out) {
      if (const auto *start = std::get_if<StartJob>(&it))
        apply(*start);
      if (const auto *revoke = std::get_if<RevokeJob>(&it)) {
        if (!Running.contains(revoke->Job) ||
            !Running.at(revoke->Job).first.Repeatable)
          Faults.push_back("revoked what can't be: " + revoke->Job.str());
        Revoked.insert(revoke->Job);
      }
    }
    checkFootprints();
    return out;
  }

  void apply(const StartJob &start) {
    std::uint32_t n = 0;
    for (const PlacementPart &part : start.Where.Parts)
      for (const std::uint32_t slot : part.Slots) {
        ++n;
        const bool live = Servers.at(part.Server).State == ServerState::Live;
        if (!live || slot >= 8 ||
            !Uses.try_emplace({part.Server, slot}, start.Job.Id).second)
          Faults.push_back("no accelerator to have: " + start.Job.Id.str());
      }
    if (n != start.Job.Gang.Count)
      Faults.push_back("not whole: " + start.Job.Id.str());
    Running[start.Job.Id] = {start.Job, start.Where};
  }

  /// The rule that is local to a cell.
  void checkFootprints() {
    for (const auto &[account, entry] : Lists.Accounts)
      for (const Placement &cell : Pod.footprint(account))
        for (const PlacementPart &part : cell.Parts)
          for (const std::uint32_t slot : part.Slots) {
            const auto it = Uses.find({part.Server, slot});
            if (it == Uses.end() || it->second.Account == account)
              continue;
            if (!Running.at(it->second).first.Repeatable)
              Faults.push_back("unrevocable in a footprint: " +
                               it->second.str());
          }
  }

  JobRequest finish(JobId job) {
    std::erase_if(Uses, [&](const auto &it) { return it.second == job; });
    JobRequest request = Running.at(job).first;
    Running.erase(job);
    Revoked.erase(job);
    return request;
  }
  void end(const JobId &ended) {
    const JobId job = finish(ended).Id;
    Pod.jobEnded(job, {true, 1000, {}}, Now);
  }
  /// Every job that was told to stop has stopped.
  void stopRevoked() {
    for (const JobId &job : std::set<JobId>(Revoked)) {
      finish(job);
      Pod.jobRevoked(job, Now);
    }
  }
  void pass(Millis time) {
    Now += time;
    Wall += time;
  }

  MonoTime Now = monoFromMillis(0);
  WallTime Wall = wallFromMillis(1000);
  Configuration Lists;
  PodScheduler Pod{PodId("pod"), DataCentreId("dc")};
  std::map<BackendServerId, ServerDescription> Servers;
  std::map<JobId, std::pair<JobRequest, Placement>> Running;
  std::map<Slot, JobId> Uses;
  std::set<JobId> Revoked;
  std::vector<std::string> Faults;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_MODEL_TEST_H
