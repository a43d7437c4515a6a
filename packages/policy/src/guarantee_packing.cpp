// Packs guarantees into one CellPool per declared data centre.
#include "citrongap/policy/guarantee_packing.h"

#include "citrongap/base/hash.h"
#include "citrongap/policy/cells.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace citrongap {

namespace {

/// Declared capacity of one data centre. Must not be moved, because the pool
/// refers to the layout.
struct DeclaredPod {
  DataCentreId Id;
  std::uint64_t Hash = 0;
  PodLayout Layout;
  CellPool Pool{Layout};
};

using DeclaredPods = std::vector<std::unique_ptr<DeclaredPod>>;

/// A shape of one account that is to be packed.
struct RequestedShape {
  const AccountEntry *Entry = nullptr;
  Accelerators Gang;
  std::uint32_t Count = 0;
};

DeclaredPods declaredPods(const Configuration &configuration) {
  DeclaredPods pods;
  for (const auto &[id, entry] : configuration.DataCentres) {
    auto pod = std::make_unique<DeclaredPod>();
    pod->Id = id;
    pod->Hash = stableHash(id.str());
    for (std::uint32_t rack = 0; rack < entry.Racks; ++rack) {
      const RackIndex at = pod->Layout.addRack();
      for (std::uint32_t i = 0; i < entry.ServersPerRack; ++i) {
        const ServerIndex server =
            pod->Layout.addServer(at, i, entry.PerServer);
        pod->Pool.setAvailable(server, allSlots(entry.PerServer));
      }
    }
    pods.push_back(std::move(pod));
  }
  return pods;
}

std::vector<RequestedShape>
requestedShapes(const Configuration &configuration) {
  std::vector<RequestedShape> requested;
  for (const auto &[id, entry] : configuration.Accounts) {
    const PlanEntry *plan = configuration.planOf(id);
    if (!plan)
      continue;
    for (const GuaranteedShape &shape : plan->Guaranteed)
      requested.push_back({&entry, shape.Gang, shape.Count});
  }
  std::stable_sort(
      requested.begin(), requested.end(),
      [](const auto &lhs, const auto &rhs) { return lhs.Gang > rhs.Gang; });
  return requested;
}

/// Finalizer of splitmix64.
std::uint64_t mix(std::uint64_t n) {
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31);
}

/// Data centres in rendezvous order for one instance of a shape.
std::vector<DeclaredPod *> preferenceOrder(const DeclaredPods &pods,
                                           std::uint64_t accountHash,
                                           std::uint32_t instance) {
  std::vector<std::pair<std::uint64_t, DeclaredPod *>> ranked;
  for (const auto &it : pods)
    ranked.emplace_back(mix(it->Hash ^ mix(accountHash + instance)), it.get());
  std::sort(ranked.begin(), ranked.end(), [](const auto &lhs, const auto &rhs) {
    return lhs.first != rhs.first ? lhs.first > rhs.first
                                  : lhs.second->Id < rhs.second->Id;
  });
  std::vector<DeclaredPod *> out;
  out.reserve(ranked.size());
  for (const auto &[weight, pod] : ranked)
    out.push_back(pod);
  return out;
}

void assign(std::vector<AssignedShape> &shapes,
            const RequestedShape &requested) {
  const bool next = shapes.empty() ||
                    shapes.back().Account != requested.Entry->Account ||
                    shapes.back().Shape.Gang != requested.Gang;
  if (next)
    shapes.push_back({requested.Entry->Account, {requested.Gang, 0}});
  ++shapes.back().Shape.Count;
}

/// Packs the instances of a shape up to the first that does not fit. Returns
/// the number packed.
std::uint32_t packShape(const RequestedShape &requested,
                        const DeclaredPods &pods, GuaranteePacking &out) {
  const std::uint64_t hash =
      stableHash(requested.Entry->Account.str()) + requested.Gang.Count;
  for (std::uint32_t i = 0; i < requested.Count; ++i) {
    bool packed = false;
    for (DeclaredPod *pod : preferenceOrder(pods, hash, i)) {
      const auto cells = pod->Pool.find(requested.Gang);
      if (!cells)
        continue;
      pod->Pool.allocate(*cells);
      assign(out.AssignedShapes[pod->Id], requested);
      packed = true;
      break;
    }
    if (!packed)
      return i;
  }
  return requested.Count;
}

} // namespace

GuaranteePacking packGuarantees(const Configuration &configuration) {
  GuaranteePacking out;
  const DeclaredPods pods = declaredPods(configuration);
  std::map<PlanId, std::vector<std::string>> missing;
  for (const RequestedShape &it : requestedShapes(configuration)) {
    const std::uint32_t packed = packShape(it, pods, out);
    if (packed < it.Count)
      missing[it.Entry->Plan].push_back(
          fmt::format("{} of {}x{} for account {}", it.Count - packed,
                      it.Gang.Count, it.Count, it.Entry->Account.str()));
  }
  for (const auto &[plan, shapes] : missing)
    out.PackingFindings.add(
        fmt::format("plan {}", plan.str()),
        fmt::format("its guarantee does not fit the declared "
                    "capacity: no room for {}",
                    fmt::join(shapes, ", ")));
  return out;
}

bool sameGuarantees(const Configuration &lhs, const Configuration &rhs) {
  return lhs.Accounts == rhs.Accounts && lhs.DataCentres == rhs.DataCentres &&
         std::equal(lhs.Plans.begin(), lhs.Plans.end(), rhs.Plans.begin(),
                    rhs.Plans.end(), [](const auto &left, const auto &right) {
                      return left.first == right.first &&
                             left.second.Guaranteed == right.second.Guaranteed;
                    });
}

} // namespace citrongap
