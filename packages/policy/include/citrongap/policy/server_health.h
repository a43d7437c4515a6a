// Which backend servers may take work, judged by what failed on them against
// the rest of the fleet.
#ifndef CITRONGAP_POLICY_SERVER_HEALTH_H
#define CITRONGAP_POLICY_SERVER_HEALTH_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"

#include <cstdint>
#include <unordered_map>

namespace citrongap {

/// A server is quarantined when it failed several times of late, most of what
/// it started, and at least twice as much as the others do on average. The
/// average is over servers, not tasks: a server that fails everything at once
/// draws more tasks than all others. After a while one probe task may run; its
/// success returns the server, its failure doubles the quarantine.
class ServerHealth {
public:
  void succeeded(const BackendServerId &server, MonoTime now);
  /// True when this failure put the server into quarantine.
  bool failed(const BackendServerId &server, MonoTime now);
  /// One failure turned out to be the job's fault; it no longer counts, and a
  /// quarantine that rested on it ends.
  void forgive(const BackendServerId &server, MonoTime now);

  bool quarantined(const BackendServerId &server) const;
  /// A quarantined server that may take one repeatable task now.
  bool probeDue(const BackendServerId &server, MonoTime now) const;
  void probeStarted(const BackendServerId &server);
  /// The probe ended without telling anything (cancelled, revoked).
  void probeAbandoned(const BackendServerId &server);

  void removeServer(const BackendServerId &server);
  std::uint32_t quarantinedCount() const { return QuarantinedServers; }

private:
  struct Record {
    /// Both decay with one half-life, so that their ratio does not.
    double Failures = 0;
    double Successes = 0;
    MonoTime DecayedAt;
    bool Quarantined = false;
    bool Probing = false;
    MonoTime ProbeAt;
    /// Quarantines in a row without a successful probe.
    std::uint32_t Strikes = 0;

    double rate() const;
    void decay(MonoTime now);
  };

  Record &recordOf(const BackendServerId &server, MonoTime now);
  double rateOfOthers(const Record &record) const;
  /// Takes the record out of the fleet's average, and puts it back.
  void exclude(const Record &record);
  void include(const Record &record);
  void quarantine(Record &record, MonoTime now);
  void release(Record &record, MonoTime now);

  std::unordered_map<BackendServerId, Record> Records;
  /// Invariants: the sum of rate() over, and the number of, the records that
  /// are not quarantined.
  double SumOfRates = 0;
  std::uint32_t HealthyServers = 0;
  std::uint32_t QuarantinedServers = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_SERVER_HEALTH_H
