// The walk keeps one cursor for each account that it came by.
#include "citrongap/policy/fair_walk.h"

namespace citrongap {

FairWalk::FairWalk(FairQueue &queue, MonoTime now, std::size_t depth)
    : Queue(queue), Now(now), Depth(depth), Changes(queue.Changes),
      At(queue.Order[0].begin()) {}

std::size_t FairWalk::firstClass() const {
  return Band == FairQueue::UrgentBand ? 0 : 1;
}

std::size_t FairWalk::endClass() const {
  return Band == FairQueue::UrgentBand ? 1 : FairQueue::Classes;
}

FairWalk::Cursor &FairWalk::cursorOf(FairQueue::Account &account) {
  const auto it = Cursors.find(&account);
  if (it != Cursors.end())
    return it->second;
  const Cursor fresh{firstClass(), ClassCursor(account.Waiting[firstClass()]),
                     0};
  return Cursors.emplace(&account, fresh).first->second;
}

const QueuedJob *FairWalk::nextOf(FairQueue::Account &account) {
  Cursor &cursor = cursorOf(account);
  while (cursor.PassedOver < Depth) {
    if (const QueuedJob *job = cursor.Jobs.next()) {
      if (job->NotBefore <= Now)
        return job;
    } else if (cursor.Class + 1 < endClass()) {
      cursor.Jobs = ClassCursor(account.Waiting[++cursor.Class]);
    } else {
      return nullptr;
    }
  }
  return nullptr;
}

void FairWalk::settleLast() {
  if (!Last)
    return;
  if (Queue.contains(*Last))
    ++cursorOf(*LastKey->Who).PassedOver;
  else
    At = Queue.Order[Band].lower_bound(*LastKey);
  Last.reset();
}

const QueuedJob *FairWalk::next() {
  if (Changes != Queue.Changes)
    return nullptr;
  settleLast();
  while (true) {
    if (At == Queue.Order[Band].end()) {
      if (Band + 1 == FairQueue::Bands)
        return nullptr;
      At = Queue.Order[++Band].begin();
      Cursors.clear();
      continue;
    }
    if (const QueuedJob *job = nextOf(*At->Who)) {
      Last = job->Job.Id;
      LastKey = *At;
      return job;
    }
    ++At;
  }
}

} // namespace citrongap
