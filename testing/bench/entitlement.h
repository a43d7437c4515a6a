// Which jobs arrive within their account's guaranteed shapes.
#ifndef CITRONGAP_TESTING_BENCH_ENTITLEMENT_H
#define CITRONGAP_TESTING_BENCH_ENTITLEMENT_H

#include "citrongap/policy/configuration.h"
#include "citrongap/policy/job.h"

#include <map>
#include <set>

namespace citrongap::bench {

/// A job is entitled when the account's open jobs, itself included, each get a
/// guaranteed shape of their own. Jobs are matched as they arrive, each to the
/// smallest free shape that holds it; several never share one shape.
class Entitlements {
public:
  explicit Entitlements(const Configuration &lists) {
    for (const auto &[id, entry] : lists.Accounts)
      for (const auto &shape : lists.planOf(id)->Guaranteed)
        for (std::uint32_t i = 0; i < shape.Count; ++i)
          Free[id].insert(shape.Gang);
  }

  /// True when the job takes a guaranteed shape; it keeps it until it leaves.
  bool enter(const JobRequest &job) {
    auto &shapes = Free[job.Id.Account];
    const auto it = shapes.lower_bound(job.Gang);
    // An account with unentitled jobs open may have its shapes busy with them.
    if (it == shapes.end() || Outside[job.Id.Account] > 0) {
      ++Outside[job.Id.Account];
      return false;
    }
    Taken[job.Id] = *it;
    shapes.erase(it);
    return true;
  }

  void leave(const JobRequest &job) {
    const auto it = Taken.find(job.Id);
    if (it == Taken.end()) {
      --Outside[job.Id.Account];
      return;
    }
    Free[job.Id.Account].insert(it->second);
    Taken.erase(it);
  }

private:
  std::map<ClientAccountId, std::multiset<Accelerators>> Free;
  std::map<ClientAccountId, std::uint32_t> Outside;
  std::map<JobId, Accelerators> Taken;
};

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_ENTITLEMENT_H
