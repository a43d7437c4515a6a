// Quarantine of backend servers whose failure rate is high in itself and in
// comparison with the rest of the fleet.
#ifndef CITRONGAP_POLICY_SERVER_HEALTH_H
#define CITRONGAP_POLICY_SERVER_HEALTH_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace citrongap {

/// Tunables of `ServerHealth`.
struct ServerHealthOptions {
  /// Half-life of the failure and success counts. This value suits jobs that
  /// run for hours; pod_planner.h sets a shorter one for jobs of seconds.
  Millis HalfLife{10 * 60 * 1000};
  /// Decayed failure count for a quarantine; three recent failures reach it. A
  /// single faulty job rarely fails that often on one server.
  double MinFailures = 2.5;
  /// Minimum failed share of the server's runs, in [0, 1].
  double MinRate = 0.5;
  /// Minimum ratio of the server's failure rate to the mean of the others.
  double MinRateRatio = 2;
  /// Duration of the first quarantine; doubled by each failed probe.
  Millis FirstQuarantine{30 * 1000};
  /// A probe that has been due for this long is overdue.
  Millis ProbeOverdueAfter{10 * 60 * 1000};
};

/// Tracks the failure rate of each server. A server is quarantined if all of
/// these hold (with the default options):
///
/// - It has several recent failures.
/// - At least half of its recent runs failed.
/// - Its failure rate is at least twice the mean rate of the other servers.
///
/// The mean is taken over servers, not tasks, because a server that fails every
/// task immediately attracts more tasks than all others. When the quarantine
/// expires, one probe task may run: its success releases the server, its
/// failure doubles the quarantine. A probe that no work is fit for becomes
/// overdue, and the caller lets other work in.
class ServerHealth {
public:
  explicit ServerHealth(ServerHealthOptions options = {}) : Options(options) {}

  void recordSuccess(const BackendServerId &server, MonoTime now);
  /// Returns whether this failure quarantined the server. Consecutive failures
  /// with the same `cause`, such as a job, within one half-life count once. An
  /// empty cause attributes the failure to the server; it always counts.
  bool recordFailure(const BackendServerId &server, MonoTime now,
                     const std::string &cause = "");
  /// A run on the server reported progress.
  void recordProgress(const BackendServerId &server, MonoTime now);
  /// Removes one failure from the count because it was attributed to the job,
  /// and ends the quarantine if the remaining failures are too few for it.
  void withdrawFailure(const BackendServerId &server, MonoTime now);

  bool quarantined(const BackendServerId &server) const;
  /// The last run that ended on the server failed, within one half-life.
  bool failedRecently(const BackendServerId &server, MonoTime now) const;
  /// The server's last success or progress lies within one half-life, its last
  /// run did not fail, and it is not quarantined.
  bool succeededRecently(const BackendServerId &server, MonoTime now) const;
  /// The server is quarantined and may run one repeatable probe task now.
  bool probeDue(const BackendServerId &server, MonoTime now) const;
  /// No work that is preferred as a probe has come: any may be it, or the
  /// server would be lost to the fleet.
  bool probeOverdue(const BackendServerId &server, MonoTime now) const;
  /// The server is quarantined, no probe runs, and its last failure was this
  /// long ago.
  bool restedFor(const BackendServerId &server, Millis span,
                 MonoTime now) const;
  /// A probe that starts before it is due does not prolong the quarantine if it
  /// fails.
  void startProbe(const BackendServerId &server, MonoTime now);
  /// Ends the quarantine without a probe. The next failure begins the next one,
  /// the next success forgets this one.
  void startProbation(const BackendServerId &server, MonoTime now);
  /// The probe ended without a result, or its result is recorded.
  void abortProbe(const BackendServerId &server);

  void removeServer(const BackendServerId &server);
  std::uint32_t quarantinedCount() const { return QuarantinedServers; }

private:
  struct Record {
    /// Both decay with one half-life, so that their ratio does not.
    double Failures = 0;
    double Successes = 0;
    MonoTime DecayedAt;
    /// The last run to end failed, at `FailedAt`, with `LastCause`.
    bool LastRunFailed = false;
    MonoTime FailedAt;
    std::string LastCause;
    /// Time of the last success or progress.
    std::optional<MonoTime> LastSuccessAt;
    bool Quarantined = false;
    bool Probing = false;
    bool ProbesEarly = false;
    MonoTime ProbeAt;
    /// See startProbation(); ends with the next success or failure.
    bool OnProbation = false;
    /// Consecutive quarantines without a successful probe.
    std::uint32_t ConsecutiveQuarantines = 0;

    /// Failed share of the runs; 0 without runs.
    double rate() const;
    void decay(MonoTime now, Millis halfLife);
  };

  Record &recordOf(const BackendServerId &server, MonoTime now);
  /// Mean rate of the other servers that are not quarantined.
  double meanRateOfOthers(const Record &record) const;
  /// Removes a record from the mean of the rates, and adds it to the mean.
  void exclude(const Record &record);
  void include(const Record &record);
  void quarantine(Record &record, MonoTime now);
  void release(Record &record, MonoTime now);

  ServerHealthOptions Options;
  std::unordered_map<BackendServerId, Record> Records;
  /// Invariant: sum of rate() over the records that are not quarantined.
  double SumOfRates = 0;
  /// Invariant: number of the records that are not quarantined.
  std::uint32_t HealthyServers = 0;
  std::uint32_t QuarantinedServers = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_SERVER_HEALTH_H
