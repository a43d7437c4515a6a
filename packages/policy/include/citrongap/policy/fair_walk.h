// Iterates over the waiting jobs in the order in which they should start.
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
/// Starting a job moves its account to the position of its new tag. Passing a
/// job over yields the next job of the same account. Any other change of the
/// queue ends the pass.
class FairWalk {
public:
  /// Passes over at most `depth` jobs of each account and band. Starts do not
  /// count towards the limit.
  FairWalk(FairQueue &queue, MonoTime now, std::size_t depth);

  /// The next candidate, or null at the end. Valid until the queue changes.
  const QueuedJob *next();

private:
  /// Position of the pass within one account.
  struct Cursor {
    std::size_t Class = 0;
    FairQueue::JobList::iterator It;
    std::size_t PassedOver = 0;
  };

  /// Half-open range of the service classes in the current band.
  std::size_t firstClass() const;
  std::size_t endClass() const;
  Cursor &cursorOf(FairQueue::Account &account);
  /// The account's next candidate; null when it has none or `Depth` is reached.
  const QueuedJob *nextOf(FairQueue::Account &account);
  /// If the last candidate was started, resumes at the position from which its
  /// account was moved; otherwise counts the candidate as passed over.
  void settleLastCandidate();

  FairQueue &Queue;
  MonoTime Now;
  std::size_t Depth;
  /// The queue's count of changes when the pass began.
  std::uint64_t Changes;
  /// The queue's count of starts when the last candidate was checked.
  std::uint64_t Starts;
  std::size_t Band = 0;
  /// All accounts before it are finished in this band.
  std::set<FairQueue::OrderKey>::iterator Position;
  std::unordered_map<const FairQueue::Account *, Cursor> Cursors;
  std::optional<JobId> LastCandidate;
  /// Position of the last candidate's account when it was returned.
  std::optional<FairQueue::OrderKey> LastKey;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_FAIR_WALK_H
