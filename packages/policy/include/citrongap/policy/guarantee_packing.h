// Assignment of guaranteed shapes to data centres.
//
// Packing is a pure function of the configuration: it uses the declared
// capacity, not the servers that are live. All nodes therefore accept and
// reject the same configurations, and each owner of a pod derives the shapes
// assigned to its pod from the configuration alone. The position of a shape
// inside the pod is decided by the owner (FootprintMap).
#ifndef CITRONGAP_POLICY_GUARANTEE_PACKING_H
#define CITRONGAP_POLICY_GUARANTEE_PACKING_H

#include "citrongap/policy/configuration.h"

#include <map>
#include <vector>

namespace citrongap {

/// A guaranteed shape of an account, assigned to a data centre.
/// Invariant: `Shape.Count` is at least 1.
struct AssignedShape {
  ClientAccountId Account;
  GuaranteedShape Shape;

  bool operator==(const AssignedShape &) const = default;
};

/// Result of packing all guarantees of a configuration.
struct GuaranteePacking {
  /// Ordered by gang, largest first, then by account; one entry for each
  /// account and gang.
  std::map<DataCentreId, std::vector<AssignedShape>> AssignedShapes;
  /// One finding for each plan whose shapes don't all fit.
  Findings PackingFindings;
};

/// Packs the largest shapes first. Each shape is assigned to the first data
/// centre with room, in rendezvous hashing order, so that a change of one plan
/// moves few shapes of other plans.
GuaranteePacking packGuarantees(const Configuration &configuration);

/// True if both configurations have the same accounts, capacity and guaranteed
/// shapes, and thus the same packing. Much cheaper than packing.
bool sameGuarantees(const Configuration &lhs, const Configuration &rhs);

} // namespace citrongap

#endif // CITRONGAP_POLICY_GUARANTEE_PACKING_H
