// Distinguishes jobs that fail on every server from servers that fail every
// job.
#ifndef CITRONGAP_POLICY_JOB_HEALTH_H
#define CITRONGAP_POLICY_JOB_HEALTH_H

#include "citrongap/base/ids.h"
#include "citrongap/policy/server_health.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace citrongap {

/// The failure is attributed to the servers; the job may be retried on others.
struct ServersSuspect {
  /// Failed runs of the job, including this one.
  std::uint32_t Attempts = 1;
};

/// The job failed on enough distinct servers that are not quarantined, so it
/// ends. Its failures on the `Forgiven` servers are withdrawn from their
/// counts.
struct JobAtFault {
  std::vector<BackendServerId> Forgiven;
};

using FailureVerdict = std::variant<ServersSuspect, JobAtFault>;

/// Tracks on which servers each job failed.
class JobHealth {
public:
  /// Number of distinct servers that are not quarantined on which a job must
  /// fail to be at fault itself. It must also have that many failed runs.
  static constexpr std::size_t JobFaultThreshold = 3;

  /// Call after the failure was recorded for `servers` in `health`, which
  /// decides whether they are quarantined.
  FailureVerdict recordFailure(const JobId &job,
                               const std::vector<BackendServerId> &servers,
                               const ServerHealth &health);
  /// Servers on which the job failed; a retry should avoid them.
  std::vector<BackendServerId> failedOn(const JobId &job) const;
  /// Removes the job's record once the job has ended, whatever its outcome.
  void forget(const JobId &job) { Failures.erase(job); }
  /// Number of jobs with recorded failures.
  std::size_t jobs() const { return Failures.size(); }

private:
  struct Record {
    std::uint32_t Attempts = 0;
    std::set<BackendServerId> Servers;
  };

  std::unordered_map<JobId, Record> Failures;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_JOB_HEALTH_H
