// Which data centre carries which guaranteed shape.
//
// A pure function of the configuration: it packs the guarantees of all accounts
// on the capacity that the lists declare, never on the servers that happen to
// live. So every node accepts and refuses the same lists, and every owner of a
// pod knows from its configuration alone which shapes its pod carries. Where
// these lie inside the pod is the owner's own choice (FootprintMap).
#ifndef CITRONGAP_POLICY_GUARANTEE_PACKING_H
#define CITRONGAP_POLICY_GUARANTEE_PACKING_H

#include "citrongap/policy/configuration.h"

#include <map>
#include <vector>

namespace citrongap {

/// One guaranteed shape of one account; `Count` is 1 or more.
struct AssignedShape {
  ClientAccountId Account;
  GuaranteedShape Shape;

  bool operator==(const AssignedShape &) const = default;
};

struct GuaranteePacking {
  /// Largest gang first, then by account; one entry for each account and gang.
  std::map<DataCentreId, std::vector<AssignedShape>> AssignedShapes;
  /// One finding for each plan whose shapes have no room.
  Findings PackingFindings;
};

/// Largest shapes first. Each shape goes to the first data centre with room in
/// an order that rendezvous hashing gives, so that a change of one plan moves
/// few shapes of others.
GuaranteePacking packGuarantees(const Configuration &configuration);

/// True when both have the same packing because they have the same accounts,
/// capacity and guaranteed shapes; far cheaper than packing.
bool sameGuarantees(const Configuration &lhs, const Configuration &rhs);

} // namespace citrongap

#endif // CITRONGAP_POLICY_GUARANTEE_PACKING_H
