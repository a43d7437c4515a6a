// Draws the faults of a seed and carries them out.
#include "fault_plan.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace citrongap::soak {

namespace {

constexpr unsigned EverywherePercent = 25;
/// What a fault may leave behind: a take-over, leases that must lapse (6 s, 2%
/// slow clocks), orders that arrive late.
constexpr Millis AfterEffects{9000};
constexpr Millis SlowStore{300};
/// Longer than entry VMs wait for an answer to an order.
constexpr Millis LateOrders{1500};
/// A call of a poll waits for 1200 ms at most, with the lease of a series.
constexpr Millis LateAtLeast{1300};
constexpr unsigned LatePercent = 80;
/// Kinds that are drawn one by one.
constexpr auto LastDrawn = static_cast<std::uint64_t>(FaultKind::Publish);
/// A series ends within so many leases.
constexpr int SeriesLeases = 4;
/// Its faults begin in the first seconds; 11 s of it at least are calm.
constexpr Seconds DataCentreSeries{30};
constexpr Millis FaultsBegin{4000};

} // namespace

const char *describe(FaultKind kind) {
  static constexpr std::array<const char *, 23> Names{
      "vm killed",           "vm stopped",
      "vm paused",           "vm reloads",
      "store busy",          "store silent",
      "store answers lost",  "store slow",
      "store reset",         "store rebalances",
      "store compacted",     "server crashes",
      "server leaves",       "server cut",
      "server answers lost", "server late",
      "server reset",        "publish",
      "owner killed",        "calls late",
      "odd entry",           "data centre loses the store",
      "data centre cut"};
  return Names.at(static_cast<std::size_t>(kind));
}

std::vector<PlannedFault> planFaults(std::uint64_t seed, std::size_t count,
                                     MonoTime from, MonoTime until,
                                     const SiteShape &shape) {
  Random numbers(seed);
  std::vector<PlannedFault> out;
  const auto span = static_cast<std::uint64_t>((until - from).count());
  for (std::size_t n = 0; n < count; ++n) {
    PlannedFault it;
    it.At = from + Millis(static_cast<std::int64_t>(numbers.between(0, span)));
    it.Kind = static_cast<FaultKind>(numbers.between(0, LastDrawn));
    const bool server = it.Kind >= FaultKind::ServerCrashes;
    it.Target =
        numbers.between(0, (server ? shape.Servers : shape.EntryVms) - 1U);
    it.Everywhere = numbers.between(1, 100) <= EverywherePercent;
    it.Span = Millis(static_cast<std::int64_t>(numbers.between(300, 3000)));
    out.push_back(it);
  }
  return out;
}

Millis seriesLength(const SiteShape &shape) {
  return shape.MaxLease * SeriesLeases;
}

std::vector<PlannedFault> planSeries(std::uint64_t seed, MonoTime from,
                                     MonoTime until, const SiteShape &shape) {
  Random numbers(seed);
  const auto draw = [&](Millis low, Millis high) {
    return Millis(static_cast<std::int64_t>(
        numbers.between(static_cast<std::uint64_t>(low.count()),
                        static_cast<std::uint64_t>(high.count()))));
  };
  const Millis lease = shape.MaxLease;
  std::vector<PlannedFault> out;
  for (MonoTime at = from; at < until; at += seriesLength(shape)) {
    const MonoTime late = at + draw(Millis(0), lease / 4);
    const MonoTime killed = late + Millis(300);
    const MonoTime cut = killed + draw(Millis(1000), Millis(2500));
    const Millis lateFor = draw(lease, lease * 2);
    const auto how = numbers.between(0, 1) == 0 ? FaultKind::ServerCut
                                                : FaultKind::ServerAnswersLost;
    out.push_back({killed, FaultKind::OwnerKilled, 0, false, Millis(1000)});
    for (std::size_t n = 0; n < shape.Servers; ++n) {
      out.push_back({late, FaultKind::CallsLate, n, false, lateFor});
      // They end between half a lease and a lease and a half after the leases
      // that the owner knows of.
      if (numbers.between(0, 1) == 0)
        out.push_back(
            {cut, how, n, false, draw(lease * 3 / 2, lease * 11 / 4)});
    }
  }
  return out;
}

std::vector<PlannedFault> planOddEntries(std::uint64_t seed, std::size_t count,
                                         MonoTime from, MonoTime until,
                                         const SiteShape &shape) {
  Random numbers(seed);
  std::vector<PlannedFault> out;
  const auto span = static_cast<std::uint64_t>((until - from).count());
  for (std::size_t n = 0; n < count; ++n)
    out.push_back(
        {from + Millis(static_cast<std::int64_t>(numbers.between(0, span))),
         FaultKind::OddEntry, numbers.between(0, shape.Servers - 1U), false,
         Millis(0)});
  return out;
}

std::vector<PlannedFault> planDataCentres(std::uint64_t seed, std::size_t count,
                                          MonoTime from, MonoTime until,
                                          const SiteShape &shape) {
  Random numbers(seed);
  const auto draw = [&](std::uint64_t low, std::uint64_t high) {
    return Millis(static_cast<std::int64_t>(numbers.between(low, high)));
  };
  std::vector<PlannedFault> out;
  for (MonoTime at = from; at < until; at += DataCentreSeries) {
    for (const PlannedFault &it :
         planFaults(numbers.engine()(), count, at, at + FaultsBegin, shape))
      out.push_back(it);
    const MonoTime first = at + draw(0, 1500);
    for (const auto &[when, kind] :
         {std::pair(first, FaultKind::DataCentreFromStore),
          {first + draw(0, 2500), FaultKind::DataCentreCut}})
      out.push_back({when, kind, numbers.between(0, shape.DataCentres - 1U),
                     false, draw(3000, 5500)});
  }
  return out;
}

void FaultRunner::schedule(const PlannedFault &fault) {
  Timers.push_back(Loop.at(fault.At, [this, fault] { begin(fault); }));
}

void FaultRunner::undoLater(Millis span, std::function<void()> undo) {
  Timers.push_back(Loop.at(monoNow() + span, std::move(undo)));
}

void FaultRunner::begin(const PlannedFault &fault) {
  const MonoTime now = monoNow();
  fmt::print("{} {} target {}{} for {} ms\n", toMillis(now),
             describe(fault.Kind), fault.Target,
             fault.Everywhere ? " (all)" : "", fault.Span.count());
  const bool harmless =
      fault.Kind == FaultKind::Publish || fault.Kind == FaultKind::OddEntry;
  if (!harmless)
    Judging.disturbedUntil(now + fault.Span + AfterEffects);
  switch (fault.Kind) {
  case FaultKind::StoreRebalances:
    Site.store().rebalance();
    return;
  case FaultKind::StoreCompacted:
    Site.store().compact(TopicId("keyed.jobs"));
    return;
  case FaultKind::OwnerKilled:
    killOwner(fault.Span);
    return;
  case FaultKind::Publish:
    Extra = !Extra;
    Site.publish(Extra);
    return;
  case FaultKind::OddEntry:
    Site.putOddEntry(Site.servers().at(fault.Target), ++OddEntries);
    return;
  case FaultKind::DataCentreFromStore:
  case FaultKind::DataCentreCut:
    onDataCentre(fault);
    return;
  default:
    break;
  }
  if (fault.Kind >= FaultKind::ServerCrashes) {
    onServer(fault, Site.servers().at(fault.Target));
    return;
  }
  for (std::size_t n = 0; n < Site.vms().size(); ++n)
    if (n == fault.Target || fault.Everywhere)
      onVm(fault, Site.vms()[n]);
}

void FaultRunner::onDataCentre(const PlannedFault &fault) {
  for (SoakVm &it : Site.vms())
    if (it.DataCentre == fault.Target)
      onVm({fault.At, FaultKind::StoreSilent, 0, false, fault.Span}, it);
  if (fault.Kind == FaultKind::DataCentreFromStore)
    return;
  for (SoakServer &it : Site.servers())
    if (it.DataCentre == fault.Target)
      onServer({fault.At, FaultKind::ServerCut, 0, false, fault.Span}, it);
}

void FaultRunner::killOwner(Millis away) {
  View.findOwner("", TopicId("keyed.jobs"), monoNow() + Seconds(1),
                 [this, away](const StoreResult<TopicOwner> &result) {
                   const auto *owner = std::get_if<TopicOwner>(&result);
                   for (SoakVm &it : Site.vms())
                     if (owner && owner->Member.starts_with(it.Name + "/"))
                       Site.kill(it, away);
                 });
}

void FaultRunner::onVm(const PlannedFault &fault, SoakVm &vm) {
  // Its way to the store fails, which may break what it holds open.
  if (fault.Kind >= FaultKind::StoreBusy)
    vm.DisturbedUntil =
        std::max(vm.DisturbedUntil, monoNow() + fault.Span + AfterEffects);
  switch (fault.Kind) {
  case FaultKind::VmKilled:
    Site.kill(vm, fault.Span);
    break;
  case FaultKind::VmStopped:
    Site.stop(vm, fault.Span);
    break;
  case FaultKind::VmPaused:
    Site.pause(vm, fault.Span);
    break;
  case FaultKind::VmReloads:
    Site.reload(vm);
    break;
  case FaultKind::StoreBusy:
    vm.Store->faults().Busy = true;
    undoLater(fault.Span, [&vm] { vm.Store->faults().Busy = false; });
    break;
  case FaultKind::StoreSilent:
    vm.ToStore->setCut(true);
    undoLater(fault.Span, [&vm] { vm.ToStore->setCut(false); });
    break;
  case FaultKind::StoreAnswersLost:
    vm.ToStore->setCut(false, true);
    undoLater(fault.Span, [&vm] { vm.ToStore->setCut(false); });
    break;
  case FaultKind::StoreSlow:
    vm.ToStore->setDelay(SlowStore);
    undoLater(fault.Span, [&vm] { vm.ToStore->setDelay(Millis(0)); });
    break;
  case FaultKind::StoreReset:
    vm.ToStore->reset();
    break;
  default:
    break;
  }
}

void FaultRunner::onServer(const PlannedFault &fault, SoakServer &server) {
  switch (fault.Kind) {
  case FaultKind::ServerCrashes:
    Site.crash(server, fault.Span);
    break;
  case FaultKind::ServerLeaves:
    Site.drain(server);
    break;
  case FaultKind::ServerCut:
    server.Relay->setCut(true);
    undoLater(fault.Span, [&server] { server.Relay->setCut(false); });
    break;
  case FaultKind::ServerAnswersLost:
    server.Relay->setCut(false, true);
    undoLater(fault.Span, [&server] { server.Relay->setCut(false); });
    break;
  case FaultKind::ServerLate:
    server.Relay->setDelay(LateOrders);
    undoLater(fault.Span, [&server] { server.Relay->setDelay(Millis(0)); });
    break;
  case FaultKind::CallsLate:
    // Some are late for longer than a lease.
    server.Standin->setLate(
        {LatePercent, LateAtLeast, Site.shape().MaxLease * 5 / 4});
    undoLater(fault.Span, [&server] { server.Standin->setLate({}); });
    break;
  case FaultKind::ServerReset:
    server.Relay->reset();
    break;
  default:
    break;
  }
}

} // namespace citrongap::soak
