// The waiting jobs of one account and class, small ones ahead.
//
// A job counts as if it had come later the larger it is: each doubling of its
// accelerator time costs SizeHandicap. So small jobs overtake large ones, which
// lowers the mean completion time, but never by more than the difference of
// their handicaps: work that came later than that can't overtake. Jobs stand in
// one list for each size, so that every operation takes constant time.
#ifndef CITRONGAP_POLICY_CLASS_QUEUE_H
#define CITRONGAP_POLICY_CLASS_QUEUE_H

#include "citrongap/policy/job.h"

#include <array>
#include <cstdint>
#include <list>

namespace citrongap {

struct QueuedJob {
  JobRequest Job;
  /// After the urgency budget; decides the order inside the account.
  ServiceClass Class = ServiceClass::Standard;
  /// What a start is charged with, in milliseconds of the whole gang.
  std::int64_t EstimateMs = 1;
  MonoTime QueuedAt;
  /// No start before it (backoff of a retry).
  MonoTime NotBefore;
  /// It was started before; "not run" would be false of it.
  bool MayHaveRun = false;
  /// Position of arrival in this queue.
  std::uint64_t Sequence = 0;

  /// Accelerator-milliseconds.
  std::int64_t work() const { return EstimateMs * Job.Gang.Count; }
};

/// What each doubling of a job's accelerator time costs in the order.
inline constexpr Millis SizeHandicap{30 * 60 * 1000};

class ClassQueue {
public:
  using JobList = std::list<QueuedJob>;
  using Iterator = JobList::iterator;

  /// Puts a job behind or in front of those of its size.
  Iterator insert(QueuedJob job, bool front);
  QueuedJob take(Iterator it);

  bool empty() const { return Length == 0; }
  std::uint32_t size() const { return Length; }
  /// Accelerator-milliseconds of the jobs that are no larger than one with
  /// `work`, to the next doubling.
  std::int64_t workUpTo(std::int64_t work) const;
  /// The latest arrival that never ran, or null. Requeued jobs stand in front,
  /// so only the last of each size is looked at.
  const QueuedJob *latestNew() const;

private:
  friend class ClassCursor;

  static constexpr std::size_t Sizes = 16;

  static std::size_t sizeOf(std::int64_t work);

  std::array<JobList, Sizes> Lists;
  /// Invariant: the sum of work() over each list.
  std::array<std::int64_t, Sizes> Work{};
  std::uint32_t Length = 0;
};

/// Goes through a queue in order; removing jobs that it has passed is allowed.
class ClassCursor {
public:
  explicit ClassCursor(const ClassQueue &queue);

  /// Null at the end.
  const QueuedJob *next();

private:
  const ClassQueue *Queue;
  std::array<ClassQueue::JobList::const_iterator, ClassQueue::Sizes> At;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_CLASS_QUEUE_H
