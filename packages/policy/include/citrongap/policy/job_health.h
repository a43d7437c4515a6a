// Tells jobs that fail everywhere from servers that fail everything.
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

/// The failure counts against the servers; the job may be tried elsewhere.
struct ServersSuspect {
  /// Runs so far, this one included.
  std::uint32_t Attempts = 1;
};

/// The job failed on enough distinct servers of good standing: it ends, and
/// `Forgiven` servers lose the failures that it counted against them.
struct JobAtFault {
  std::vector<BackendServerId> Forgiven;
};

using FailureVerdict = std::variant<ServersSuspect, JobAtFault>;

class JobHealth {
public:
  /// Distinct servers, not quarantined, on which a job may fail.
  static constexpr std::size_t MaxServers = 3;

  /// Call after the failure was counted against `servers`.
  FailureVerdict recordFailure(const JobId &job,
                               const std::vector<BackendServerId> &servers,
                               const ServerHealth &health);
  /// Servers on which it failed; a retry should avoid them.
  std::vector<BackendServerId> failedOn(const JobId &job) const;
  /// The job ended in whatever way.
  void forget(const JobId &job) { Failures.erase(job); }
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
