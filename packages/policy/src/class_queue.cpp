// One list for each doubling of the accelerator time, merged by arrival plus
// handicap.
#include "citrongap/policy/class_queue.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <utility>

namespace citrongap {

namespace {

/// Jobs up to this much work have no handicap.
constexpr std::int64_t SmallestWork = 60 * 1000;

MonoTime rankOf(const QueuedJob &job, std::size_t size) {
  return job.QueuedAt + SizeHandicap * static_cast<std::int64_t>(size);
}

} // namespace

std::size_t ClassQueue::sizeOf(std::int64_t work) {
  const auto units = static_cast<std::uint64_t>(work / SmallestWork);
  return std::min<std::size_t>(std::bit_width(units), Sizes - 1);
}

ClassQueue::Iterator ClassQueue::insert(QueuedJob job, bool front) {
  const std::size_t size = sizeOf(job.work());
  JobList &list = Lists.at(size);
  Work.at(size) += job.work();
  ++Length;
  return list.insert(front ? list.begin() : list.end(), std::move(job));
}

QueuedJob ClassQueue::take(Iterator it) {
  QueuedJob job = std::move(*it);
  const std::size_t size = sizeOf(job.work());
  Work.at(size) -= job.work();
  --Length;
  Lists.at(size).erase(it);
  return job;
}

std::int64_t ClassQueue::workUpTo(std::int64_t work) const {
  std::int64_t sum = 0;
  for (std::size_t i = 0; i <= sizeOf(work); ++i)
    sum += Work.at(i);
  return sum;
}

const QueuedJob *ClassQueue::latestNew() const {
  const QueuedJob *latest = nullptr;
  for (const auto &list : Lists)
    if (!list.empty() && !list.back().MayHaveRun &&
        (!latest || list.back().Sequence > latest->Sequence))
      latest = &list.back();
  return latest;
}

ClassCursor::ClassCursor(const ClassQueue &queue) : Queue(&queue) {
  for (std::size_t i = 0; i < ClassQueue::Sizes; ++i)
    At.at(i) = queue.Lists.at(i).begin();
}

const QueuedJob *ClassCursor::next() {
  std::optional<std::size_t> first;
  for (std::size_t i = 0; i < ClassQueue::Sizes; ++i)
    if (At.at(i) != Queue->Lists.at(i).end() &&
        (!first || rankOf(*At.at(i), i) < rankOf(*At.at(*first), *first)))
      first = i;
  return first ? &*At.at(*first)++ : nullptr;
}

} // namespace citrongap
