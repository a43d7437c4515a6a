// The owner of one pod: holds the leases of its servers, decides what starts,
// carries the decisions out and tells every front how its jobs ended.
#ifndef CITRONGAP_DAEMON_POD_OWNER_H
#define CITRONGAP_DAEMON_POD_OWNER_H

#include "citrongap/base/random.h"
#include "citrongap/daemon/claim_port.h"
#include "citrongap/daemon/gang_run.h"
#include "citrongap/daemon/job_messages.h"
#include "citrongap/daemon/pod_broker.h"
#include "citrongap/daemon/server_session.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citrongap {

/// Port to the fronts that wait for a job. Calls back with true once the front
/// took the message, with false when it could not be reached.
using FrontNotifier =
    std::function<void(const EntryVmId &front, const EndNotice &message,
                       std::function<void(bool)>)>;

/// Where a job comes from.
struct JobOrigin {
  /// Null for a job that was handed over or that the log owes.
  std::optional<EntryVmId> Front;
  /// The key's home chose this pod.
  bool Delegated = false;
  /// Another owner may have it already.
  bool Again = false;
};

class PodOwner {
public:
  PodOwner(EventLoop &loop, BackendPort &port, ClaimPort &claims,
           PodBroker &broker, EntryVmId self, DataCentreId dataCentre,
           PodTerms terms, FrontNotifier notify);
  ~PodOwner();

  const PodId &pod() const { return Pod; }
  bool active() const { return Active; }

  /// Takes the pod over. `leases` are tokens from a planned hand-over.
  void activate(const std::map<BackendServerId, FencingToken> &leases);
  /// Lets go of the pod: nothing is renewed or started any more.
  void deactivate();
  /// Lets go of the pod and gives what a successor needs.
  HandOverPod handOver();

  void configure(const Configuration &configuration);
  /// The pod's servers as the VM list shows them; leaving ones get no new work.
  void setServers(const std::vector<BackendServer> &servers);

  using ViewCallback = std::function<void(const JobView &)>;

  /// Takes a job for `front`; a delegated one runs in this pod. Calls back once
  /// the log has the job, can't be reached, or the job has ended.
  void submit(const JobRequest &job, const JobOrigin &origin,
              ViewCallback callback);
  JobView view(const JobId &job) const;
  /// Cancels; the outcome says which won. Calls back when it is known.
  void cancel(const JobId &job, ViewCallback callback);

  PodSummary summary() const;
  std::map<ClientAccountId, std::uint32_t> queueLengths() const;
  std::vector<BackendServerId> unreadyServers() const;
  /// Starts are held back until the servers told what runs.
  bool recovering() const { return Recovering; }

private:
  struct OwnedJob {
    JobRequest Job;
    std::set<EntryVmId> Fronts;
    /// Submissions that share this outcome.
    std::set<std::string> Submissions;
    /// Set when ended.
    std::optional<Outcome> Ended;
    /// Fronts are being told of the outcome.
    bool Telling = false;
    /// Fronts came while others were told, and need a round of their own.
    bool LateFronts = false;
    std::unique_ptr<GangRun> Run;
    std::uint32_t Attempts = 0;
    /// Of `EndedAttempts`, those of this job.
    std::vector<std::string> EndedAttempts;
    /// Chosen for this pod by the key's home; not passed on again.
    bool Delegated = false;
    /// No other owner ever had it.
    bool Fresh = true;
    /// The pod that queues or runs it; empty until it was chosen.
    PodId At;
    bool CancelAsked = false;
    std::vector<ViewCallback> CancelCallbacks;
    std::vector<ViewCallback> SubmitCallbacks;
    /// Submissions need not wait for the log any more.
    bool Settled = false;
    /// What became of the record that it was accepted; null when none was
    /// asked for.
    std::optional<Recorded> Accepted;
    /// Only of an unrepeatable job.
    std::optional<ClaimGranted> Claim;
    /// A claim was asked for and is not answered.
    bool Claiming = false;
    /// An earlier claim of doubtful fate; "not run" can't be said.
    bool InDoubt = false;
    /// Some attempt ran; "not run" can't be said.
    bool Ran = false;
    Timer ClaimRetry;
    /// The log has the outcome.
    bool EndRecorded = false;
    /// Ended tasks that servers keep until every front knows the outcome.
    std::vector<std::pair<BackendServerId, TaskId>> Unacknowledged;
  };
  /// Tasks of one attempt that servers told of before it was adopted.
  struct FoundAttempt {
    AttemptRecord Record;
    std::vector<TaskState> States;
  };

  ServerSession *session(const BackendServerId &server);
  void addSession(const BackendServer &server,
                  std::optional<FencingToken> previous);
  void onServerReady(const BackendServer &about);
  void onTask(const BackendServerId &server, const TaskState &state);
  void finishRecovery();
  void adoptFound(const FoundAttempt &found);
  OwnedJob &knownJob(const JobRequest &job);
  /// Null when the job is not known, runs or has ended.
  OwnedJob *openJob(const JobId &id);
  /// `front` has the job, too, and is told how it ends.
  void addFront(const JobId &id, const EntryVmId &front);
  /// A new submission of a key that was refused starts afresh. Gives the older
  /// submissions: a front may still hold one whose caller was refused since,
  /// and it must not start.
  std::set<std::string> forgetRefusal(const JobRequest &job);
  void answerSubmissions(const JobId &id);
  /// Runs it here or has another pod run it.
  void place(const JobId &id);
  void admit(const JobId &id);
  void sendTo(const PodId &pod, const JobId &id);
  void recordAccepted(const JobId &id);
  void takeOwedJobs();
  /// The log owes another submission of a key that is known here.
  void joinOwed(OwnedJob &owned, const JobRequest &job);
  bool fenced() const;
  void startRun(OwnedJob &owned, const Placement &where);
  void onClaim(const JobId &id, const Placement &where,
               const ClaimAnswer &answer);
  void claimLater(const JobId &id);
  void giveBackClaim(const JobId &id);
  void freePlacement(const JobId &id);
  void poke();
  void decide();
  void carryOut(const StartJob &decision);
  void carryOut(const RevokeJob &decision);
  void carryOut(const RefuseJob &decision);
  void onRunEnd(const JobId &id, const RunEnd &end);
  void retryOrFail(OwnedJob &owned, const RunEnd &end);
  std::unique_ptr<GangRun> makeRun(const AttemptRecord &record);
  void onNeverRan(OwnedJob &owned, const RunEnd &end);
  /// Ends a job that does not start: as "not run" unless it may have run.
  void refuse(const JobId &id, const NotRun &why);
  void endJob(const JobId &id, const Outcome &outcome);
  bool inLog(const OwnedJob &owned) const;
  void onEndRecorded(const JobId &id, Recorded recorded);
  void recordEndsAgain(MonoTime now);
  void recordEnd(const JobId &id);
  /// Records "not run" of each of these, submissions of the one key.
  void recordRefusals(const std::vector<JobRequest> &submissions,
                      const Outcome &refusal);
  /// The submissions of a job for which the log may owe an outcome.
  std::vector<JobRequest> submissionsInLog(const OwnedJob &owned) const;
  void tellFronts(const JobId &id);
  void tell(const JobId &id, const EntryVmId &front, bool final);
  void onAllTold(const JobId &id, bool final);
  void acknowledgeTasks(OwnedJob &owned);
  void tick();

  EventLoop &Loop;
  BackendPort &Port;
  ClaimPort &Claims;
  PodBroker &Broker;
  EntryVmId Self;
  PodId Pod;
  DataCentreId DataCentre;
  PodTerms Terms;
  FrontNotifier Notify;
  Random Ids = Random::fromDevice();
  Configuration Lists;
  std::vector<BackendServer> Servers;
  std::unique_ptr<PodScheduler> Scheduler;
  std::map<BackendServerId, std::unique_ptr<ServerSession>> Sessions;
  std::unordered_map<JobId, OwnedJob> Jobs;
  /// Submitted during recovery; placed once it is known what runs.
  std::vector<JobId> Deferred;
  std::map<std::string, FoundAttempt> Found;
  /// Job of each attempt that runs.
  std::map<std::string, JobId> Attempts;
  /// Attempts that this owner ended itself, until their job is forgotten;
  /// states of them that come late say nothing new.
  std::set<std::string> EndedAttempts;
  /// Ended attempts, destroyed from the loop.
  std::vector<std::unique_ptr<GangRun>> Finished;
  /// Ended jobs whose outcome the log has not confirmed, and when to try again.
  std::map<JobId, MonoTime> RecordAgain;
  /// Fronts that have not yet taken the current message, by job.
  std::map<JobId, std::set<EntryVmId>> Untold;
  bool Active = false;
  bool Recovering = false;
  MonoTime RecoverUntil;
  /// Of this ownership; passed already until its first look.
  MonoTime NextOwedCheck;
  Timer DecideTimer;
  Timer Ticker;
  std::shared_ptr<int> Epoch = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_POD_OWNER_H
