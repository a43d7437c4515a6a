// The faults of one seed: what befalls which part, when and for how long. They
// come in series and overlap.
#ifndef CITRONGAP_SOAK_FAULT_PLAN_H
#define CITRONGAP_SOAK_FAULT_PLAN_H

#include "judge.h"
#include "soak_site.h"

#include "citrongap/base/random.h"

#include <string>
#include <vector>

namespace citrongap::soak {

enum class FaultKind : std::uint8_t {
  VmKilled,
  VmStopped,
  VmPaused,
  VmReloads,
  StoreBusy,
  StoreSilent,
  StoreAnswersLost,
  StoreSlow,
  StoreReset,
  StoreRebalances,
  StoreCompacted,
  ServerCrashes,
  ServerLeaves,
  ServerCut,
  ServerAnswersLost,
  ServerLate,
  ServerReset,
  Publish,
  // These are planned in series only.
  OwnerKilled,
  CallsLate,
  // These are planned by planOddEntries() only.
  OddEntry,
  // These are planned by planDataCentres() only; the target is a data centre.
  DataCentreFromStore,
  DataCentreCut,
  Count
};

const char *describe(FaultKind kind);

struct PlannedFault {
  MonoTime At;
  FaultKind Kind;
  /// Index of the entry VM or server that it meets.
  std::size_t Target = 0;
  /// All entry VMs instead of one.
  bool Everywhere = false;
  Millis Span{0};
};

/// `count` faults between `from` and `until`, the same for the same seed.
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::size_t count,
                                     MonoTime from, MonoTime until,
                                     const SiteShape &shape);

/// Series of faults that outlast a lease: the owner is lost, servers carry
/// calls out late, and some are cut off while its successor asks for their
/// runs.
std::vector<PlannedFault> planSeries(std::uint64_t seed, MonoTime from,
                                     MonoTime until, const SiteShape &shape);
/// Entries of another writer that copy one of a server, without some fields.
std::vector<PlannedFault> planOddEntries(std::uint64_t seed, std::size_t count,
                                         MonoTime from, MonoTime until,
                                         const SiteShape &shape);
Millis seriesLength(const SiteShape &shape);
/// Series of `count` faults, a cut of a data centre from the store and one of a
/// data centre from servers and store; then time in which the site is calm
/// while load goes on.
std::vector<PlannedFault> planDataCentres(std::uint64_t seed, std::size_t count,
                                          MonoTime from, MonoTime until,
                                          const SiteShape &shape);

/// Carries faults out and takes them away after their span.
class FaultRunner {
public:
  FaultRunner(EventLoop &loop, SoakSite &site, Judge &judge)
      : Loop(loop), Site(site), Judging(judge), View(site.store()) {}

  void schedule(const PlannedFault &fault);
  /// The queue "extra" is in what was published last.
  bool extraPublished() const { return Extra; }

private:
  void begin(const PlannedFault &fault);
  void killOwner(Millis away);
  void onVm(const PlannedFault &fault, SoakVm &vm);
  void onServer(const PlannedFault &fault, SoakServer &server);
  /// Entry VMs of other data centres don't reach its servers either way. Its
  /// entry VMs still reach those of others: a server has one relay.
  void onDataCentre(const PlannedFault &fault);
  void undoLater(Millis span, std::function<void()> undo);

  EventLoop &Loop;
  SoakSite &Site;
  Judge &Judging;
  MemoryStoreView View;
  std::vector<Timer> Timers;
  bool Extra = true;
  unsigned OddEntries = 0;
};

} // namespace citrongap::soak

#endif // CITRONGAP_SOAK_FAULT_PLAN_H
