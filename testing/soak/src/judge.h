// What must hold, judged while the site runs from what callers were told and
// what backend servers did. Entry VMs are not asked.
#ifndef CITRONGAP_SOAK_JUDGE_H
#define CITRONGAP_SOAK_JUDGE_H

#include "backends_model.h"

#include "citrongap/workload/work_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citrongap::soak {

/// One job as its caller knows it.
struct JobStory {
  WorkSpec Spec;
  wire::TaskProgram Program;
  /// Submissions on the way, or of unknown fate.
  int MaybeStored = 0;
  int Refusals = 0;
  std::optional<MonoTime> AcceptedAt;
  /// A cancellation was sent; it may take effect at any time from then on.
  bool CancelSent = false;
  /// It was acknowledged.
  std::optional<MonoTime> CancelledAt;
  /// The last state that a caller was shown, when it is an end.
  std::optional<WorkPhase> Ended;
  MonoTime ShownCompletedAt;
  /// Tasks that ended done on a server, and those whose end was acknowledged.
  std::set<TaskName> Done;
  std::set<TaskName> Acknowledged;
  /// The latest run that started after one had ended done.
  std::map<TaskName, std::uint32_t> StartedAgain;
  std::map<TaskName, std::uint32_t> Failures;
};

/// A backend server that could take work, and its free room.
struct ServerRoom {
  BackendServerId Id;
  std::vector<std::string> Labels;
  Resources Capacity;
  Resources Free;
};

class Judge {
public:
  JobStory &story(const WorkId &id) { return Stories[id]; }
  std::map<WorkId, JobStory> &stories() { return Stories; }

  void onRun(const wire::RunEvent &event);
  /// A server was listed as leaving at `since`.
  void onDraining(const BackendServerId &id, std::optional<MonoTime> since);
  /// A fault is at work: bounds on time count from its end.
  void disturbedUntil(MonoTime until);
  /// A caller was shown a state, or that no such job exists.
  void onState(const WorkId &id, std::optional<WorkPhase> phase, MonoTime now);
  /// Looks for idle jobs: for 3 s, nothing of a job runs while a step's turn
  /// has come, the servers have room for the step twice over, and under half
  /// of them is in use. `sound` are the servers that are listed and neither
  /// crashed nor leaving, without `Free`. As the other bounds on time, this one
  /// holds outside of faults and of what they may leave behind
  /// (disturbedUntil()); so no server of `sound` is cut off then.
  void review(std::vector<ServerRoom> sound, MonoTime now, std::int64_t wallMs);
  /// Each job has been accepted or given up, and time to end.
  void atEnd(MonoTime now);
  void add(MonoTime at, std::string what);

  const std::vector<std::string> &findings() const { return Findings; }
  std::size_t started() const { return Started; }
  /// Time in which idle jobs could be found.
  Millis idleJudged() const { return IdleJudged; }

private:
  struct Idle {
    MonoTime Since;
    MonoTime Until;
    std::string What;
  };

  struct Place {
    ServerIncarnation Server;
    std::uint32_t Run = 0;
  };

  void onStarted(const wire::RunEvent &event);
  void onAcknowledged(const wire::RunEvent &event);
  /// The first step whose turn has come and that fits twice into the servers.
  std::optional<TaskName> idleStep(const WorkId &id, const JobStory &job,
                                   const std::vector<ServerRoom> &servers,
                                   std::int64_t wallMs) const;
  /// Sets what the runs leave free.
  void takeRoom(std::vector<ServerRoom> &servers) const;
  void endIdle(const Idle &idle);

  std::map<WorkId, JobStory> Stories;
  std::map<TaskName, Place> Running;
  std::map<BackendServerId, MonoTime> Draining;
  MonoTime CalmFrom;
  std::map<WorkId, Idle> IdleJobs;
  std::optional<MonoTime> ReviewedAt;
  Millis IdleJudged{0};
  std::vector<std::string> Findings;
  std::size_t Started = 0;
};

} // namespace citrongap::soak

#endif // CITRONGAP_SOAK_JUDGE_H
