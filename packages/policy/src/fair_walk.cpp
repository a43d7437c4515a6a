// Keeps one cursor per account visited in the current band.
#include "citrongap/policy/fair_walk.h"

namespace citrongap {

FairWalk::FairWalk(FairQueue &queue, MonoTime now, std::size_t depth)
    : Queue(queue), Now(now), Depth(depth), Changes(queue.Changes),
      Starts(queue.Starts), Position(queue.Order[0].begin()) {}

std::size_t FairWalk::firstClass() const {
  return Band == FairQueue::UrgentBand ? 0 : 1;
}

std::size_t FairWalk::endClass() const {
  return Band == FairQueue::UrgentBand ? 1 : FairQueue::Classes;
}

FairWalk::Cursor &FairWalk::cursorOf(FairQueue::Account &account) {
  const auto [it, added] = Cursors.try_emplace(&account);
  if (added) {
    it->second.Class = firstClass();
    it->second.It = account.Waiting[firstClass()].begin();
  }
  return it->second;
}

const QueuedJob *FairWalk::nextOf(FairQueue::Account &account) {
  Cursor &cursor = cursorOf(account);
  while (cursor.PassedOver < Depth) {
    if (cursor.It != account.Waiting[cursor.Class].end()) {
      const QueuedJob &job = *cursor.It++;
      if (job.NotBefore <= Now)
        return &job;
    } else if (cursor.Class + 1 < endClass()) {
      ++cursor.Class;
      cursor.It = account.Waiting[cursor.Class].begin();
    } else {
      return nullptr;
    }
  }
  return nullptr;
}

void FairWalk::settleLastCandidate() {
  if (!LastCandidate)
    return;
  // An unchanged count of starts means that the last candidate still waits;
  // this saves the lookup.
  const bool started =
      Starts != Queue.Starts && !Queue.contains(*LastCandidate);
  Starts = Queue.Starts;
  if (!started)
    ++cursorOf(*LastKey->Owner).PassedOver;
  else
    Position = Queue.Order[Band].lower_bound(*LastKey);
  LastCandidate.reset();
}

const QueuedJob *FairWalk::next() {
  if (Changes != Queue.Changes)
    return nullptr;
  settleLastCandidate();
  while (true) {
    if (Position == Queue.Order[Band].end()) {
      if (Band + 1 == FairQueue::Bands)
        return nullptr;
      Position = Queue.Order[++Band].begin();
      Cursors.clear();
      continue;
    }
    if (const QueuedJob *job = nextOf(*Position->Owner)) {
      LastCandidate = job->Job.Id;
      LastKey = *Position;
      return job;
    }
    ++Position;
  }
}

} // namespace citrongap
