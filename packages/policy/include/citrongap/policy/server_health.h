// Which backend servers may take work, judged by what failed on them against
// the rest of the fleet.
#ifndef CITRONGAP_POLICY_SERVER_HEALTH_H
#define CITRONGAP_POLICY_SERVER_HEALTH_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace citrongap {

struct ServerHealthOptions {
  /// Failures and successes count half after this. Jobs of hours need a long
  /// memory; see pod_planner.h for those of seconds.
  Millis HalfLife{10 * 60 * 1000};
  /// Three failures; a single job's fault seldom meets a server so often.
  double MinFailures = 2.5;
  /// Part of the runs that failed.
  double MinRate = 0.5;
  double MinTimesOthers = 2;
  /// Doubles with each failed probe.
  Millis FirstQuarantine{30 * 1000};
};

/// A server is quarantined when it failed several times of late, most of what
/// it started, and at least twice as much as the others do on average. The
/// average is over servers, not tasks: a server that fails everything at once
/// draws more tasks than all others. After a while one probe task may run; its
/// success returns the server, its failure doubles the quarantine.
class ServerHealth {
public:
  explicit ServerHealth(ServerHealthOptions terms = {}) : Terms(terms) {}

  void recordSuccess(const BackendServerId &server, MonoTime now);
  /// True when this failure put the server into quarantine. A `cause`, such as
  /// a job, that failed there last counts once; empty for the server's fault.
  bool recordFailure(const BackendServerId &server, MonoTime now,
                     const std::string &cause = "");
  /// A run there got on.
  void recordProgress(const BackendServerId &server, MonoTime now);
  /// One failure turned out to be the job's fault; it no longer counts, and a
  /// quarantine that rested on it ends.
  void withdrawFailure(const BackendServerId &server, MonoTime now);

  bool quarantined(const BackendServerId &server) const;
  /// What ended there last failed, and not long ago: within one half-life.
  bool failedRecently(const BackendServerId &server, MonoTime now) const;
  /// Nothing failed there after the last success or progress, which lies within
  /// one half-life.
  bool succeededRecently(const BackendServerId &server, MonoTime now) const;
  /// A quarantined server that may take one repeatable task now.
  bool probeDue(const BackendServerId &server, MonoTime now) const;
  void startProbe(const BackendServerId &server);
  /// The probe ended without telling anything (cancelled, revoked).
  void abortProbe(const BackendServerId &server);

  void removeServer(const BackendServerId &server);
  std::uint32_t quarantinedCount() const { return QuarantinedServers; }

private:
  struct Record {
    /// Both decay with one half-life, so that their ratio does not.
    double Failures = 0;
    double Successes = 0;
    MonoTime DecayedAt;
    /// What ended last failed, at `FailedAt`, by `LastCause`.
    bool FailedLast = false;
    MonoTime FailedAt;
    std::string LastCause;
    /// Last success or progress.
    std::optional<MonoTime> WorkedAt;
    bool Quarantined = false;
    bool Probing = false;
    MonoTime ProbeAt;
    /// Quarantines in a row without a successful probe.
    std::uint32_t Strikes = 0;

    double rate() const;
    void decay(MonoTime now, Millis halfLife);
  };

  Record &recordOf(const BackendServerId &server, MonoTime now);
  double rateOfOthers(const Record &record) const;
  /// Takes the record out of the fleet's average, and puts it back.
  void exclude(const Record &record);
  void include(const Record &record);
  void quarantine(Record &record, MonoTime now);
  void release(Record &record, MonoTime now);

  ServerHealthOptions Terms;
  std::unordered_map<BackendServerId, Record> Records;
  /// Invariants: the sum of rate() over, and the number of, the records that
  /// are not quarantined.
  double SumOfRates = 0;
  std::uint32_t HealthyServers = 0;
  std::uint32_t QuarantinedServers = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_SERVER_HEALTH_H
