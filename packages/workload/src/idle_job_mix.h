// Pod under a random mix of jobs and faults, in virtual time, for property
// tests of the planner. Jobs and faults come in the first minute. From 25 s
// after it the platform's rule is judged: a job of which nothing runs for 3 s
// while a step of it may start is broken, if the service has room for that step
// twice over and under half of its capacity is in use.
#ifndef CITRONGAP_WORKLOAD_IDLE_JOB_MIX_H
#define CITRONGAP_WORKLOAD_IDLE_JOB_MIX_H

#include "planner_fixture.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace citrongap {

/// What a mix consists of, beside single tasks, gangs, labels and faults.
struct MixShape {
  /// Share of the steps without a label that have a data rack.
  double DataRacks = 0;
};

class IdleJobMix : public PlannerFixture {
public:
  IdleJobMix(std::uint64_t seed, MixShape shape);

  /// Plays the mix until all jobs have ended, or for two minutes of quiet.
  /// Returns the jobs that broke the rule, with the time and what they are.
  std::vector<std::string> play();

private:
  struct Run {
    StartOrder Order;
    MonoTime StartedAt;
    MonoTime EndsAt;
    RunOutcome Outcome = RunOutcome::Done;
  };
  struct Server {
    ServerEntry Entry;
    MonoTime FaultyUntil;
    std::optional<MonoTime> ReturnsAt;
    /// Not held by a run, as of the latest judgement.
    Resources Free{};
  };

  std::int64_t draw(std::int64_t from, std::int64_t to);
  bool chance(double share);
  WorkSpec drawJob();
  StepSpec drawStep(const WorkSpec &spec);
  void drawFault();
  void returnServers();
  void endRuns();
  void reportProgress();
  void carryOut(const PlannedRound &round);
  void judge(std::vector<std::string> &broken);
  /// A step of the job that may start, but has not.
  std::optional<TaskName> idleStep(const WorkId &id) const;
  bool underHalfInUse() const;
  /// Whether the free room of sound servers holds the step twice.
  bool hasRoomTwice(const TaskName &step) const;
  void updateFree();

  std::mt19937_64 Random;
  MixShape Shape;
  std::vector<Server> Servers;
  std::map<TaskName, Run> Runs;
  /// Run time of each job's tasks.
  std::map<WorkId, Millis> Lengths;
  std::map<WorkId, MonoTime> IdleSince;
  std::set<WorkId> Broken;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_IDLE_JOB_MIX_H
