// Speeds of the machines: taken over from the owner before, logged, and stored.
#include "citrongap/control/pod_controller.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// When an owner without stored speeds has rated its machines, thousands of
/// them change at once.
constexpr std::size_t MaxLoggedChanges = 20;

} // namespace

void PodController::restoreSpeeds() {
  Speeds = {};
  std::size_t machines = 0;
  for (const auto &[group, record] : Registry.speedRecords()) {
    auto read = decodeSpeeds(record);
    if (const auto *findings = std::get_if<Findings>(&read)) {
      ++Metrics.Speeds.UnreadableRecords;
      Log("owner", "speeds_left_out", "key={} why=\"{}\"", speedKey(group),
          findings->text());
      continue;
    }
    auto &speeds = std::get<MachineSpeeds>(read);
    // Of another group: the speed in its own record counts.
    std::erase_if(speeds, [n = group](const auto &it) {
      return speedGroupOf(it.first) != n;
    });
    for (const auto &[machine, speed] : speeds)
      Planner->restoreSpeed(machine, speed);
    machines += speeds.size();
    Speeds.restore(group, std::move(speeds));
  }
  if (machines > 0)
    Log("owner", "speeds_restored", "machines={}", machines);
}

void PodController::reportSpeeds() {
  const SpeedEstimator &estimator = Planner->speeds();
  Metrics.Speeds.SamplesUsed = estimator.samplesUsed();
  Metrics.Speeds.SamplesIgnored = estimator.samplesIgnored();
  const MonoTime now = monoNow();
  if (now >= NextSpeedCount) {
    NextSpeedCount = now + Options.SpeedRecordInterval;
    Metrics.Speeds.Machines = estimator.machinesBySpeed();
  }
  const std::vector<SpeedChange> changes = Planner->takeChangedSpeeds();
  if (changes.empty())
    return;
  for (const SpeedChange &it : changes)
    Speeds.set(it.Machine, it.Speed);
  const std::size_t logged = std::min(changes.size(), MaxLoggedChanges);
  for (std::size_t n = 0; n < logged; ++n) {
    const SpeedChange &it = changes[n];
    Log("speed", "changed",
        "machine={} before={:.2f} now={:.2f} samples={} oldest_ms={}",
        it.Machine, it.Before.value_or(0), it.Speed, it.Samples,
        it.OldestAt ? (now - *it.OldestAt).count() : 0);
  }
  if (logged < changes.size())
    Log("speed", "more_changed", "machines={}", changes.size() - logged);
}

void PodController::recordSpeeds(std::vector<KeyedRecord> &records) {
  std::size_t bytes = 0;
  for (const KeyedRecord &it : records)
    bytes += storedBytes(it);
  if (bytes >= Options.Appender.MaxBatchBytes)
    return;
  const MonoTime now = monoNow();
  auto record = Speeds.takeDue(now, now + Options.SpeedRecordInterval,
                               Options.Appender.MaxBatchBytes - bytes,
                               [this](const std::string &it) {
                                 return LatestIncarnations.contains(it);
                               });
  if (record)
    records.push_back(std::move(*record));
}

} // namespace citrongap
