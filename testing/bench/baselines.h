// The schedulers that ours is measured against.
#ifndef CITRONGAP_TESTING_BENCH_BASELINES_H
#define CITRONGAP_TESTING_BENCH_BASELINES_H

#include "slot_map.h"

#include <list>
#include <map>
#include <unordered_map>

namespace citrongap::bench {

struct BaselineRules {
  Fit Placing = Fit::First;
  /// Urgent before standard before background, whoever sends it.
  bool ByClass = false;
  /// Each account has a count of accelerators: what its plan guarantees and its
  /// weight's part of the rest. Accounts below it go first, and take back what
  /// others borrowed, by count and not by shape; nobody borrows meanwhile.
  bool Quotas = false;
};

/// Same interface as PodScheduler, as far as the bench uses it. A job that
/// doesn't fit is passed over. A repeatable job that fails runs three times.
class BaselineScheduler {
public:
  explicit BaselineScheduler(BaselineRules rules) : Rules(rules) {}

  void configure(const Configuration &configuration, MonoTime now);
  void setServer(const ServerDescription &server, MonoTime now);
  std::variant<std::monostate, NotRun> submit(const JobRequest &job,
                                              WallTime wall, MonoTime now);
  std::vector<Decision> decide(WallTime wall, MonoTime now);
  void jobEnded(const JobId &job, const RunReport &report, MonoTime now);
  void jobRevoked(const JobId &job, MonoTime now);
  bool cancelQueued(const JobId &job);
  bool isQueued(const JobId &job) const { return Index.contains(job); }

private:
  /// Order in which waiting jobs are tried.
  struct Rank {
    bool OverQuota = false;
    ServiceClass Class = ServiceClass::Urgent;
    std::uint64_t Arrival = 0;
    auto operator<=>(const Rank &) const = default;
  };

  struct Run {
    JobRequest Job;
    Placement Where;
    std::uint64_t Started = 0;
    bool Revoking = false;
  };

  Rank rankOf(const JobRequest &job, std::uint64_t arrival) const;
  void enqueue(const JobRequest &job);
  void setQuotas();
  bool underQuota(const JobRequest &job) const;
  void start(const JobRequest &job, Placement where,
             std::vector<Decision> &decisions);
  void reclaim(const JobRequest &job, std::vector<Decision> &decisions);
  std::vector<JobRequest> ordered() const;
  void release(std::unordered_map<JobId, Run>::iterator it);

  BaselineRules Rules;
  Configuration Lists;
  SlotMap Slots;
  std::map<std::uint64_t, JobRequest> Queue;
  std::unordered_map<JobId, std::uint64_t> Index;
  std::unordered_map<JobId, Run> Running;
  std::unordered_map<JobId, std::uint32_t> Attempts;
  std::map<ClientAccountId, std::uint32_t> Used;
  std::map<ClientAccountId, std::uint32_t> Quota;
  std::uint64_t NextArrival = 0;
  std::uint32_t Revoking = 0;
};

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_BASELINES_H
