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
  /// Each job has been accepted or given up, and time to end.
  void atEnd(MonoTime now);
  void add(MonoTime at, std::string what);

  const std::vector<std::string> &findings() const { return Findings; }
  std::size_t started() const { return Started; }

private:
  struct Place {
    ServerIncarnation Server;
    std::uint32_t Run = 0;
  };

  void onStarted(const wire::RunEvent &event);
  void onAcknowledged(const wire::RunEvent &event);

  std::map<WorkId, JobStory> Stories;
  std::map<TaskName, Place> Running;
  std::map<BackendServerId, MonoTime> Draining;
  MonoTime CalmFrom;
  std::vector<std::string> Findings;
  std::size_t Started = 0;
};

} // namespace citrongap::soak

#endif // CITRONGAP_SOAK_JUDGE_H
