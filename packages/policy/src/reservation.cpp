// Opening, checking and dropping reservations.
#include "citrongap/policy/reservation.h"

#include <algorithm>
#include <utility>

namespace citrongap {

ReservationTerms reservationTerms(ServiceClass it) {
  switch (it) {
  case ServiceClass::Urgent:
    return UrgentTerms;
  case ServiceClass::Standard:
    return StandardTerms;
  case ServiceClass::Background:
    break;
  }
  return BackgroundTerms;
}

Reservation &Reservations::open(ReservationKind kind, const JobRequest &job,
                                GangCells region, MonoTime preemptAt) {
  drop(job.Id);
  Last = Last.next();
  const auto [promise, first] = Promised.try_emplace(job.Id, preemptAt);
  promise->second = std::min(promise->second, preemptAt);
  Open.push_back({Last, kind, job.Id, std::move(region), promise->second});
  const auto it = std::prev(Open.end());
  ByJob[job.Id] = it;
  ByNumber[Last] = &*it;
  Touched.insert(Last);
  Due.emplace(it->PreemptAt, Last);
  forEachSlot(it->Region, [&](ServerIndex server, std::uint32_t slot) {
    touch(Cells.use(server, slot).HeldBy);
  });
  Cells.hold(it->Region, it->Number);
  if (kind == ReservationKind::Shared)
    Shared += job.Gang;
  return *it;
}

void Reservations::drop(const JobId &job) {
  const auto it = ByJob.find(job);
  if (it == ByJob.end())
    return;
  const auto open = it->second;
  Cells.letGo(open->Region, open->Number);
  if (open->Kind == ReservationKind::Shared)
    Shared.Count -= slotCount(open->Region);
  ByNumber.erase(open->Number);
  Touched.erase(open->Number);
  Due.erase({open->PreemptAt, open->Number});
  ByJob.erase(it);
  Open.erase(open);
}

void Reservations::forget(const JobId &job) {
  drop(job);
  Promised.erase(job);
}

const Reservation *Reservations::find(ReservationNumber number) const {
  if (number == ReservationNumber())
    return nullptr;
  const auto it = ByNumber.find(number);
  return it == ByNumber.end() ? nullptr : it->second;
}

void Reservations::touch(ReservationNumber number) {
  if (number != ReservationNumber())
    Touched.insert(number);
}

void Reservations::touchAll() {
  for (const Reservation &it : Open)
    Touched.insert(it.Number);
}

std::vector<JobId> Reservations::takeTouched(MonoTime now) {
  while (!Due.empty() && Due.begin()->first <= now) {
    Touched.insert(Due.begin()->second);
    Due.erase(Due.begin());
  }
  std::vector<JobId> out;
  out.reserve(Touched.size());
  for (const ReservationNumber number : Touched)
    if (const Reservation *it = find(number))
      out.push_back(it->Job);
  Touched.clear();
  return out;
}

const Reservation *Reservations::of(const JobId &job) const {
  const auto it = ByJob.find(job);
  return it == ByJob.end() ? nullptr : &*it->second;
}

bool Reservations::usableSlot(const Reservation &it, const JobRequest &job,
                              const SlotUse &use) const {
  if (use.HeldBy != it.Number)
    return false;
  const bool own = use.Claim && use.Claim->Account == job.Id.Account;
  if (it.Kind == ReservationKind::Footprint)
    return own && (!use.Run || use.Run->job().Repeatable);
  if (!job.Repeatable && use.Claim && !own)
    return false;
  return !use.Run || use.Run->Revoking || !use.secure();
}

bool Reservations::usable(const Reservation &it, const JobRequest &job) const {
  bool good = true;
  forEachSlot(it.Region, [&](ServerIndex server, std::uint32_t slot) {
    good = good && Cells.placeable(server) &&
           usableSlot(it, job, Cells.use(server, slot));
  });
  return good;
}

std::vector<RunningJob *> Reservations::occupants(const Reservation &it) const {
  std::vector<RunningJob *> out;
  forEachSlot(it.Region, [&](ServerIndex server, std::uint32_t slot) {
    RunningJob *run = Cells.use(server, slot).Run;
    if (run && std::find(out.begin(), out.end(), run) == out.end())
      out.push_back(run);
  });
  return out;
}

} // namespace citrongap
