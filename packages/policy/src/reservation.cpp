// Creation, check and release of reservations.
#include "citrongap/policy/reservation.h"

#include <algorithm>
#include <utility>

namespace citrongap {

ReservationOptions reservationOptions(ServiceClass it) {
  switch (it) {
  case ServiceClass::Urgent:
    return UrgentReservation;
  case ServiceClass::Standard:
    return StandardReservation;
  case ServiceClass::Background:
    break;
  }
  return BackgroundReservation;
}

Reservation &Reservations::create(ReservationKind kind, const JobRequest &job,
                                  GangCells region, MonoTime preemptAt) {
  release(job.Id);
  LastNumber = LastNumber.next();
  const auto [promise, first] =
      PromisedPreemptAt.try_emplace(job.Id, preemptAt);
  promise->second = std::min(promise->second, preemptAt);
  Active.push_back(
      {LastNumber, kind, job.Id, std::move(region), promise->second});
  const auto it = std::prev(Active.end());
  ByJob[job.Id] = it;
  ByNumber[LastNumber] = &*it;
  Changed.insert(LastNumber);
  ByPreemptAt.emplace(it->PreemptAt, LastNumber);
  forEachSlot(it->Region, [&](ServerIndex server, std::uint32_t slot) {
    markChanged(Cells.slotState(server, slot).ReservedBy);
  });
  Cells.reserve(it->Region, it->Number);
  if (kind == ReservationKind::Shared)
    Shared += job.Gang;
  return *it;
}

void Reservations::release(const JobId &job) {
  const auto it = ByJob.find(job);
  if (it == ByJob.end())
    return;
  const auto reservation = it->second;
  Cells.release(reservation->Region, reservation->Number);
  if (reservation->Kind == ReservationKind::Shared)
    Shared.Count -= slotCount(reservation->Region);
  ByNumber.erase(reservation->Number);
  Changed.erase(reservation->Number);
  ByPreemptAt.erase({reservation->PreemptAt, reservation->Number});
  ByJob.erase(it);
  Active.erase(reservation);
}

void Reservations::forget(const JobId &job) {
  release(job);
  PromisedPreemptAt.erase(job);
}

const Reservation *Reservations::find(ReservationNumber number) const {
  if (number == ReservationNumber())
    return nullptr;
  const auto it = ByNumber.find(number);
  return it == ByNumber.end() ? nullptr : it->second;
}

void Reservations::markChanged(ReservationNumber number) {
  if (number != ReservationNumber())
    Changed.insert(number);
}

void Reservations::markAllChanged() {
  for (const Reservation &it : Active)
    Changed.insert(it.Number);
}

std::vector<JobId> Reservations::takeChangedJobs(MonoTime now) {
  while (!ByPreemptAt.empty() && ByPreemptAt.begin()->first <= now) {
    Changed.insert(ByPreemptAt.begin()->second);
    ByPreemptAt.erase(ByPreemptAt.begin());
  }
  std::vector<JobId> out;
  out.reserve(Changed.size());
  for (const ReservationNumber number : Changed)
    if (const Reservation *it = find(number))
      out.push_back(it->Job);
  Changed.clear();
  return out;
}

const Reservation *Reservations::findByJob(const JobId &job) const {
  const auto it = ByJob.find(job);
  return it == ByJob.end() ? nullptr : &*it->second;
}

bool Reservations::isUsableSlot(const Reservation &it, const JobRequest &job,
                                const SlotState &slot) const {
  if (slot.ReservedBy != it.Number)
    return false;
  const bool own = slot.ClaimedBy && slot.ClaimedBy->Account == job.Id.Account;
  if (it.Kind == ReservationKind::Footprint)
    return own && (!slot.Run || slot.Run->job().Repeatable);
  if (!job.Repeatable && slot.ClaimedBy && !own)
    return false;
  return !slot.Run || slot.Run->Revoking || !slot.isProtected();
}

bool Reservations::isUsable(const Reservation &it,
                            const JobRequest &job) const {
  bool good = true;
  forEachSlot(it.Region, [&](ServerIndex server, std::uint32_t slot) {
    good = good && Cells.placeable(server) &&
           isUsableSlot(it, job, Cells.slotState(server, slot));
  });
  return good;
}

std::vector<RunningJob *> Reservations::occupants(const Reservation &it) const {
  std::vector<RunningJob *> out;
  forEachSlot(it.Region, [&](ServerIndex server, std::uint32_t slot) {
    RunningJob *run = Cells.slotState(server, slot).Run;
    if (run && std::find(out.begin(), out.end(), run) == out.end())
      out.push_back(run);
  });
  return out;
}

} // namespace citrongap
