// Records the distinct servers on which each job failed.
#include "citrongap/policy/job_health.h"

namespace citrongap {

FailureVerdict
JobHealth::recordFailure(const JobId &job,
                         const std::vector<BackendServerId> &servers,
                         const ServerHealth &health) {
  Record &record = Failures[job];
  ++record.Attempts;
  record.Servers.insert(servers.begin(), servers.end());
  JobAtFault verdict;
  for (const auto &it : record.Servers)
    if (!health.quarantined(it))
      verdict.Forgiven.push_back(it);
  if (record.Attempts < JobFaultThreshold ||
      verdict.Forgiven.size() < JobFaultThreshold)
    return ServersSuspect{record.Attempts};
  Failures.erase(job);
  return verdict;
}

std::vector<BackendServerId> JobHealth::failedOn(const JobId &job) const {
  const auto it = Failures.find(job);
  if (it == Failures.end())
    return {};
  return {it->second.Servers.begin(), it->second.Servers.end()};
}

} // namespace citrongap
