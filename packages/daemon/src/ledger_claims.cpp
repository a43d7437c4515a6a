// Claims, accepted jobs and outcomes through the ledger's writer.
#include "citrongap/daemon/ledger_claims.h"

#include "citrongap/base/log.h"
#include "citrongap/daemon/job_json.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"claims"};
constexpr Millis TakeOverPatience{3000};
constexpr Millis TakeOverAgainAfter{500};
constexpr Millis ClaimPatience{2000};
constexpr Millis RecordPatience{1000};
/// A claimed job starts within it, or its claim is given back.
constexpr Seconds StartWithin{10};
constexpr std::int64_t RetryWhenAway = 2000;

Recorded recordedOf(const RecordFate &fate) {
  const auto *read = std::get_if<RecordRead>(&fate);
  if (read && read->Effective)
    return Recorded::Yes;
  const bool never = read || std::holds_alternative<RecordNeverSent>(fate);
  return never ? Recorded::No : Recorded::Unclear;
}

/// Accepted jobs and refusals are of one submission of the key; claims and
/// results are of the key itself.
JobId submissionOf(const JobRequest &job) {
  return {job.Id.Account,
          RequestKey(job.Id.Key.str() + "#" + job.SubmissionId)};
}

} // namespace

LedgerClaims::LedgerClaims(EventLoop &loop, LogPort &log, const EntryVmId &self)
    : Loop(loop), Writer(loop, log, self, Random::fromDevice()) {}

void LedgerClaims::takeOver(const PodId &pod) {
  letGo();
  Pod = pod;
  askForPod();
}

void LedgerClaims::letGo() {
  Epoch = std::make_shared<int>(0);
  Retry.cancel();
  Held.reset();
  Pod = {};
}

void LedgerClaims::askForPod() {
  Writer.takeOver(
      Pod, monoNow() + TakeOverPatience,
      [this, epoch = std::weak_ptr<int>(Epoch)](const TakeOverResult &result) {
        if (epoch.expired())
          return;
        if (const auto *taken = std::get_if<PodTaken>(&result)) {
          Held = taken->By;
          LogLine("the log names this entry VM as holder of pod {}, term {}",
                  Pod.str(), Held->Term.value());
          return;
        }
        // The next term is higher than that of the take-over it lost to.
        const bool lost = std::holds_alternative<PodLost>(result);
        const Millis pause = lost ? Millis(0) : TakeOverAgainAfter;
        Retry = Loop.at(monoNow() + pause, [this] { askForPod(); });
      });
}

void LedgerClaims::claim(const JobRequest &job,
                         ClaimCircumstances circumstances,
                         std::function<void(const ClaimAnswer &)> callback) {
  if (const auto known = outcomeOf(job.Id)) {
    callback(ClaimDenied{*known});
    return;
  }
  if (Held) {
    claimAnew(job, circumstances, callback);
    return;
  }
  if (!circumstances.Fresh || names(job) || Writer.logReachable())
    callback(ClaimDeferred{"the log does not name this holder yet"});
  else
    callback(ClaimDenied{NotRun{
        "the platform's log is not reachable, and the job may start only once",
        RetryWhenAway}});
}

void LedgerClaims::claimAnew(
    const JobRequest &job, ClaimCircumstances circumstances,
    const std::function<void(const ClaimAnswer &)> &callback) {
  const WallTime startBy = std::min(job.Deadline, wallNow() + StartWithin);
  const bool fresh = circumstances.Fresh && !names(job);
  Writer.claim(
      {job.Id, Pod, *Held, startBy, job.Deadline}, monoNow() + ClaimPatience,
      [this, job, circumstances, startBy, fresh, callback,
       epoch = std::weak_ptr<int>(Epoch)](const ClaimResult &result) {
        if (epoch.expired()) {
          callback(ClaimDeferred{"the pod has another owner"});
          return;
        }
        std::visit(
            Overloaded{
                [&](const ClaimWon &it) {
                  callback(ClaimGranted{it.Claim.str(), startBy});
                },
                [&](const ClaimLost &it) {
                  onLost(job, it.By, circumstances.Fenced, callback);
                },
                [&](const ClaimNotMade &it) {
                  const bool lostPod = retakePodIfLost();
                  if (fresh && !lostPod)
                    callback(ClaimDenied{NotRun{it.Reason, RetryWhenAway}});
                  else
                    callback(ClaimDeferred{it.Reason});
                },
                [&](const ClaimUncertain &it) {
                  callback(ClaimDeferred{it.Reason});
                }},
            result);
      });
}

bool LedgerClaims::retakePodIfLost() {
  if (Held && Writer.ledger().holderOf(Pod) == Held)
    return false;
  if (Held) {
    LogLine("the log names another holder of pod {}", Pod.str());
    Held.reset();
    Retry = Loop.at(monoNow() + TakeOverAgainAfter, [this] { askForPod(); });
  }
  return true;
}

void LedgerClaims::onLost(
    const JobRequest &job, const JobEntry &by, bool fenced,
    const std::function<void(const ClaimAnswer &)> &callback) {
  if (by.Result) {
    callback(ClaimDenied{*by.Result});
    return;
  }
  const bool ours = by.Claim && by.Claim->Pod == Pod;
  if (!ours) {
    callback(ClaimDenied{
        Unknown{fmt::format("it is claimed by pod {}",
                            by.Claim ? by.Claim->Pod.str() : "unknown")}});
    return;
  }
  if (!fenced) {
    callback(ClaimDeferred{"some servers have not told what they run"});
    return;
  }
  // A claim of an earlier holder, or of this one, under which nothing started.
  release(job, by.Claim->Id.str(),
          [callback](bool) { callback(ClaimDeferred{"claimed before"}); });
}

void LedgerClaims::release(const JobRequest &job, const std::string &claim,
                           std::function<void(bool)> callback) {
  if (!Held) {
    callback(false);
    return;
  }
  Writer.release(ClaimId(claim), job.Id, *Held, monoNow() + RecordPatience,
                 [callback = std::move(callback)](const RecordFate &fate) {
                   callback(recordedOf(fate) == Recorded::Yes);
                 });
}

void LedgerClaims::accepted(const JobRequest &job,
                            std::function<void(Recorded)> callback) {
  const AttemptRecord record{job, "accepted", {}};
  Writer.recordAccepted(
      {submissionOf(job), job.Deadline, encodeAttempt(record)},
      monoNow() + RecordPatience,
      [callback = std::move(callback)](const RecordFate &fate) {
        callback(recordedOf(fate));
      });
}

void LedgerClaims::ended(const JobRequest &job,
                         const std::optional<std::string> &claim,
                         const Outcome &outcome,
                         std::function<void(Recorded)> callback) {
  JobEnded record{job.Id, std::nullopt, job.Deadline, outcome};
  if (std::holds_alternative<NotRun>(outcome)) {
    record.Job = submissionOf(job);
    write(std::move(record), std::move(callback));
    return;
  }
  const JobEntry *entry = Writer.ledger().find(job.Id);
  const bool ours = entry && entry->Claim && entry->Claim->Pod == Pod;
  const bool known = ours && (!claim || entry->Claim->Id.str() == *claim);
  if ((claim || ours) && (!known || !Held)) {
    callback(Recorded::No);
    return;
  }
  if (known)
    record.Under =
        EndedClaim{entry->Claim->Id, Pod, Held->Term, entry->Claim->Order};
  write(std::move(record), std::move(callback));
}

void LedgerClaims::write(JobEnded record,
                         std::function<void(Recorded)> callback) {
  Writer.recordEnded(std::move(record), monoNow() + RecordPatience,
                     [callback = std::move(callback)](const RecordFate &fate) {
                       callback(recordedOf(fate));
                     });
}

std::optional<Outcome> LedgerClaims::outcomeOf(const JobId &job) const {
  const JobEntry *entry = Writer.ledger().find(job);
  return entry ? entry->Result : std::nullopt;
}

bool LedgerClaims::names(const JobRequest &job) const {
  return Writer.ledger().find(job.Id) ||
         Writer.ledger().find(submissionOf(job));
}

std::vector<JobRequest> LedgerClaims::owed() const {
  std::vector<JobRequest> out;
  // Until the log names this holder, what was read of it may be old.
  if (!Held)
    return out;
  for (const JobEntry *it : Writer.ledger().waitingJobs()) {
    const auto record = decodeAttempt(*it->Accepted);
    if (record && !outcomeOf(record->Job.Id))
      out.push_back(record->Job);
  }
  return out;
}

} // namespace citrongap
