// Reservations of cells for one waiting gang until the cells are idle.
//
// A reservation first drains: only backfill that is expected to end in time
// starts on its cells. From PreemptAt on, jobs that still run there are
// revoked. Only repeatable work is revoked, so a gang whose reservation is
// granted starts at the latest
//     ReserveDelay + DrainTimeout of its class + the time to stop the jobs
// after it was queued. A reservation is granted if
//   - enough cells without unrepeatable work exist,
//   - the account is within its fair share of the pod, and
//   - earlier reservations leave room.
// Guaranteed shapes need none of this: their borrowers are revoked at once, so
// that the reclaim bound is the time to stop them.
#ifndef CITRONGAP_POLICY_RESERVATION_H
#define CITRONGAP_POLICY_RESERVATION_H

#include "citrongap/policy/pod_cells.h"

#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citrongap {

/// Time that a gang of one class waits before cells are reserved for it, and
/// time that these cells drain before the jobs on them are revoked.
struct ReservationOptions {
  Millis ReserveDelay;
  Millis DrainTimeout;
};

inline constexpr ReservationOptions UrgentReservation{Millis(0), Millis(0)};
inline constexpr ReservationOptions StandardReservation{Seconds(300),
                                                        Seconds(14100)};
inline constexpr ReservationOptions BackgroundReservation{Seconds(1800),
                                                          Seconds(10800)};

/// A gang that has waited this long, fits in one server and belongs to an
/// account within its fair share preempts the youngest work of the account that
/// most exceeds its own share.
inline constexpr Millis FairShareReclaimDelay = Seconds(30);

/// Reservation times of a service class.
ReservationOptions reservationOptions(ServiceClass it);

/// Longest wait of a standard gang whose reservation is granted, without the
/// time to stop the preempted jobs.
inline constexpr Millis StarvationBound =
    StandardReservation.ReserveDelay + StandardReservation.DrainTimeout;

/// Shared reservations hold at most 1 / ReservedShareDivisor of the pod. The
/// first one is granted whatever its size.
inline constexpr std::uint32_t ReservedShareDivisor = 4;

/// Which cells a reservation may hold.
enum class ReservationKind : std::uint8_t {
  /// Cells of a footprint of the job's own account.
  Footprint,
  /// Any cells.
  Shared
};

/// Cells reserved for one waiting job.
struct Reservation {
  ReservationNumber Number;
  ReservationKind Kind = ReservationKind::Shared;
  JobId Job;
  GangCells Region;
  /// Jobs that run in the region at this time are revoked.
  MonoTime PreemptAt;
};

/// The reservations of a pod, at most one for each job.
class Reservations {
public:
  explicit Reservations(PodCells &cells) : Cells(cells) {}

  /// Reserves `region` for the job; its cells are taken from earlier
  /// reservations. Replaces an earlier reservation of the job.
  Reservation &create(ReservationKind kind, const JobRequest &job,
                      GangCells region, MonoTime preemptAt);
  /// Releases the cells. The PreemptAt of a later reservation of the job is
  /// never later than that of this one.
  void release(const JobId &job);
  /// Releases the cells of a job that started or left the queue.
  void forget(const JobId &job);

  bool contains(const JobId &job) const { return ByJob.contains(job); }
  const Reservation *find(ReservationNumber number) const;
  const std::list<Reservation> &all() const { return Active; }
  /// Marks a reservation for a check after a change of one of its cells; 0 is
  /// ignored.
  void markChanged(ReservationNumber number);
  /// Marks all reservations for a check after a change of servers or
  /// footprints.
  void markAllChanged();
  /// Returns the jobs whose reservation was marked or reached its PreemptAt
  /// since the last call, in the order of creation.
  std::vector<JobId> takeChangedJobs(MonoTime now);
  const Reservation *findByJob(const JobId &job) const;
  /// Accelerators held by shared reservations.
  Accelerators shared() const { return Shared; }

  /// False if the region can no longer serve the job: a server accepts no new
  /// work, another reservation took cells, or work that can't be preempted runs
  /// there.
  bool isUsable(const Reservation &it, const JobRequest &job) const;
  /// Jobs that run in the region, each once.
  std::vector<RunningJob *> occupants(const Reservation &it) const;

private:
  bool isUsableSlot(const Reservation &it, const JobRequest &job,
                    const SlotState &slot) const;

  PodCells &Cells;
  /// In the order of creation.
  std::list<Reservation> Active;
  std::map<ReservationNumber, const Reservation *> ByNumber;
  std::set<ReservationNumber> Changed;
  /// Reservations whose PreemptAt takeChangedJobs() has not reported yet.
  std::set<std::pair<MonoTime, ReservationNumber>> ByPreemptAt;
  std::unordered_map<JobId, std::list<Reservation>::iterator> ByJob;
  /// Earliest PreemptAt of the job's reservations. Invariant: never moves to a
  /// later time while the job waits.
  std::unordered_map<JobId, MonoTime> PromisedPreemptAt;
  Accelerators Shared;
  ReservationNumber LastNumber;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_RESERVATION_H
