// Relative speeds of machines, learned from the run times of tasks that are
// alike. A run time is the work of its group of tasks divided by the speed of
// its machine; both are estimated together.
#ifndef CITRONGAP_WORKLOAD_SERVER_SPEED_H
#define CITRONGAP_WORKLOAD_SERVER_SPEED_H

#include "citrongap/base/time.h"
#include "citrongap/workload/robust_mean.h"
#include "citrongap/workload/work_spec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace citrongap {

/// An observation of the pace of one run on a machine.
struct SpeedSample {
  std::string Machine;
  /// Tasks of one group are alike: those of a step, or of a queue.
  std::string Group;
  /// Duration of a whole run, measured or projected from its progress.
  double RunTimeMs = 0;
  /// Job of the run.
  WorkId Work;
  MonoTime At;
  /// Weight among the samples of the machine.
  double Weight = 1;
};

/// A new class of a machine.
struct SpeedChange {
  std::string Machine;
  /// Speed of the class before; empty for the first one.
  std::optional<double> Before;
  double Speed = 1;
  std::size_t Samples = 0;
  /// Time of the oldest sample; empty without samples.
  std::optional<MonoTime> OldestAt;
};

/// Tunables of SpeedEstimator.
struct SpeedOptions {
  /// Bounds on a speed. A run that is slower or faster than its group by more
  /// is on a server with a fault, or is itself an exception.
  double MinSpeed = 0.25;
  double MaxSpeed = 4;
  /// Samples kept of a machine. The oldest go first.
  std::size_t MaxSamples = 16;
  /// Machines of a group that are compared.
  std::size_t MinGroupMachines = 4;
  /// Total weight of the samples by which a machine is rated.
  double MinWeight = 1;
  /// A rating is established by the samples of at least so many jobs, over at
  /// least this time: a server that is slow for some seconds is not slow for
  /// good. Only established ratings decide whether the machines are alike.
  std::size_t MinJobs = 2;
  Millis MinSpan{1500};
  /// Weight of a restored speed, in samples.
  double RestoredWeight = 3;
  /// Machines with an established rating that must differ from the median for
  /// speeds to be used, and their share of all such machines.
  std::size_t MinUneven = 4;
  double MinUnevenShare = 0.1;
  /// Share of the rated machines that makes a speed one that is in use.
  double MinClassShare = 0.05;
  /// Machines without a sample for this time before the newest one are
  /// forgotten: they may no longer exist. They would hold memory and count
  /// among the machines that are compared.
  Millis Retention{3600000};
  /// Share of the rated machines that are at most as fast as slowSpeed().
  double SlowShare = 0.15;
};

/// Estimates the speed of each machine relative to the median machine. Speeds
/// are rounded to classes, so that few distinct values are in use.
class SpeedEstimator {
public:
  explicit SpeedEstimator(SpeedOptions options = {}) : Options(options) {}

  void addSample(const SpeedSample &sample);
  /// Recomputes the speeds if there are new samples.
  void update();
  /// Relative speed; 1 for unrated machines and while the machines are alike.
  double speedOf(const std::string &machine) const;
  bool rated(const std::string &machine) const;
  /// Whether the machines differ enough for speeds to be used.
  bool uneven() const { return InUse.size() > 1; }
  /// The distinct speeds in use, ascending; {1} while the machines are alike.
  const std::vector<double> &speeds() const { return InUse; }
  /// Speed of the slow machines, not rounded; 1 while the machines are alike.
  double slowSpeed() const { return Slow; }
  /// Takes over a stored speed; later samples outweigh it. It is not a change.
  void restore(const std::string &machine, double speed);
  /// Machines of which the class of an established rating changed since the
  /// last call.
  std::vector<SpeedChange> takeChanged();

  std::uint64_t samplesUsed() const { return Used; }
  std::uint64_t samplesIgnored() const { return Ignored; }
  /// Rated machines by speed.
  std::map<double, std::size_t> machinesBySpeed() const;

private:
  /// Index into `Groups`.
  using GroupIndex = std::uint32_t;
  /// Small, since an update reads all of them several times.
  struct Sample {
    GroupIndex Group = 0;
    float LogRunTime = 0;
    float Weight = 1;
    /// Hash of the job's id.
    std::uint32_t Job = 0;
    MonoTime At;
  };
  /// Tasks that are alike.
  struct Group {
    std::string Name;
    /// Samples of it that are kept; it is free for another name without any.
    std::size_t Samples = 0;
  };
  /// Index into `Machines`.
  using MachineIndex = std::uint32_t;
  struct Machine {
    std::string Name;
    /// The oldest first.
    std::vector<Sample> Samples;
    std::optional<double> RestoredLog;
    /// Time of the last sample; of the first update() for a restored machine.
    std::optional<MonoTime> LastSeen;
    /// Logarithm of the speed; 0 before there are samples.
    double LogSpeed = 0;
    bool Rated = false;
    bool Established = false;
    /// Empty while the machine is unrated.
    std::optional<int> Class;
    /// Class last returned by takeChanged().
    std::optional<int> ReportedClass;
  };
  /// A sample in the order of the groups.
  struct GroupSample {
    float LogRunTime = 0;
    float Weight = 1;
    MachineIndex On = 0;
  };

  Machine &machineOf(const std::string &name);
  const Machine *find(const std::string &name) const;
  GroupIndex groupOf(const std::string &name);
  void removeOldest(Machine &machine);
  /// Sets `ByGroup` and `GroupEnds`, and which groups have `LogWorks`.
  void sortByGroup();
  /// Sets the work of the groups.
  void estimateGroups();
  /// Returns by how much the speed changed, in octaves.
  double estimate(Machine &machine);
  /// Sets `Rated` and `Established`.
  void judge(Machine &machine);
  void forgetOldMachines();
  void normalise();
  void classify();
  void updateInUse();

  SpeedOptions Options;
  std::vector<Machine> Machines;
  std::unordered_map<std::string, MachineIndex> MachineByName;
  std::vector<Group> Groups;
  /// Invariant: the groups that have samples, by name.
  std::unordered_map<std::string, GroupIndex> GroupByName;
  /// Groups without samples.
  std::vector<GroupIndex> FreeGroups;
  // Of the update in progress, kept for their memory. The samples of group N
  // are those from GroupEnds[N - 1] to GroupEnds[N].
  std::vector<GroupSample> ByGroup;
  std::vector<std::size_t> GroupEnds;
  /// Logarithm of the work of each group; empty if too few machines are
  /// compared.
  std::vector<std::optional<double>> LogWorks;
  /// In the order of `Machines`.
  std::vector<double> LogSpeeds;
  WeightedLogs Scratch;
  std::vector<std::uint32_t> ScratchJobs;
  bool HasNewSamples = false;
  /// There was an update since the last takeChanged().
  bool HasNewClasses = false;
  /// Classes in use: the lowest and the highest.
  int LowestClass = 0;
  int HighestClass = 0;
  std::vector<double> InUse{1};
  double Slow = 1;
  std::uint64_t Used = 0;
  std::uint64_t Ignored = 0;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_SERVER_SPEED_H
