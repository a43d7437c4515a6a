// Model of a pod from the view of its backend servers. It is independent of the
// scheduler's state, and each decision is checked against it.
#ifndef CITRONGAP_POLICY_POD_MODEL_TEST_H
#define CITRONGAP_POLICY_POD_MODEL_TEST_H

#include "citrongap/policy/pod_scheduler.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citrongap {

/// A scheduler under test together with the model of its servers.
struct PodModel {
  using Slot = std::pair<BackendServerId, std::uint32_t>;

  /// Creates `racks` racks of `perRack` servers with 8 accelerators each.
  PodModel(std::uint32_t racks, std::uint32_t perRack) {
    Config.DataCentres[DataCentreId("dc")] = {
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
    Config.Plans[plan.Plan] = plan;
    Config.Accounts[ClientAccountId(name)] = {ClientAccountId(name), plan.Plan};
    Pod.configure(Config, Now);
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

  /// Applies the scheduler's decisions and returns them; violations are added
  /// to `Violations`.
  std::vector<Decision> decide() {
    auto out = Pod.decide(Wall, Now);
    for (const Decision &it : out) {
      if (const auto *start = std::get_if<StartJob>(&it))
        apply(*start);
      if (const auto *revoke = std::get_if<RevokeJob>(&it)) {
        if (!Running.contains(revoke->Job) ||
            !Running.at(revoke->Job).first.Repeatable)
          Violations.push_back(
              "revoked a job that is not running or not repeatable: " +
              revoke->Job.str());
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
            !JobOnSlot.try_emplace({part.Server, slot}, start.Job.Id).second)
          Violations.push_back("started on an unavailable accelerator: " +
                               start.Job.Id.str());
      }
    if (n != start.Job.Gang.Count)
      Violations.push_back("gang not started whole: " + start.Job.Id.str());
    Running[start.Job.Id] = {start.Job, start.Where};
  }

  /// Checks that footprints hold no unrepeatable work of other accounts.
  void checkFootprints() {
    for (const auto &[account, entry] : Config.Accounts)
      for (const Placement &cell : Pod.footprint(account))
        for (const PlacementPart &part : cell.Parts)
          for (const std::uint32_t slot : part.Slots) {
            const auto it = JobOnSlot.find({part.Server, slot});
            if (it == JobOnSlot.end() || it->second.Account == account)
              continue;
            if (!Running.at(it->second).first.Repeatable)
              Violations.push_back(
                  "unrepeatable job of another account in a footprint: " +
                  it->second.str());
          }
  }

  JobRequest finish(JobId job) {
    std::erase_if(JobOnSlot, [&](const auto &it) { return it.second == job; });
    JobRequest request = Running.at(job).first;
    Running.erase(job);
    Revoked.erase(job);
    return request;
  }
  void end(const JobId &ended) {
    const JobId job = finish(ended).Id;
    Pod.jobEnded(job, {true, 1000, {}}, Now);
  }
  /// Reports each revoked job as stopped.
  void stopRevoked() {
    for (const JobId &job : std::set<JobId>(Revoked)) {
      finish(job);
      Pod.jobRevoked(job, Now);
    }
  }
  void advance(Millis time) {
    Now += time;
    Wall += time;
  }

  MonoTime Now = monoFromMillis(0);
  WallTime Wall = wallFromMillis(1000);
  Configuration Config;
  PodScheduler Pod{PodId("pod"), DataCentreId("dc")};
  std::map<BackendServerId, ServerDescription> Servers;
  std::map<JobId, std::pair<JobRequest, Placement>> Running;
  std::map<Slot, JobId> JobOnSlot;
  std::set<JobId> Revoked;
  std::vector<std::string> Violations;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_MODEL_TEST_H
