// Settings of one entry VM, read from INI; see docs/SETTINGS.md.
#ifndef CITRONGAP_DAEMON_SETTINGS_H
#define CITRONGAP_DAEMON_SETTINGS_H

#include "citrongap/base/findings.h"
#include "citrongap/base/ids.h"
#include "citrongap/base/ini_document.h"
#include "citrongap/base/time.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/net/http_server.h"

#include <string>

namespace citrongap {

/// Terms of leases and waits of one pod. Invariant: the lease term ends well
/// before the task term, so that a successor can adopt running gangs.
struct PodTerms {
  Millis LeaseTerm{3000};
  Millis TaskTerm{12000};
  /// How long a backend server may hold the answer to a sync.
  Millis SyncWait{1000};
  /// A prepared task that was not released so soon is dropped by its server.
  Millis StartBy{4000};
  /// A gang that lost sight of one of its servers for so long is stopped.
  Millis MemberLossAfter{5000};
};

struct Settings {
  EntryVmId Self;
  DataCentreId DataCentre;
  /// Callers' HTTP; the peer port is TCP and UDP on the same IP number.
  Endpoint Http;
  Endpoint Peer;
  Endpoint Platform;
  HttpLimits Limits;
  /// Memory that all connections of callers may hold together.
  std::size_t HeldBytes = 64U << 20U;
  /// Requests that may be open at one entry VM.
  std::size_t MaxOpenRequests = 20000;
  PodTerms Terms;
};

Checked<Settings> readSettings(IniDocument doc);
Checked<Settings> readSettingsFile(const std::string &path);

} // namespace citrongap

#endif // CITRONGAP_DAEMON_SETTINGS_H
