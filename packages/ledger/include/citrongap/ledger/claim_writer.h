// Claims, outcomes and take-overs of one node in the stream "jobs". Each
// answer is read from the log at the record's own place, never assumed.
#ifndef CITRONGAP_LEDGER_CLAIM_WRITER_H
#define CITRONGAP_LEDGER_CLAIM_WRITER_H

#include "citrongap/ledger/claim_ledger.h"
#include "citrongap/ledger/log_reader.h"
#include "citrongap/ledger/record_appender.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace citrongap {

struct ClaimRequest {
  JobId Job;
  PodId Pod;
  /// This node's, as its take-over gave it.
  PodHolding By;
  /// Nothing starts under the claim past it.
  WallTime StartBy;
  /// The request's deadline.
  WallTime Deadline;
};

/// The job may be started, until `StartBy`.
struct ClaimWon {
  ClaimId Claim;
};

/// The job is claimed elsewhere or has its outcome: ask again with its key.
struct ClaimLost {
  JobEntry By;
};

/// Not run: nothing of this claim is in the log's effect, nor ever will be,
/// and no other claim held the job where that was read.
struct ClaimNotMade {
  std::string Reason;
};

/// It can't be told whether the job runs or will run under this claim.
struct ClaimUncertain {
  std::string Reason;
};

using ClaimResult =
    std::variant<ClaimWon, ClaimLost, ClaimNotMade, ClaimUncertain>;

/// This node holds the pod from the record's place on.
struct PodTaken {
  PodHolding By;
};

/// Another node was first.
struct PodLost {
  std::optional<PodHolding> By;
};

struct TakeOverUncertain {
  std::string Reason;
};

using TakeOverResult = std::variant<PodTaken, PodLost, TakeOverUncertain>;

struct ClaimWriterSettings {
  LogReaderSettings Reading;
  RecordAppenderSettings Appending;
  /// How long a claim may wait, unsent, for the log to be reachable.
  Millis OutageWait{500};
  /// How long after a claim's deadline its void may take.
  Millis VoidTime{1000};
  /// How long the log keeps a record.
  Millis Retention{24 * 3600 * 1000};
};

class ClaimWriter {
public:
  ClaimWriter(EventLoop &loop, LogPort &log, EntryVmId self,
              const Random &random, ClaimWriterSettings settings = {});

  void start();

  /// The result comes by `deadline` plus `VoidTime`; in an outage after
  /// `OutageWait`.
  void claim(const ClaimRequest &request, MonoTime deadline,
             std::function<void(const ClaimResult &)> callback);
  /// Gives a won claim back so that another pod may run the job. Only when
  /// no start under it can take effect any more. `RecordRead::Effective` is
  /// false when a successor holds the pod: then it may run there.
  void release(const ClaimId &claim, const JobId &job, const PodHolding &by,
               MonoTime deadline, RecordCallback callback);
  /// Once `RecordRead`, the job outlives this node. Not effective: the key
  /// names another request.
  void recordAccepted(const JobAccepted &job, MonoTime deadline,
                      RecordCallback callback);
  /// Once read as effective, servers may forget the job's tasks. Not
  /// effective: another outcome counts, or a successor decides.
  void recordEnded(JobEnded ended, MonoTime deadline, RecordCallback callback);
  /// Once `PodTaken`, every earlier record of the pod has been read.
  void takeOver(const PodId &pod, MonoTime deadline,
                const std::function<void(const TakeOverResult &)> &callback);

  const ClaimLedger &ledger() const { return Ledger; }
  /// True once the log was read to its end.
  bool caughtUp() const { return CaughtUp; }
  bool logReachable() const { return Appender.reachable(); }
  std::uint64_t appends() const { return Appender.appends(); }

private:
  struct ClaimCall {
    JobClaim Record;
    MonoTime Deadline;
    std::function<void(const ClaimResult &)> Callback;
  };
  using ClaimCallPtr = std::shared_ptr<ClaimCall>;

  void onPage(const LogPage &page);
  void submit(JobRecordBody body, const std::string &id, MonoTime deadline,
              RecordCallback callback);
  std::string newId() { return Numbers.uniqueId(); }
  JobRecordBody voidOf(const JobClaim &claim) const;
  void onClaimFate(const ClaimCallPtr &call, const RecordFate &fate);
  ClaimResult claimAt(const JobClaim &claim, bool effective) const;
  void giveUp(const ClaimCallPtr &call);
  void onVoidFate(const ClaimCallPtr &call, const RecordFate &fate);
  void voidLater(const JobClaim &claim);
  void scheduleKeeping();
  void keepRecords();
  MonoTime toMono(WallTime at) const;

  EventLoop &Loop;
  EntryVmId Self;
  Random Numbers;
  ClaimWriterSettings Settings;
  ClaimLedger Ledger;
  LogReader Reader;
  RecordAppender Appender;
  bool CaughtUp = false;
  Timer KeepTimer;
};

} // namespace citrongap

#endif // CITRONGAP_LEDGER_CLAIM_WRITER_H
