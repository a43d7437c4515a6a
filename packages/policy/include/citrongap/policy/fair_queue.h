// The waiting jobs of one pod, in weighted fair order between accounts.
//
// Start-time fair queueing: each account has a tag that grows by the
// accelerator time that it is charged, divided by its weight; the account with
// the lowest tag goes next. A start is charged with the estimated run time, and
// the charge is corrected when the run ends. Accelerators are the one resource
// that jobs ask for, so they are the dominant share. An account without waiting
// jobs keeps no credit: when it comes back its tag is at least the virtual
// time, which is the lowest tag that was ever served. How much one account
// queues changes the tag of no other account.
#ifndef CITRONGAP_POLICY_FAIR_QUEUE_H
#define CITRONGAP_POLICY_FAIR_QUEUE_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/class_queue.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace citrongap {

/// What an account's plan says about its queue.
struct FairShare {
  /// At least 1.
  std::uint32_t Weight = 1;
  std::uint32_t MaxQueued = 1000;
};

struct Queued {};
/// The new job was queued in place of a less valued one of the same account.
struct Displaced {
  JobId Job;
  NotRun Why;
};
/// NotRun: the new job itself was refused.
using PushResult = std::variant<Queued, Displaced, NotRun>;

class FairQueue {
public:
  /// Adds an account or changes its share; later charges use the new weight.
  void setAccount(const ClientAccountId &account, FairShare share);
  /// Its waiting jobs, which are no longer queued.
  std::vector<QueuedJob> removeAccount(const ClientAccountId &account);
  /// The accelerators that wait estimates are worked out with.
  void setCapacity(Accelerators capacity) { Capacity = capacity; }

  /// Queues a new job behind its class. At the account's bound the least valued
  /// job goes: background before standard before urgent, latest first; the new
  /// job is the latest of its class. O(log accounts).
  PushResult push(QueuedJob job);
  /// Queues a job that was taken before (revoked, or its start failed) ahead of
  /// its class; the bound doesn't hold for it.
  void requeue(QueuedJob job);

  /// Removes a waiting job in constant time but for an account's last one.
  std::optional<QueuedJob> erase(const JobId &job);
  /// Removes and returns the jobs whose deadline has passed.
  std::vector<QueuedJob> takeExpired(WallTime wall);

  /// Removes a waiting job and charges its account for the start.
  std::optional<QueuedJob> start(const JobId &job);
  /// Charges a run that this queue did not start.
  void adopt(const JobRequest &job, std::int64_t estimateMs);
  /// Corrects the charge of a start to what it ran.
  void finish(const JobId &job, std::int64_t ranMs);

  bool contains(const JobId &job) const { return Index.contains(job); }
  const QueuedJob *find(const JobId &job) const;
  /// Those of the account's next `depth` jobs that may start now, in order.
  std::vector<JobId> firstOf(const ClientAccountId &account, std::size_t depth,
                             MonoTime now) const;
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(Index.size());
  }
  std::map<ClientAccountId, std::uint32_t> lengths() const;
  std::uint32_t lengthOf(const ClientAccountId &account) const;
  /// Sum of the weights of the accounts that have waiting jobs.
  std::uint64_t waitingWeight() const { return WaitingWeight; }
  /// Accelerator-milliseconds charged per weight; never negative.
  double tagOf(const ClientAccountId &account) const;

  /// Milliseconds until this new job would start if its account got just its
  /// share among the accounts that wait now. It leaves out the work that runs
  /// already and what is larger, so that it errs on the early side.
  std::int64_t waitMs(const QueuedJob &job) const;

private:
  friend class FairWalk;

  static constexpr std::size_t Classes = 3;
  /// Urgent work within its budget goes before all other.
  enum Band : std::size_t { UrgentBand, RestBand, Bands };

  struct Account {
    ClientAccountId Id;
    FairShare Share;
    /// Invariant: never negative.
    double Tag = 0;
    std::array<ClassQueue, Classes> Waiting;
    std::uint32_t Length = 0;

    bool hasWork(Band band) const;
  };

  struct OrderKey {
    double Tag;
    Account *Who;

    bool operator<(const OrderKey &other) const {
      if (Tag != other.Tag)
        return Tag < other.Tag;
      return Who->Id < other.Who->Id;
    }
  };

  struct Place {
    Account *Who;
    ClassQueue::Iterator It;
  };

  /// A start that is charged and not yet corrected.
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

    /// Orders the heap by the earliest deadline.
    bool operator<(const Expiry &other) const {
      return Deadline > other.Deadline;
    }
  };

  void link(Account &account);
  void unlink(Account &account);
  /// Puts a job in front of or behind its class; the account must be known.
  void insert(Account &account, QueuedJob job, bool front);
  QueuedJob take(std::unordered_map<JobId, Place>::iterator it);
  void charge(Account &account, const JobRequest &job, std::int64_t estimateMs);
  /// The job that the bound costs, or null when the new one is valued least.
  const QueuedJob *leastValued(const Account &account, ServiceClass cls) const;
  void advanceVirtualTime();
  void compactExpiries();

  std::unordered_map<ClientAccountId, Account> Accounts;
  /// Invariant: an account is in a band's order while it has waiting work of
  /// that band, under its current tag.
  std::array<std::set<OrderKey>, Bands> Order;
  /// Invariant: exactly the waiting jobs.
  std::unordered_map<JobId, Place> Index;
  std::unordered_map<JobId, Charge> Charges;
  /// A heap; entries of jobs that left are dropped later. Invariant: at most
  /// twice as long as the queue, plus a constant.
  std::vector<Expiry> Expiries;
  /// Invariant: never decreases.
  double VirtualTime = 0;
  /// Sum of the weights of the accounts that have waiting work.
  std::uint64_t WaitingWeight = 0;
  Accelerators Capacity{1};
  std::uint64_t NextSequence = 0;
  /// Counts every change but starts; it ends walks.
  std::uint64_t Changes = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_FAIR_QUEUE_H
