// The operators' two lists as one aggregate: customers' plans, and what each
// plan may use, together with the capacity that the lists declare.
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

/// One entry of the first list: a customer and the plan it has.
struct AccountEntry {
  ClientAccountId Account;
  PlanId Plan;

  bool operator==(const AccountEntry &) const = default;
};

/// `Count` gangs of `Gang` adjacent accelerators, reclaimable at any moment.
struct GuaranteedShape {
  Accelerators Gang;
  std::uint32_t Count = 1;

  bool operator==(const GuaranteedShape &) const = default;
};

/// One entry of the second list: what each account of a plan may use.
struct PlanEntry {
  PlanId Plan;
  /// Largest gang first.
  std::vector<GuaranteedShape> Guaranteed;
  /// Share of surplus accelerators, relative to other accounts.
  std::uint32_t Weight = 1;
  /// Urgent jobs an hour; the rest count as standard.
  std::uint32_t UrgentPerHour = 0;
  /// Jobs that may wait at one pod.
  std::uint32_t MaxQueued = 1000;
  /// Requests that are taken in a second at one entry VM.
  std::uint32_t RequestsPerSecond = 100;
  Accelerators LargestGang{128};

  bool operator==(const PlanEntry &) const = default;
};

/// The capacity of one data centre, as the lists declare it.
struct DataCentreEntry {
  DataCentreId DataCentre;
  std::uint32_t Racks = 1;
  std::uint32_t ServersPerRack = 1;
  Accelerators PerServer{8};

  Accelerators total() const {
    return {Racks * ServersPerRack * PerServer.Count};
  }
  bool operator==(const DataCentreEntry &) const = default;
};

/// Invariants: every account's plan exists; checked by validate().
struct Configuration {
  std::map<ClientAccountId, AccountEntry> Accounts;
  std::map<PlanId, PlanEntry> Plans;
  std::map<DataCentreId, DataCentreEntry> DataCentres;

  /// Null when the account or its plan is unknown.
  const PlanEntry *planOf(const ClientAccountId &account) const;
  bool operator==(const Configuration &) const = default;
};

/// Reads both lists; see docs/SETTINGS.md for their keys.
Checked<Configuration> parseConfiguration(IniDocument plans,
                                          IniDocument entitlements);
/// Reads both files.
Checked<Configuration>
readConfigurationFiles(const std::string &plansPath,
                       const std::string &entitlementsPath);

/// Everything wrong with a configuration by itself: a pure function of it.
Findings validate(const Configuration &configuration);

/// "8x1, 2x4": `gang`x`count`. Findings go under `place`.
std::vector<GuaranteedShape> parseShapes(const std::string &text,
                                         const std::string &place,
                                         Findings &findings);
std::string formatShapes(const std::vector<GuaranteedShape> &shapes);

} // namespace citrongap

#endif // CITRONGAP_POLICY_CONFIGURATION_H
