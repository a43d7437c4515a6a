// Decaying failure counts, quarantine and probes.
#include "citrongap/policy/server_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citrongap {

namespace {

/// Limits the quarantine to 64 times the first one.
constexpr std::uint32_t MaxDoublings = 6;

} // namespace

double ServerHealth::Record::rate() const {
  const double runs = Failures + Successes;
  return runs > 0 ? Failures / runs : 0;
}

void ServerHealth::Record::decay(MonoTime now, Millis halfLife) {
  if (now <= DecayedAt)
    return;
  const auto passed = static_cast<double>((now - DecayedAt).count());
  const double factor =
      std::exp2(-passed / static_cast<double>(halfLife.count()));
  Failures *= factor;
  Successes *= factor;
  DecayedAt = now;
}

ServerHealth::Record &ServerHealth::recordOf(const BackendServerId &server,
                                             MonoTime now) {
  const auto [it, added] = Records.try_emplace(server);
  if (added) {
    it->second.DecayedAt = now;
    include(it->second);
  }
  return it->second;
}

void ServerHealth::exclude(const Record &record) {
  SumOfRates = std::max(0.0, SumOfRates - record.rate());
  --HealthyServers;
}

void ServerHealth::include(const Record &record) {
  SumOfRates += record.rate();
  ++HealthyServers;
}

double ServerHealth::meanRateOfOthers(const Record &record) const {
  if (HealthyServers <= 1)
    return 0;
  const double others = std::max(0.0, SumOfRates - record.rate());
  return others / (HealthyServers - 1);
}

void ServerHealth::quarantine(Record &record, MonoTime now) {
  if (!record.Quarantined) {
    exclude(record);
    ++QuarantinedServers;
  }
  record.Quarantined = true;
  record.OnProbation = false;
  record.Probing = false;
  record.ProbeAt =
      now + Options.FirstQuarantine *
                (1U << std::min(record.ConsecutiveQuarantines, MaxDoublings));
  ++record.ConsecutiveQuarantines;
}

void ServerHealth::release(Record &record, MonoTime now) {
  const bool wasQuarantined = record.Quarantined;
  record = Record();
  record.DecayedAt = now;
  if (wasQuarantined) {
    --QuarantinedServers;
    include(record);
  }
}

void ServerHealth::recordSuccess(const BackendServerId &server, MonoTime now) {
  Record &record = recordOf(server, now);
  if (record.Quarantined) {
    // Runs that started before the quarantine are no evidence of recovery; only
    // the probe is.
    if (record.Probing)
      release(record, now);
    return;
  }
  exclude(record);
  if (std::exchange(record.OnProbation, false)) {
    record.Failures = 0;
    record.ConsecutiveQuarantines = 0;
  }
  record.decay(now, Options.HalfLife);
  record.Successes += 1;
  record.LastRunFailed = false;
  record.LastSuccessAt = now;
  include(record);
}

void ServerHealth::recordProgress(const BackendServerId &server, MonoTime now) {
  recordOf(server, now).LastSuccessAt = now;
}

bool ServerHealth::recordFailure(const BackendServerId &server, MonoTime now,
                                 const std::string &cause) {
  Record &record = recordOf(server, now);
  const bool repeated = record.LastRunFailed && !cause.empty() &&
                        record.LastCause == cause &&
                        now < record.FailedAt + Options.HalfLife;
  record.LastRunFailed = true;
  record.FailedAt = now;
  record.LastCause = cause;
  if (record.Quarantined) {
    if (record.Probing && record.ProbesEarly)
      record.Probing = false;
    else if (record.Probing)
      quarantine(record, now);
    return false;
  }
  if (repeated)
    return false;
  exclude(record);
  record.decay(now, Options.HalfLife);
  record.Failures += 1;
  include(record);
  const bool faulty =
      record.OnProbation ||
      (record.Failures >= Options.MinFailures &&
       record.rate() >= Options.MinRate &&
       record.rate() >= Options.MinRateRatio * meanRateOfOthers(record));
  if (faulty)
    quarantine(record, now);
  return faulty;
}

void ServerHealth::withdrawFailure(const BackendServerId &server,
                                   MonoTime now) {
  const auto it = Records.find(server);
  if (it == Records.end())
    return;
  Record &record = it->second;
  if (!record.Quarantined)
    exclude(record);
  record.decay(now, Options.HalfLife);
  record.Failures = std::max(0.0, record.Failures - 1);
  record.LastRunFailed = false;
  if (!record.Quarantined)
    include(record);
  else if (record.Failures < Options.MinFailures)
    release(record, now);
}

bool ServerHealth::quarantined(const BackendServerId &server) const {
  const auto it = Records.find(server);
  return it != Records.end() && it->second.Quarantined;
}

bool ServerHealth::failedRecently(const BackendServerId &server,
                                  MonoTime now) const {
  const auto it = Records.find(server);
  return it != Records.end() && it->second.LastRunFailed &&
         now < it->second.FailedAt + Options.HalfLife;
}

bool ServerHealth::succeededRecently(const BackendServerId &server,
                                     MonoTime now) const {
  const auto it = Records.find(server);
  return it != Records.end() && it->second.LastSuccessAt &&
         !it->second.LastRunFailed && !it->second.Quarantined &&
         now < *it->second.LastSuccessAt + Options.HalfLife;
}

bool ServerHealth::probeDue(const BackendServerId &server, MonoTime now) const {
  const auto it = Records.find(server);
  return it != Records.end() && it->second.Quarantined && !it->second.Probing &&
         it->second.ProbeAt <= now;
}

bool ServerHealth::probeOverdue(const BackendServerId &server,
                                MonoTime now) const {
  return probeDue(server, now - Options.ProbeOverdueAfter);
}

bool ServerHealth::restedFor(const BackendServerId &server, Millis span,
                             MonoTime now) const {
  const auto it = Records.find(server);
  return it != Records.end() && it->second.Quarantined && !it->second.Probing &&
         now - it->second.FailedAt >= span;
}

void ServerHealth::startProbe(const BackendServerId &server, MonoTime now) {
  const auto it = Records.find(server);
  if (it == Records.end() || !it->second.Quarantined)
    return;
  it->second.Probing = true;
  it->second.ProbesEarly = now < it->second.ProbeAt;
}

void ServerHealth::startProbation(const BackendServerId &server, MonoTime now) {
  const auto it = Records.find(server);
  if (it == Records.end() || !it->second.Quarantined)
    return;
  Record &record = it->second;
  --QuarantinedServers;
  record.Quarantined = false;
  record.Probing = false;
  record.OnProbation = true;
  record.decay(now, Options.HalfLife);
  include(record);
}

void ServerHealth::abortProbe(const BackendServerId &server) {
  const auto it = Records.find(server);
  if (it != Records.end())
    it->second.Probing = false;
}

void ServerHealth::removeServer(const BackendServerId &server) {
  const auto it = Records.find(server);
  if (it == Records.end())
    return;
  if (it->second.Quarantined)
    --QuarantinedServers;
  else
    exclude(it->second);
  Records.erase(it);
}

} // namespace citrongap
