// Alternates between the work of the groups and the speeds of the machines, in
// logarithms, with averages that leave outliers out.
#include "citrongap/workload/server_speed.h"

#include "citrongap/base/hash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace citrongap {

namespace {

/// Half an octave would put the speeds 0.6 and 0.8 into one class.
constexpr double ClassesPerOctave = 4;
/// Distance from the middle of its class, in classes, at which a machine
/// changes to another one.
constexpr double Hysteresis = 0.75;
/// Machines that differ from the median machine by this many classes are
/// counted as different.
constexpr int UnevenClasses = 2;
/// Each update goes on from the speeds of the one before.
constexpr int MaxIterations = 3;
/// Mean change of the speeds below which they are settled, in octaves: a
/// twenty-fifth of a class.
constexpr double SettledChange = 0.01;
double speedOfClass(int speedClass) {
  return std::exp2(speedClass / ClassesPerOctave);
}

int classOf(double logSpeed) {
  return static_cast<int>(std::lround(logSpeed * ClassesPerOctave));
}

} // namespace

void SpeedEstimator::addSample(const SpeedSample &sample) {
  const bool valid = std::isfinite(sample.RunTimeMs) && sample.RunTimeMs > 0 &&
                     std::isfinite(sample.Weight) && sample.Weight > 0;
  if (sample.Machine.empty() || !valid) {
    ++Ignored;
    return;
  }
  ++Used;
  HasNewSamples = true;
  Machine &machine = machineOf(sample.Machine);
  machine.LastSeen = sample.At;
  const GroupIndex group = groupOf(sample.Group);
  ++Groups[group].Samples;
  machine.Samples.push_back(
      {group, static_cast<float>(std::log2(sample.RunTimeMs)),
       static_cast<float>(sample.Weight),
       static_cast<std::uint32_t>(stableHash(sample.Work.str())), sample.At});
  if (machine.Samples.size() > Options.MaxSamples)
    removeOldest(machine);
}

SpeedEstimator::Machine &SpeedEstimator::machineOf(const std::string &name) {
  const auto [known, added] = MachineByName.try_emplace(
      name, static_cast<MachineIndex>(Machines.size()));
  if (added)
    Machines.emplace_back().Name = name;
  return Machines[known->second];
}

const SpeedEstimator::Machine *
SpeedEstimator::find(const std::string &name) const {
  const auto it = MachineByName.find(name);
  return it == MachineByName.end() ? nullptr : &Machines[it->second];
}

SpeedEstimator::GroupIndex SpeedEstimator::groupOf(const std::string &name) {
  const auto [known, added] = GroupByName.try_emplace(name);
  if (!added)
    return known->second;
  if (FreeGroups.empty()) {
    FreeGroups.push_back(static_cast<GroupIndex>(Groups.size()));
    Groups.emplace_back();
  }
  known->second = FreeGroups.back();
  FreeGroups.pop_back();
  Groups[known->second].Name = name;
  return known->second;
}

void SpeedEstimator::removeOldest(Machine &machine) {
  const GroupIndex index = machine.Samples.front().Group;
  machine.Samples.erase(machine.Samples.begin());
  Group &group = Groups[index];
  if (--group.Samples > 0)
    return;
  GroupByName.erase(group.Name);
  group = {};
  FreeGroups.push_back(index);
}

void SpeedEstimator::restore(const std::string &machine, double speed) {
  if (machine.empty() || !(speed >= Options.MinSpeed) ||
      speed > Options.MaxSpeed) {
    ++Ignored;
    return;
  }
  HasNewSamples = true;
  Machine &restored = machineOf(machine);
  restored.RestoredLog = restored.LogSpeed = std::log2(speed);
  restored.Class = restored.ReportedClass = classOf(restored.LogSpeed);
}

void SpeedEstimator::sortByGroup() {
  std::size_t end = 0;
  GroupEnds.clear();
  for (const Group &it : Groups) {
    GroupEnds.push_back(end);
    end += it.Samples;
  }
  ByGroup.resize(end);
  for (MachineIndex on = 0; on < Machines.size(); ++on)
    for (const Sample &it : Machines[on].Samples)
      ByGroup[GroupEnds[it.Group]++] = {it.LogRunTime, it.Weight, on};
  LogWorks.assign(Groups.size(), std::nullopt);
  std::size_t from = 0;
  for (std::size_t n = 0; n < Groups.size(); ++n) {
    std::size_t machines = 0;
    std::optional<MachineIndex> last;
    for (; from < GroupEnds[n]; ++from)
      if (std::exchange(last, ByGroup[from].On) != ByGroup[from].On)
        ++machines;
    if (machines >= Options.MinGroupMachines)
      LogWorks[n] = 0;
  }
}

void SpeedEstimator::estimateGroups() {
  LogSpeeds.clear();
  for (const Machine &it : Machines)
    LogSpeeds.push_back(it.LogSpeed);
  std::size_t from = 0;
  for (std::size_t n = 0; n < Groups.size(); ++n) {
    Scratch.clear();
    for (; from < GroupEnds[n]; ++from) {
      const GroupSample &it = ByGroup[from];
      Scratch.add(static_cast<double>(it.LogRunTime) + LogSpeeds[it.On],
                  static_cast<double>(it.Weight));
    }
    if (LogWorks[n])
      LogWorks[n] = Scratch.robustMean();
  }
}

void SpeedEstimator::judge(Machine &machine) {
  std::vector<std::uint32_t> &jobs = ScratchJobs;
  jobs.clear();
  double weight = 0;
  std::optional<MonoTime> first;
  MonoTime last;
  for (const Sample &it : machine.Samples) {
    if (!LogWorks[it.Group])
      continue;
    if (jobs.size() < Options.MinJobs &&
        std::find(jobs.begin(), jobs.end(), it.Job) == jobs.end())
      jobs.push_back(it.Job);
    weight += static_cast<double>(it.Weight);
    first = first.value_or(it.At);
    last = it.At;
  }
  const bool restored = machine.RestoredLog.has_value();
  machine.Rated = restored || weight >= Options.MinWeight;
  machine.Established =
      restored || (machine.Rated && jobs.size() >= Options.MinJobs &&
                   last - *first >= Options.MinSpan);
}

double SpeedEstimator::estimate(Machine &machine) {
  const double lowest = std::log2(Options.MinSpeed);
  const double highest = std::log2(Options.MaxSpeed);
  Scratch.clear();
  for (const Sample &it : machine.Samples) {
    const std::optional<double> &work = LogWorks[it.Group];
    const double speed = work.value_or(0) - static_cast<double>(it.LogRunTime);
    if (work && speed >= lowest && speed <= highest)
      Scratch.add(speed, static_cast<double>(it.Weight));
  }
  if (machine.RestoredLog)
    Scratch.add(*machine.RestoredLog, Options.RestoredWeight);
  if (Scratch.empty())
    return 0;
  const double before = std::exchange(machine.LogSpeed, Scratch.robustMean());
  return std::abs(machine.LogSpeed - before);
}

void SpeedEstimator::normalise() {
  std::vector<double> logs;
  for (const Machine &it : Machines)
    if (it.Rated)
      logs.push_back(it.LogSpeed);
  if (logs.empty())
    return;
  const auto middle =
      logs.begin() + static_cast<std::ptrdiff_t>(logs.size() / 2);
  std::nth_element(logs.begin(), middle, logs.end());
  const double median = *middle;
  for (Machine &it : Machines)
    it.LogSpeed -= median;
}

void SpeedEstimator::forgetOldMachines() {
  std::optional<MonoTime> newest;
  for (const Machine &it : Machines)
    if (it.LastSeen)
      newest = std::max(newest.value_or(*it.LastSeen), *it.LastSeen);
  if (!newest)
    return;
  for (MachineIndex n = 0; n < Machines.size();) {
    Machine &machine = Machines[n];
    machine.LastSeen = machine.LastSeen.value_or(*newest);
    if (*newest - *machine.LastSeen <= Options.Retention) {
      ++n;
      continue;
    }
    while (!machine.Samples.empty())
      removeOldest(machine);
    MachineByName.erase(machine.Name);
    if (n + 1 < Machines.size()) {
      machine = std::move(Machines.back());
      MachineByName[machine.Name] = n;
    }
    Machines.pop_back();
  }
}

void SpeedEstimator::update() {
  if (!std::exchange(HasNewSamples, false))
    return;
  HasNewClasses = true;
  forgetOldMachines();
  sortByGroup();
  for (int n = 0; n < MaxIterations; ++n) {
    estimateGroups();
    double change = 0;
    for (Machine &it : Machines)
      change += estimate(it);
    if (change < SettledChange * static_cast<double>(Machines.size()))
      break;
  }
  for (Machine &it : Machines)
    judge(it);
  normalise();
  classify();
  updateInUse();
}

void SpeedEstimator::classify() {
  for (Machine &it : Machines) {
    if (!it.Rated)
      continue;
    const double position = it.LogSpeed * ClassesPerOctave;
    if (it.Class && std::abs(position - *it.Class) <= Hysteresis)
      continue;
    it.Class = classOf(it.LogSpeed);
  }
}

void SpeedEstimator::updateInUse() {
  std::vector<int> classes;
  std::vector<double> logs;
  std::size_t established = 0;
  std::size_t different = 0;
  for (const Machine &it : Machines) {
    if (!it.Class)
      continue;
    classes.push_back(*it.Class);
    logs.push_back(it.LogSpeed);
    established += it.Established ? 1U : 0U;
    different +=
        it.Established && std::abs(*it.Class) >= UnevenClasses ? 1U : 0U;
  }
  InUse = {1};
  LowestClass = HighestClass = 0;
  Slow = 1;
  if (different < Options.MinUneven ||
      static_cast<double>(different) <
          Options.MinUnevenShare * static_cast<double>(established))
    return;
  std::sort(classes.begin(), classes.end());
  const auto rated = static_cast<double>(classes.size());
  // A few machines do not make a class of their own.
  const auto trimmed =
      static_cast<std::size_t>(std::ceil(Options.MinClassShare * rated)) - 1;
  LowestClass = classes[trimmed];
  HighestClass = classes[classes.size() - 1 - trimmed];
  std::set<int> distinct{std::clamp(0, LowestClass, HighestClass)};
  for (const int it : classes)
    distinct.insert(std::clamp(it, LowestClass, HighestClass));
  InUse.clear();
  for (const int it : distinct)
    InUse.push_back(speedOfClass(it));
  std::sort(logs.begin(), logs.end());
  Slow = std::exp2(logs[static_cast<std::size_t>(Options.SlowShare * rated)]);
}

double SpeedEstimator::speedOf(const std::string &machine) const {
  if (!uneven())
    return 1;
  const Machine *it = find(machine);
  if (!it || !it->Class)
    return 1;
  return speedOfClass(std::clamp(*it->Class, LowestClass, HighestClass));
}

bool SpeedEstimator::rated(const std::string &machine) const {
  const Machine *it = find(machine);
  return it && it->Class;
}

std::vector<SpeedChange> SpeedEstimator::takeChanged() {
  std::vector<SpeedChange> changed;
  if (!std::exchange(HasNewClasses, false))
    return changed;
  for (Machine &it : Machines) {
    if (!it.Established || it.Class == it.ReportedClass)
      continue;
    SpeedChange &change = changed.emplace_back();
    change.Machine = it.Name;
    if (it.ReportedClass)
      change.Before = speedOfClass(*it.ReportedClass);
    change.Speed = speedOfClass(*it.Class);
    change.Samples = it.Samples.size();
    if (!it.Samples.empty())
      change.OldestAt = it.Samples.front().At;
    it.ReportedClass = it.Class;
  }
  return changed;
}

std::map<double, std::size_t> SpeedEstimator::machinesBySpeed() const {
  std::map<double, std::size_t> out;
  for (const Machine &it : Machines)
    if (it.Class)
      ++out[speedOfClass(*it.Class)];
  return out;
}

} // namespace citrongap
