// Cells that are kept for one waiting gang until nothing runs on them.
//
// A reservation drains first: nothing new starts on its cells but backfill that
// should end in time. From PreemptAt on, what still runs there is revoked. All
// revoked work is repeatable, so the gang starts at the latest
//     ReserveAfter + DrainFor of its class + the time that the stops take
// after it was queued, once a reservation is granted: when cells without
// unrepeatable work are enough for it, its account is within its fair share of
// the pod, and earlier reservations leave room. Shapes of a guarantee skip all
// of this: their borrowers are revoked at once, so that the reclaim bound is
// the time that the stops take.
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

/// When a waiting gang of one class gets cells reserved, and how long these
/// drain before what runs on them is revoked.
struct ReservationTerms {
  Millis ReserveAfter;
  Millis DrainFor;
};

inline constexpr ReservationTerms UrgentTerms{Millis(0), Millis(0)};
inline constexpr ReservationTerms StandardTerms{Seconds(300), Seconds(6900)};
inline constexpr ReservationTerms BackgroundTerms{Seconds(1800),
                                                  Seconds(10800)};

/// From then on, a gang that fits in one server and whose account is within its
/// fair share takes the place of the youngest work of the account that is
/// furthest beyond its own.
inline constexpr Millis ShareReclaimAfter = Seconds(30);

ReservationTerms reservationTerms(ServiceClass it);

/// Longest wait of a standard gang that is granted a reservation, without the
/// time that the stops take.
inline constexpr Millis StarvationBound =
    StandardTerms.ReserveAfter + StandardTerms.DrainFor;

/// Shared reservations hold at most 1 / MaxReservedPart of the pod, but always
/// the first one.
inline constexpr std::uint32_t MaxReservedPart = 4;

enum class ReservationKind : std::uint8_t {
  /// On a footprint cell of the job's own account.
  Footprint,
  /// On any cells.
  Shared
};

struct Reservation {
  ReservationNumber Number;
  ReservationKind Kind = ReservationKind::Shared;
  JobId Job;
  GangCells Region;
  MonoTime PreemptAt;
};

class Reservations {
public:
  explicit Reservations(PodCells &cells) : Cells(cells) {}

  /// Holds `region` for the job, also against reservations made before.
  Reservation &open(ReservationKind kind, const JobRequest &job,
                    GangCells region, MonoTime preemptAt);
  /// Lets the cells go. A later reservation of the job keeps its PreemptAt.
  void drop(const JobId &job);
  /// The job started or left.
  void forget(const JobId &job);

  bool contains(const JobId &job) const { return ByJob.contains(job); }
  const Reservation *find(ReservationNumber number) const;
  const std::list<Reservation> &all() const { return Open; }
  /// Something changed on a cell that it holds; 0 is none.
  void touch(ReservationNumber number);
  /// Servers or footprints changed: each has to be looked at.
  void touchAll();
  /// Jobs whose reservation was touched or reached its PreemptAt since the last
  /// call, in the order of opening.
  std::vector<JobId> takeTouched(MonoTime now);
  const Reservation *of(const JobId &job) const;
  /// Accelerators under shared reservations.
  Accelerators shared() const { return Shared; }

  /// False when the region can't serve any more: a server left, another
  /// reservation took cells, or work came that can't be stopped.
  bool usable(const Reservation &it, const JobRequest &job) const;
  /// What runs in the region, each once.
  std::vector<RunningJob *> occupants(const Reservation &it) const;

private:
  bool usableSlot(const Reservation &it, const JobRequest &job,
                  const SlotUse &use) const;

  PodCells &Cells;
  /// In the order of opening.
  std::list<Reservation> Open;
  std::map<ReservationNumber, const Reservation *> ByNumber;
  std::set<ReservationNumber> Touched;
  /// Those whose PreemptAt was not taken yet.
  std::set<std::pair<MonoTime, ReservationNumber>> Due;
  std::unordered_map<JobId, std::list<Reservation>::iterator> ByJob;
  /// Invariant: never moves to later while the job waits.
  std::unordered_map<JobId, MonoTime> Promised;
  Accelerators Shared;
  ReservationNumber Last;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_RESERVATION_H
