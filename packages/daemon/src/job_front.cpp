// Callers' jobs at the entry VM that took them.
#include "citrongap/daemon/job_front.h"

#include "citrongap/base/log.h"

#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"front"};
constexpr Millis RetryPause{200};
constexpr Millis OwnerPatience{2000};
constexpr Millis GuardPatience{500};
constexpr Seconds PollInterval{5};
/// After its deadline an owner has so long to tell how a job ended.
constexpr Seconds GraceAfterDeadline{30};
constexpr Seconds KeepAfterDeadline{60};

bool sameRequest(const JobRequest &lhs, const JobRequest &rhs) {
  return lhs.Gang == rhs.Gang && lhs.Repeatable == rhs.Repeatable &&
         lhs.Kind == rhs.Kind && lhs.Payload == rhs.Payload &&
         lhs.Class == rhs.Class;
}

} // namespace

JobFront::JobFront(EventLoop &loop, PodDirectory &directory, bool delegates)
    : Loop(loop), Directory(directory), Delegates(delegates) {
  Poller = Loop.every(PollInterval, [this] { poll(); });
}

JobFront::~JobFront() = default;

JobFront::Submitted JobFront::submit(const PodId &pod, const JobRequest &job,
                                     MonoTime waitUntil,
                                     AnswerCallback callback) {
  const auto known = Jobs.find(job.Id);
  if (known != Jobs.end() && known->second.Final &&
      isRetryable(*known->second.Ended))
    Jobs.erase(known);
  const auto [it, added] = Jobs.try_emplace(job.Id);
  if (!added && !sameRequest(it->second.Job, job))
    return KeyReused{};
  addWaiter(job.Id, waitUntil, std::move(callback));
  if (added) {
    it->second.Pod = pod;
    it->second.Job = job;
    submitToOwner(job.Id);
  } else if (it->second.Final) {
    settle(job.Id, *it->second.Ended);
  }
  return std::monostate{};
}

void JobFront::guard(const GuardJob &message) {
  const auto [it, added] = Jobs.try_emplace(message.Job.Id);
  if (!added)
    return;
  it->second.Pod = message.Pod;
  it->second.Job = message.Job;
  it->second.Guarded = true;
  it->second.MaybeSubmitted = true;
  submitToOwner(message.Job.Id);
}

void JobFront::await(const PodId &pod, const JobId &job, MonoTime waitUntil,
                     const AnswerCallback &callback) {
  const auto it = Jobs.find(job);
  // A refused key may have been submitted anew elsewhere.
  const bool stale =
      it != Jobs.end() && it->second.Final && isRetryable(*it->second.Ended);
  if (it != Jobs.end() && !stale) {
    addWaiter(job, waitUntil, callback);
    if (it->second.Final)
      settle(job, *it->second.Ended);
    return;
  }
  const MonoTime deadline =
      std::min(monoNow() + OwnerPatience, waitUntil + OwnerPatience);
  Directory.query(
      {pod, job}, deadline,
      [this, pod, job, waitUntil,
       callback](const std::optional<JobView> &view) {
        const bool open = view && (view->Stage == JobStage::Waiting ||
                                   view->Stage == JobStage::Running);
        if (open && monoNow() + RetryPause < waitUntil) {
          // This front does not hold the request itself, so that it asks again.
          auto timer = std::make_shared<Timer>();
          *timer = Loop.at(monoNow() + RetryPause,
                           [this, pod, job, waitUntil, callback, timer] {
                             await(pod, job, waitUntil, callback);
                             timer->cancel();
                           });
          return;
        }
        if (!view)
          callback(Outcome(Unknown{"the owner of its pod does not answer"}));
        else if (view->Stage == JobStage::Ended)
          callback(view->Ended);
        else
          callback(view->Stage);
      });
}

void JobFront::cancel(const PodId &pod, const JobId &job, MonoTime deadline,
                      const AnswerCallback &callback) {
  const auto it = Jobs.find(job);
  if (it != Jobs.end() && it->second.Final) {
    callback(*it->second.Ended);
    return;
  }
  const PodId at = it == Jobs.end() ? pod : it->second.Pod;
  Directory.cancel(
      {at, job}, deadline, [callback](const std::optional<JobView> &view) {
        if (!view)
          callback(Outcome(Unknown{"the owner of its pod does not answer"}));
        else if (view->Stage == JobStage::Ended)
          callback(view->Ended);
        else
          callback(view->Stage);
      });
}

void JobFront::addWaiter(const JobId &job, MonoTime until,
                         AnswerCallback callback) {
  const std::uint64_t id = NextWaiter++;
  Jobs.at(job).Waiters.push_back(id);
  Waiter &waiter = Waiting[id];
  waiter.Job = job;
  waiter.Until = until;
  waiter.Callback = std::move(callback);
  waiter.Limit = Loop.at(until, [this, id, job] {
    const auto it = Jobs.find(job);
    if (it == Jobs.end() || (it->second.Accepted && it->second.Guarded))
      answer(id, it == Jobs.end() ? JobStage::NotKnown : it->second.Stage);
    else
      answerInDoubt(id);
  });
}

void JobFront::answerInDoubt(std::uint64_t waiter) {
  // Until then it is answered as soon as the job is accepted or refused.
  Waiting.at(waiter).Limit = Loop.at(monoNow() + OwnerPatience, [this, waiter] {
    answer(waiter, Outcome(Unknown{"no owner of its pod answers"}));
  });
}

void JobFront::answer(std::uint64_t waiter, const Answer &answer) {
  auto node = Waiting.extract(waiter);
  if (node.empty())
    return;
  const auto job = Jobs.find(node.mapped().Job);
  if (job != Jobs.end())
    std::erase(job->second.Waiters, waiter);
  node.mapped().Callback(answer);
}

void JobFront::submitToOwner(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended || it->second.InFlight)
    return;
  FrontJob &job = it->second;
  if (job.Job.Deadline + GraceAfterDeadline < wallNow()) {
    giveUp(id);
    return;
  }
  if (!job.MaybeSubmitted && job.Job.Deadline < wallNow()) {
    settle(
        id,
        NotRun{"no owner of its pod could be reached before its deadline", 0});
    return;
  }
  job.InFlight = true;
  job.Owner = Directory.ownerOf(job.Pod);
  const bool again = job.MaybeSubmitted;
  job.MaybeSubmitted = job.MaybeSubmitted || !job.Owner.empty();
  Directory.submit({job.Pod, job.Job, Delegates, again},
                   monoNow() + OwnerPatience,
                   [this, id, alive = std::weak_ptr<int>(Alive)](
                       const std::optional<JobView> &view) {
                     if (!alive.expired())
                       onSubmitted(id, view);
                   });
}

void JobFront::onSubmitted(const JobId &id,
                           const std::optional<JobView> &view) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  FrontJob &job = it->second;
  job.InFlight = false;
  if (job.Ended)
    return;
  if (!view || view->Stage == JobStage::NotKnown) {
    job.Retry =
        Loop.at(monoNow() + RetryPause, [this, id] { submitToOwner(id); });
    return;
  }
  job.Accepted = true;
  job.Stage = view->Stage;
  if (view->Stage == JobStage::Ended) {
    settle(id, view->Ended);
    return;
  }
  if (!job.Guarded)
    requestGuard(id);
}

void JobFront::requestGuard(const JobId &id) {
  FrontJob &job = Jobs.at(id);
  const auto accepted = [this, id,
                         alive = std::weak_ptr<int>(Alive)](bool guarded) {
    const auto it = alive.expired() ? Jobs.end() : Jobs.find(id);
    if (it == Jobs.end())
      return;
    if (!guarded)
      LogLine("{} has no second copy", id.str());
    it->second.Guarded = true;
    const std::vector<std::uint64_t> waiters = it->second.Waiters;
    for (const auto waiter : waiters)
      if (Waiting.at(waiter).Until <= monoNow())
        answer(waiter, Jobs.at(id).Stage);
  };
  // An owner elsewhere is the second copy itself.
  if (Directory.ownedHere(job.Pod) && !Delegates)
    Directory.guard({job.Pod, job.Job}, monoNow() + GuardPatience, accepted);
  else
    accepted(true);
}

void JobFront::onEnded(const EndNotice &message) {
  const auto it = Jobs.find(message.Job);
  if (it == Jobs.end() || it->second.Final || it->second.Pod != message.Pod)
    return;
  it->second.Ended = message.Ended;
  // Only "not run" has a second round, which an owner that dies never sends.
  if (message.Final || !std::holds_alternative<NotRun>(message.Ended))
    settle(message.Job, message.Ended);
}

void JobFront::settle(const JobId &id, const Outcome &outcome) {
  FrontJob &job = Jobs.at(id);
  job.Ended = outcome;
  job.Final = true;
  job.Stage = JobStage::Ended;
  const std::vector<std::uint64_t> waiters = job.Waiters;
  for (const auto waiter : waiters)
    answer(waiter, outcome);
}

void JobFront::giveUp(const JobId &id) {
  settle(id, Unknown{"its deadline passed and no owner told how it ended"});
}

void JobFront::onOwnersChanged() {
  std::vector<JobId> moved;
  for (const auto &[id, it] : Jobs)
    if (!it.Ended && it.Owner != Directory.ownerOf(it.Pod))
      moved.push_back(id);
  for (const auto &id : moved) {
    Jobs.at(id).Accepted = false;
    submitToOwner(id);
  }
}

void JobFront::passOn() {
  for (const auto &[id, it] : Jobs)
    if (!it.Ended)
      Directory.guard({it.Pod, it.Job}, monoNow() + OwnerPatience, [](bool) {});
}

void JobFront::releaseWaiters() {
  std::vector<std::uint64_t> all;
  for (const auto &[id, it] : Waiting)
    all.push_back(id);
  for (const auto id : all) {
    const auto waiter = Waiting.find(id);
    if (waiter == Waiting.end())
      continue;
    const auto job = Jobs.find(waiter->second.Job);
    answer(id, job == Jobs.end() ? JobStage::NotKnown : job->second.Stage);
  }
}

void JobFront::poll() {
  std::vector<JobId> open;
  for (const auto &[id, it] : Jobs)
    if (!it.Ended)
      open.push_back(id);
  // A submission is idempotent, so that it also asks whether the job is known.
  for (const auto &id : open)
    submitToOwner(id);
  std::erase_if(Jobs, [](const auto &it) {
    return it.second.Final && it.second.Waiters.empty() &&
           it.second.Job.Deadline + KeepAfterDeadline < wallNow();
  });
}

std::size_t JobFront::openJobs() const {
  std::size_t n = 0;
  for (const auto &[id, it] : Jobs)
    n += it.Ended ? 0 : 1;
  return n;
}

} // namespace citrongap
