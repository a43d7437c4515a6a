// Ownership of a pod: leases, recovery, decisions. Its jobs are in
// pod_owner_jobs.cpp, how they end in pod_owner_ends.cpp.
#include "citrongap/daemon/pod_owner.h"

#include "citrongap/base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"pod"};
constexpr Millis TickInterval{200};
constexpr Seconds OwedInterval{5};
constexpr Millis RecoverySlack{1500};

/// "id-3-0" gives "id-3": the attempt of a task.
std::string attemptOf(const TaskId &task) {
  return task.str().substr(0, task.str().rfind('-'));
}

} // namespace

PodOwner::PodOwner(EventLoop &loop, BackendPort &port, ClaimPort &claims,
                   PodBroker &broker, EntryVmId self, DataCentreId dataCentre,
                   PodTerms terms, FrontNotifier notify)
    : Loop(loop), Port(port), Claims(claims), Broker(broker),
      Self(std::move(self)), Pod(dataCentre.str()),
      DataCentre(std::move(dataCentre)), Terms(terms),
      Notify(std::move(notify)) {}

PodOwner::~PodOwner() = default;

void PodOwner::activate(const std::map<BackendServerId, FencingToken> &leases) {
  if (Active)
    return;
  LogLine("taking over pod {} with {} handed over leases", Pod.str(),
          leases.size());
  Active = true;
  Recovering = true;
  RecoverUntil = monoNow() + Terms.LeaseTerm + RecoverySlack;
  NextOwedCheck = {};
  Claims.takeOver(Pod);
  Scheduler = std::make_unique<PodScheduler>(Pod, DataCentre);
  Scheduler->configure(Lists, monoNow());
  for (const auto &it : Servers) {
    const auto lease = leases.find(it.Id);
    addSession(it, lease == leases.end() ? std::nullopt
                                         : std::optional(lease->second));
  }
  Ticker = Loop.every(TickInterval, [this] { tick(); });
}

void PodOwner::deactivate() {
  if (!Active)
    return;
  LogLine("letting go of pod {}", Pod.str());
  Active = false;
  Recovering = false;
  Epoch = std::make_shared<int>(0);
  Ticker.cancel();
  DecideTimer.cancel();
  for (auto &[id, job] : Jobs)
    if (job.Run)
      Finished.push_back(std::move(job.Run));
  Jobs.clear();
  Deferred.clear();
  Found.clear();
  Attempts.clear();
  EndedAttempts.clear();
  Untold.clear();
  RecordAgain.clear();
  Claims.letGo();
  Scheduler.reset();
  for (auto &[id, it] : Sessions)
    it->TaskChanged.clear();
  Sessions.clear();
}

HandOverPod PodOwner::handOver() {
  HandOverPod out;
  out.Pod = Pod;
  for (const auto &[id, it] : Sessions)
    if (it->ready(monoNow()))
      out.Leases.emplace_back(id, *it->token());
  for (const auto &[id, job] : Jobs)
    if (!job.Ended)
      out.Jobs.push_back(job.Job);
  deactivate();
  return out;
}

void PodOwner::configure(const Configuration &configuration) {
  Lists = configuration;
  if (Scheduler)
    Scheduler->configure(configuration, monoNow());
  poke();
}

void PodOwner::setServers(const std::vector<BackendServer> &servers) {
  Servers = servers;
  if (!Active)
    return;
  for (const auto &it : servers) {
    const auto known = Sessions.find(it.Id);
    if (known == Sessions.end()) {
      addSession(it, std::nullopt);
      continue;
    }
    known->second->setAbout(it);
    if (known->second->ready(monoNow()))
      onServerReady(it);
  }
  std::set<BackendServerId> listed;
  for (const auto &it : servers)
    listed.insert(it.Id);
  for (auto it = Sessions.begin(); it != Sessions.end();) {
    const bool gone =
        !listed.contains(it->first) && !it->second->ready(monoNow());
    if (gone) {
      Scheduler->removeServer(it->first, monoNow());
      it = Sessions.erase(it);
    } else {
      ++it;
    }
  }
  poke();
}

ServerSession *PodOwner::session(const BackendServerId &server) {
  const auto it = Sessions.find(server);
  return it == Sessions.end() ? nullptr : it->second.get();
}

void PodOwner::addSession(const BackendServer &server,
                          std::optional<FencingToken> previous) {
  auto added = std::make_unique<ServerSession>(Loop, Port, server, Self, Terms,
                                               previous);
  ServerSession *it = added.get();
  it->Ready.connect([this, it] { onServerReady(it->about()); });
  it->TaskChanged.connect(
      [this, it](const TaskState &state) { onTask(it->about().Id, state); });
  it->Lost.connect([this, it] {
    const BackendServer &about = it->about();
    Scheduler->setServer({about.Id, about.Rack, about.Total, ServerState::Lost},
                         monoNow());
  });
  Sessions[server.Id] = std::move(added);
}

void PodOwner::onServerReady(const BackendServer &about) {
  const ServerState state =
      about.Leaving ? ServerState::Leaving : ServerState::Live;
  Scheduler->setServer({about.Id, about.Rack, about.Total, state}, monoNow());
  poke();
}

void PodOwner::onTask(const BackendServerId &server, const TaskState &state) {
  const std::string attempt = attemptOf(state.Task);
  const auto running = Attempts.find(attempt);
  if (running != Attempts.end()) {
    const auto job = Jobs.find(running->second);
    if (job != Jobs.end() && job->second.Run)
      job->second.Run->onTask(state);
    return;
  }
  if (EndedAttempts.contains(attempt))
    return;
  const auto record = decodeAttempt(state.Request);
  if (!record || state.Part >= record->Where.Parts.size()) {
    LogLine("server {} holds task {} of an unreadable request", server.str(),
            state.Task.str());
    return;
  }
  const auto owned = Jobs.find(record->Job.Id);
  const bool settled = owned != Jobs.end() && owned->second.Ended;
  if (settled && state.ended()) {
    if (ServerSession *it = session(server))
      it->acknowledge(state.Task);
    return;
  }
  Found[attempt].Record = *record;
  Found[attempt].States.push_back(state);
  poke();
}

void PodOwner::finishRecovery() {
  const auto found = std::exchange(Found, {});
  for (const auto &[attempt, it] : found)
    adoptFound(it);
  if (!std::exchange(Recovering, false))
    return;
  LogLine("pod {} is recovered: {} servers ready of {}, {} jobs known",
          Pod.str(), Sessions.size() - unreadyServers().size(), Sessions.size(),
          Jobs.size());
  for (const auto &id : std::exchange(Deferred, {}))
    if (openJob(id))
      place(id);
    else
      answerSubmissions(id);
}

void PodOwner::adoptFound(const FoundAttempt &found) {
  const JobRequest &job = found.Record.Job;
  bool active = false;
  bool ran = false;
  std::size_t done = 0;
  for (const auto &it : found.States) {
    active = active || !it.ended();
    ran = ran || it.Ran;
    done += it.Status == TaskStatus::Done ? 1 : 0;
  }
  OwnedJob &owned = knownJob(job);
  owned.Ran = owned.Ran || ran;
  for (const auto &it : found.States)
    owned.Unacknowledged.emplace_back(
        found.Record.Where.Parts.at(it.Part).Server, it.Task);
  if (owned.Ended || owned.Run)
    return;
  const bool whole = done == found.Record.Where.Parts.size();
  if (!active && !whole && (job.Repeatable || !ran)) {
    acknowledgeTasks(owned);
    if (!Scheduler->isQueued(job.Id) && owned.Fronts.empty())
      Jobs.erase(job.Id);
    return;
  }
  LogLine("adopting {} attempt {}", job.Id.str(), found.Record.Attempt);
  owned.At = Pod;
  Attempts[found.Record.Attempt] = job.Id;
  owned.Run = makeRun(found.Record);
  Scheduler->adopt(job, found.Record.Where, monoNow());
  owned.Run->adopt(found.States);
}

void PodOwner::poke() {
  if (Active && !DecideTimer.pending())
    DecideTimer = Loop.at(monoNow(), [this] { decide(); });
}

void PodOwner::decide() {
  if (!Active)
    return;
  Finished.clear();
  const bool complete = unreadyServers().empty() && !Sessions.empty();
  if (Recovering && !complete && monoNow() < RecoverUntil)
    return;
  finishRecovery();
  for (const Decision &it : Scheduler->decide(wallNow(), monoNow()))
    std::visit([this](const auto &decision) { carryOut(decision); }, it);
}

void PodOwner::carryOut(const RevokeJob &decision) {
  const auto it = Jobs.find(decision.Job);
  if (it != Jobs.end() && it->second.Run)
    it->second.Run->revoke(decision.Reason);
}

void PodOwner::carryOut(const RefuseJob &decision) {
  const auto it = Jobs.find(decision.Job);
  if (it == Jobs.end())
    return;
  it->second.Ran = it->second.Ran || decision.MayHaveRun;
  refuse(decision.Job, decision.Reason);
}

std::unique_ptr<GangRun> PodOwner::makeRun(const AttemptRecord &record) {
  return std::make_unique<GangRun>(
      Loop, Port, Terms, record,
      [this](const BackendServerId &server) { return session(server); },
      [this, id = record.Job.Id](const RunEnd &end) { onRunEnd(id, end); });
}

void PodOwner::tick() {
  const MonoTime now = monoNow();
  std::vector<GangRun *> runs;
  for (auto &[id, job] : Jobs)
    if (job.Run)
      runs.push_back(job.Run.get());
  // Ended attempts stay in `Finished` until the next decision.
  for (GangRun *it : runs)
    it->onTick(now);
  recordEndsAgain(now);
  if (!Recovering && Claims.holds() && now >= NextOwedCheck) {
    NextOwedCheck = now + OwedInterval;
    takeOwedJobs();
  }
  constexpr Seconds KeepAfterDeadline{60};
  std::erase_if(Jobs, [&](const auto &it) {
    const bool over = it.second.Ended && !Untold.contains(it.first) &&
                      it.second.Job.Deadline + KeepAfterDeadline < wallNow();
    if (over)
      for (const auto &attempt : it.second.EndedAttempts)
        EndedAttempts.erase(attempt);
    return over;
  });
  poke();
}

PodSummary PodOwner::summary() const {
  return Scheduler ? Scheduler->summary(monoNow()) : PodSummary{};
}

std::map<ClientAccountId, std::uint32_t> PodOwner::queueLengths() const {
  return Scheduler ? Scheduler->queueLengths()
                   : std::map<ClientAccountId, std::uint32_t>{};
}

std::vector<BackendServerId> PodOwner::unreadyServers() const {
  std::vector<BackendServerId> out;
  for (const auto &[id, it] : Sessions)
    if (!it->ready(monoNow()))
      out.push_back(id);
  return out;
}

} // namespace citrongap
