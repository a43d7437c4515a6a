// Operator configuration from two lists: the plan of each client account, and
// the entitlements of each plan together with the declared capacity.
#ifndef CITRONGAP_POLICY_CONFIGURATION_H
#define CITRONGAP_POLICY_CONFIGURATION_H

#include "citrongap/base/findings.h"
#include "citrongap/base/ids.h"
#include "citrongap/base/ini_document.h"
#include "citrongap/base/units.h"

#include <map>
#include <string>
#include <vector>

namespace citrongap {

/// Entry of the first list: a client account and its plan.
struct AccountEntry {
  ClientAccountId Account;
  PlanId Plan;

  bool operator==(const AccountEntry &) const = default;
};

/// `Count` gangs of `Gang` adjacent accelerators that the account can reclaim
/// at any time.
struct GuaranteedShape {
  Accelerators Gang;
  std::uint32_t Count = 1;

  bool operator==(const GuaranteedShape &) const = default;
};

/// Entry of the second list: the entitlements of each account of a plan.
struct PlanEntry {
  PlanId Plan;
  /// Sorted by gang size, largest first.
  std::vector<GuaranteedShape> Guaranteed;
  /// Share of the surplus accelerators, relative to other accounts.
  std::uint32_t Weight = 1;
  /// Urgent jobs per hour; jobs beyond it are queued as standard.
  std::uint32_t UrgentPerHour = 0;
  /// Bound on the waiting jobs at one pod.
  std::uint32_t MaxQueued = 1000;
  /// Requests accepted per second at one entry VM.
  std::uint32_t RequestsPerSecond = 100;
  Accelerators LargestGang{128};

  bool operator==(const PlanEntry &) const = default;
};

/// Declared capacity of one data centre.
struct DataCentreEntry {
  DataCentreId DataCentre;
  std::uint32_t Racks = 1;
  std::uint32_t ServersPerRack = 1;
  /// Accelerators of each server.
  Accelerators PerServer{8};

  Accelerators total() const {
    return {Racks * ServersPerRack * PerServer.Count};
  }
  bool operator==(const DataCentreEntry &) const = default;
};

/// Invariant, checked by validate(): every account's plan exists.
struct Configuration {
  std::map<ClientAccountId, AccountEntry> Accounts;
  std::map<PlanId, PlanEntry> Plans;
  std::map<DataCentreId, DataCentreEntry> DataCentres;

  /// Null when the account or its plan is unknown.
  const PlanEntry *planOf(const ClientAccountId &account) const;
  bool operator==(const Configuration &) const = default;
};

/// Parses and validates both lists; see docs/SETTINGS.md for their keys.
Checked<Configuration> parseConfiguration(IniDocument plans,
                                          IniDocument entitlements);
/// Reads the two files and parses them with parseConfiguration().
Checked<Configuration>
readConfigurationFiles(const std::string &plansPath,
                       const std::string &entitlementsPath);

/// Reports all faults of a configuration. A pure function of its argument.
Findings validate(const Configuration &configuration);

/// Parses "8x1, 2x4", a list of `gang`x`count`; the count defaults to 1. Faults
/// are reported at `location`. The result is sorted by gang, largest first.
std::vector<GuaranteedShape> parseShapes(const std::string &text,
                                         const std::string &location,
                                         Findings &findings);
/// Formats shapes as parseShapes() accepts them.
std::string formatShapes(const std::vector<GuaranteedShape> &shapes);

} // namespace citrongap

#endif // CITRONGAP_POLICY_CONFIGURATION_H
