// Goes through the waiting jobs in the order in which they should start.
#ifndef CITRONGAP_POLICY_FAIR_WALK_H
#define CITRONGAP_POLICY_FAIR_WALK_H

#include "citrongap/policy/fair_queue.h"

#include <unordered_map>

namespace citrongap {

/// One pass over a queue:
///
///     FairWalk walk(queue, now, 4);
///     while (const QueuedJob *it = walk.next())
///       if (place(it->Job))
///         queue.start(it->Job.Id);
///
/// A job that is started sends its account back to its new place in the order;
/// a job that is passed over lets the next one of the same account try. Any
/// other change of the queue ends the pass.
class FairWalk {
public:
  /// Looks at no more than `depth` jobs of each account and band that are not
  /// started.
  FairWalk(FairQueue &queue, MonoTime now, std::size_t depth);

  /// The next candidate, or null at the end; valid until the queue changes.
  const QueuedJob *next();

private:
  /// Where the pass stands inside one account.
  struct Cursor {
    std::size_t Class = 0;
    ClassCursor Jobs;
    std::size_t PassedOver = 0;
  };

  std::size_t firstClass() const;
  std::size_t endClass() const;
  Cursor &cursorOf(FairQueue::Account &account);
  const QueuedJob *nextOf(FairQueue::Account &account);
  /// Counts the last candidate as passed over, or goes back to the place from
  /// which its account was moved.
  void settleLast();

  FairQueue &Queue;
  MonoTime Now;
  std::size_t Depth;
  std::uint64_t Changes;
  std::size_t Band = 0;
  /// Accounts before it are done with in this band.
  std::set<FairQueue::OrderKey>::iterator At;
  std::unordered_map<const FairQueue::Account *, Cursor> Cursors;
  std::optional<JobId> Last;
  std::optional<FairQueue::OrderKey> LastKey;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_FAIR_WALK_H
