// The front role of an entry VM: it takes a caller's job to the owner of the
// job's pod, sees it through when owners change, and answers every caller.
#ifndef CITRONGAP_DAEMON_JOB_FRONT_H
#define CITRONGAP_DAEMON_JOB_FRONT_H

#include "citrongap/daemon/job_messages.h"
#include "citrongap/net/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace citrongap {

/// Port to the owners of pods and to other fronts; see node.h.
class PodDirectory {
public:
  virtual ~PodDirectory() = default;

  /// Asks the owner of the request's pod, wherever it is. False when nothing
  /// was sent or the asked one does not own the pod.
  using ViewCallback = std::function<void(std::optional<JobView>)>;
  virtual void submit(const SubmitJob &message, MonoTime deadline,
                      ViewCallback callback) = 0;
  virtual void query(const QueryJob &message, MonoTime deadline,
                     ViewCallback callback) = 0;
  virtual void cancel(const CancelJob &message, MonoTime deadline,
                      ViewCallback callback) = 0;
  /// Has another entry VM of this data centre keep a copy; calls back with
  /// false when there is none or it did not answer.
  virtual void guard(const GuardJob &message, MonoTime deadline,
                     std::function<void(bool)> callback) = 0;
  /// Changes whenever the pod has a new owner.
  virtual std::string ownerOf(const PodId &pod) const = 0;
  virtual bool ownedHere(const PodId &pod) const = 0;
};

class JobFront {
public:
  /// `delegates` submits on behalf of a key's home instead of callers.
  JobFront(EventLoop &loop, PodDirectory &directory, bool delegates = false);
  ~JobFront();

  /// Either the outcome, or the stage that the job had when the wait ended.
  using Answer = std::variant<Outcome, JobStage>;
  using AnswerCallback = std::function<void(const Answer &)>;

  /// The key was used for another request of this account.
  struct KeyReused {};
  using Submitted = std::variant<std::monostate, KeyReused>;

  /// Submits, or joins the same request; calls back once, at `waitUntil` at the
  /// latest, but not before a second process holds the job or none is there.
  Submitted submit(const PodId &pod, const JobRequest &job, MonoTime waitUntil,
                   AnswerCallback callback);
  /// Keeps a copy for another front.
  void guard(const GuardJob &message);
  /// Waits for a job that was submitted here or anywhere in `pod`.
  void await(const PodId &pod, const JobId &job, MonoTime waitUntil,
             const AnswerCallback &callback);
  void cancel(const PodId &pod, const JobId &job, MonoTime deadline,
              const AnswerCallback &callback);

  /// The owner's word on how a job ended.
  void onEnded(const EndNotice &message);
  /// Submits open jobs again where the owner changed.
  void onOwnersChanged();
  /// Has another entry VM keep a copy of each open job; for a planned stop.
  void passOn();
  /// Answers all callers that still wait with the stage of their job.
  void releaseWaiters();

  std::size_t openJobs() const;
  std::size_t waiters() const { return Waiting.size(); }

private:
  struct FrontJob {
    PodId Pod;
    JobRequest Job;
    /// Set by a message that ended the job; told to callers once final.
    std::optional<Outcome> Ended;
    bool Final = false;
    /// The owner confirmed that it holds the job.
    bool Accepted = false;
    /// It may be at an owner: some submission was sent.
    bool MaybeSubmitted = false;
    bool Guarded = false;
    bool InFlight = false;
    std::string Owner;
    JobStage Stage = JobStage::Waiting;
    std::vector<std::uint64_t> Waiters;
    Timer Retry;
  };
  struct Waiter {
    JobId Job;
    MonoTime Until;
    AnswerCallback Callback;
    Timer Limit;
  };

  void addWaiter(const JobId &job, MonoTime until, AnswerCallback callback);
  /// Nobody confirmed that the job is held: answers "unknown" a little later.
  void answerInDoubt(std::uint64_t waiter);
  void answer(std::uint64_t waiter, const Answer &answer);
  void submitToOwner(const JobId &id);
  void onSubmitted(const JobId &id, const std::optional<JobView> &view);
  void requestGuard(const JobId &id);
  void settle(const JobId &id, const Outcome &outcome);
  void giveUp(const JobId &id);
  void poll();

  EventLoop &Loop;
  PodDirectory &Directory;
  bool Delegates;
  std::unordered_map<JobId, FrontJob> Jobs;
  std::map<std::uint64_t, Waiter> Waiting;
  std::uint64_t NextWaiter = 1;
  Timer Poller;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_JOB_FRONT_H
