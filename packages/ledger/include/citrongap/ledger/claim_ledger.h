// Which claim holds which job, and who holds which pod: a pure function of
// the stream "jobs". Its rules are argued in docs/design/claims.md.
#ifndef CITRONGAP_LEDGER_CLAIM_LEDGER_H
#define CITRONGAP_LEDGER_CLAIM_LEDGER_H

#include "citrongap/ledger/job_record.h"
#include "citrongap/platform/log_port.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace citrongap {

class ClaimLedger {
public:
  /// Applies the record at `offset`; one in front of next() is ignored. True
  /// when it is in effect at its place: a claim holds its job, a void's claim
  /// is void, the pod is held as a take-over says, an outcome is the job's.
  bool apply(LogOffset offset, const JobRecord &record);
  /// The same for a record that can't be read.
  void skip(LogOffset offset);
  /// Told with every page. When records were missed everything is forgotten:
  /// what is still needed was written again.
  void retainFrom(LogOffset first);
  /// Drops what no claim that may still start can depend on.
  void forget(WallTime now);

  /// Null when the log says nothing of the job.
  const JobEntry *find(const JobId &job) const;
  std::optional<PodHolding> holderOf(const PodId &pod) const;
  /// Claims of the pod without an outcome: its holder has to see to them.
  std::vector<const JobEntry *> openClaims(const PodId &pod) const;
  /// Accepted jobs without a claim or an outcome.
  std::vector<const JobEntry *> waitingJobs() const;
  /// Entries of which some record was written before `at`.
  std::vector<const JobEntry *> jobsKeptBefore(WallTime at) const;
  /// Pods whose take-over was written before `at`.
  std::vector<PodTakeOver> podsKeptBefore(WallTime at) const;

  /// The same text for states in which every later record has the same
  /// effect; does not tell offsets.
  std::string digest() const;

  LogOffset next() const { return Next; }
  std::size_t jobs() const { return Jobs.size(); }
  std::size_t spentClaims() const { return Spent.size(); }
  std::uint64_t brokenRecords() const { return Broken; }

  /// A key may be used anew this long after its deadline; covers clocks that
  /// differ between entry VMs.
  static constexpr Millis ReuseAfter{60 * 1000};
  /// Claims written before that moment can't start any more after it.
  static constexpr Millis ForgetAfter = ReuseAfter + MaxClaimLife + ReuseAfter;

private:
  /// Where and when a record was written.
  struct Place {
    LogOffset Offset;
    WallTime At;
  };
  struct Pod {
    PodHolding By;
    WallTime Kept;
  };

  bool accept(Place place, const JobAccepted &it);
  bool claim(Place place, const JobClaim &it);
  bool makeVoid(const ClaimVoid &it);
  bool end(Place place, const JobEnded &it);
  bool keep(Place place, const JobKept &it);
  JobEntry &entryFor(Place place, const JobId &job, WallTime deadline);
  void spendLater(const JobId &job, const ClaimId &claim, LogOffset order,
                  WallTime deadline);
  void dropExpired(const JobId &job, WallTime at);
  bool termIsCurrent(const PodId &pod, PodTerm term) const;
  bool raiseTerm(Place place, const PodId &pod, const PodHolding &by);

  LogOffset Next;
  std::unordered_map<JobId, JobEntry> Jobs;
  /// Invariant: terms never decrease.
  std::map<PodId, Pod> Pods;
  /// Claims that lost or are void, with their jobs' deadlines: a late copy
  /// must not win. Invariant: disjoint from the claims in `Jobs`.
  std::unordered_map<ClaimId, WallTime> Spent;
  std::uint64_t Broken = 0;
};

} // namespace citrongap

#endif // CITRONGAP_LEDGER_CLAIM_LEDGER_H
