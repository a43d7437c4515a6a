// Queue of one pod's waiting jobs, weighted-fair between accounts.
//
// The algorithm is start-time fair queueing. Each account has a tag that grows
// by the accelerator time charged to it, divided by its weight; the account
// with the lowest tag is served next.
//
// - A start is charged with the estimated run time; the charge is corrected
//   when the run ends.
// - Accelerators are the only resource that jobs request, so they are the
//   dominant share.
// - An idle account accumulates no credit: when it queues a job again, its tag
//   is raised to the virtual time, which is the highest value that the lowest
//   tag of the waiting accounts has reached.
// - The number of jobs that an account queues affects no other account's tag.
#ifndef CITRONGAP_POLICY_FAIR_QUEUE_H
#define CITRONGAP_POLICY_FAIR_QUEUE_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/job.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace citrongap {

/// Queue parameters from an account's plan.
struct FairShare {
  /// Relative share of the pod; at least 1.
  std::uint32_t Weight = 1;
  /// Bound on the account's waiting jobs.
  std::uint32_t MaxQueued = 1000;
};

/// A waiting job with its scheduling state.
struct QueuedJob {
  JobRequest Job;
  /// Class after the urgency budget; determines the order within the account.
  ServiceClass Class = ServiceClass::Standard;
  /// Run time, in milliseconds of the whole gang, that a start is charged with.
  std::int64_t EstimateMs = 1;
  MonoTime QueuedAt;
  /// Earliest start, set by the backoff of a retry.
  MonoTime NotBefore;
  /// The job was started before, so it must not end as `NotRun`.
  bool MayHaveRun = false;
  /// Insertion number in this queue; assigned by the queue.
  std::uint64_t Sequence = 0;
};

/// The new job was queued, or was already in the queue.
struct Queued {};
/// The new job was queued and displaced a lower-class job of the same account.
struct Displaced {
  JobId Job;
  NotRun Why;
};
/// `NotRun`: the new job was refused.
using PushResult = std::variant<Queued, Displaced, NotRun>;

/// Invariant: a job is queued at most once.
class FairQueue {
public:
  /// Adds an account or changes its share; later charges use the new weight.
  void setAccount(const ClientAccountId &account, FairShare share);
  /// Removes the account and returns its waiting jobs.
  std::vector<QueuedJob> removeAccount(const ClientAccountId &account);
  /// Sets the accelerators of the pod, from which waits are estimated.
  void setCapacity(Accelerators capacity) { Capacity = capacity; }

  /// Appends a new job to its class. If the account is at its bound, one job is
  /// rejected: the latest of the lowest class (background, then standard, then
  /// urgent), where the new job is the latest of its class. Jobs that may have
  /// run are not displaced. A job of an unknown account is refused.
  /// O(log accounts).
  PushResult push(QueuedJob job);
  /// Returns a job that was revoked, or whose start failed, to the front of its
  /// class. The bound does not apply. A job of an unknown account is dropped.
  void requeue(QueuedJob job);

  /// Removes a waiting job. Amortized O(1) unless it is the last one of its
  /// class in the account.
  std::optional<QueuedJob> erase(const JobId &job);
  /// Removes and returns the jobs whose deadline has passed.
  std::vector<QueuedJob> takeExpired(WallTime wall);

  /// Removes a waiting job and charges its account for the start.
  std::optional<QueuedJob> start(const JobId &job);
  /// Charges a run that this queue did not start; removes the job if it waits.
  void adopt(const JobRequest &job, std::int64_t estimateMs);
  /// Replaces the estimated charge of a start by the measured run time.
  void finish(const JobId &job, std::int64_t ranMs);

  bool contains(const JobId &job) const { return Index.contains(job); }
  const QueuedJob *find(const JobId &job) const;
  /// Of the account's next `depth` jobs, those whose `NotBefore` has passed, in
  /// order.
  std::vector<JobId> firstOf(const ClientAccountId &account, std::size_t depth,
                             MonoTime now) const;
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(Index.size());
  }
  /// Waiting jobs per account; accounts without any are left out.
  std::map<ClientAccountId, std::uint32_t> lengths() const;
  std::uint32_t lengthOf(const ClientAccountId &account) const;
  /// Sum of the weights of the accounts that have waiting jobs.
  std::uint64_t waitingWeight() const { return WaitingWeight; }
  /// Accelerator-milliseconds charged, divided by the weight; never negative.
  double tagOf(const ClientAccountId &account) const;

  /// Estimated milliseconds until a new job of this class starts if the account
  /// receives its share among the accounts that wait now. Running work is left
  /// out, so the estimate errs on the short side.
  std::int64_t waitMs(const ClientAccountId &account, ServiceClass cls) const;

private:
  friend class FairWalk;

  static constexpr std::size_t Classes = 3;
  /// Urgent work within its budget precedes all other work.
  enum Band : std::size_t { UrgentBand, NonUrgentBand, Bands };

  using JobList = std::list<QueuedJob>;

  struct Account {
    ClientAccountId Id;
    FairShare Share;
    /// Invariant: never negative.
    double Tag = 0;
    std::array<JobList, Classes> Waiting;
    /// Estimated accelerator-milliseconds in each list.
    std::array<std::int64_t, Classes> Work{};
    std::uint32_t Length = 0;

    bool hasWork(Band band) const;
  };

  /// Orders accounts by tag, then by id.
  struct OrderKey {
    double Tag;
    Account *Owner;

    bool operator<(const OrderKey &other) const {
      if (Tag != other.Tag)
        return Tag < other.Tag;
      return Owner->Id < other.Owner->Id;
    }
  };

  /// Where a waiting job is stored.
  struct QueuePosition {
    Account *Owner;
    JobList::iterator It;
  };

  /// The charge of a run that has not ended.
  struct Charge {
    ClientAccountId Account;
    Accelerators Gang;
    double Weight = 1;
    double Tag = 0;
  };

  struct Expiry {
    WallTime Deadline;
    std::uint64_t Sequence = 0;
    JobId Job;

    /// Reversed, so that the heap's top is the earliest deadline.
    bool operator<(const Expiry &other) const {
      return Deadline > other.Deadline;
    }
  };

  /// Adds the account to, or removes it from, the order of each band.
  void link(Account &account);
  void unlink(Account &account);
  /// Inserts a job at the front or back of its class.
  void insert(Account &account, QueuedJob job, bool front);
  QueuedJob extract(std::unordered_map<JobId, QueuePosition>::iterator it);
  void charge(Account &account, const JobRequest &job, std::int64_t estimateMs);
  /// The job that a new one of class `cls` displaces at the account's bound;
  /// null when the new job is the one to refuse.
  const QueuedJob *displacementCandidate(const Account &account,
                                         ServiceClass cls) const;
  void advanceVirtualTime();
  /// Drops stale entries of `Expiries` once its bound is exceeded.
  void compactExpiries();

  std::unordered_map<ClientAccountId, Account> Accounts;
  /// Invariant: a band's order holds exactly the accounts with waiting work in
  /// that band, each under its current tag.
  std::array<std::set<OrderKey>, Bands> Order;
  /// Invariant: holds exactly the waiting jobs.
  std::unordered_map<JobId, QueuePosition> Index;
  std::unordered_map<JobId, Charge> Charges;
  /// Heap; entries of jobs that left the queue are dropped lazily. Invariant:
  /// at most twice the queue's length plus a constant.
  std::vector<Expiry> Expiries;
  /// Invariant: never decreases.
  double VirtualTime = 0;
  /// Invariant: sum of the weights of the accounts that have waiting jobs.
  std::uint64_t WaitingWeight = 0;
  Accelerators Capacity{1};
  std::uint64_t NextSequence = 0;
  /// Counts changes other than starts; any such change ends a `FairWalk`.
  std::uint64_t Changes = 0;
  std::uint64_t Starts = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_FAIR_QUEUE_H
