// From requests to records and from records read back to results.
#include "citrongap/ledger/claim_writer.h"

#include "citrongap/base/log.h"
#include "citrongap/ledger/configuration_change.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

constexpr Log Logger("claims");
const std::string Stream = "jobs";
/// Largest result of a job that is kept, in bytes.
constexpr std::size_t MaxKeptAnswer = 32U << 10U;
/// The same, of a record with a result. A kept entry of the job has a few more
/// fields than the record of its end.
constexpr std::size_t MaxEndedBytes = MaxRecordBytes - 2048;

} // namespace

ClaimWriter::ClaimWriter(EventLoop &loop, LogPort &log, EntryVmId self,
                         const Random &random, ClaimWriterSettings settings)
    : Loop(loop), Self(std::move(self)), Numbers(random), Settings(settings),
      Reader(
          loop, log, Stream, [this] { return Ledger.next(); },
          Random(Numbers.between(0, UINT64_MAX)), settings.Reading),
      Appender(loop, log, Stream, settings.Appending) {
  Reader.PageRead.connect([this](const LogPage &page) { onPage(page); });
  Reader.ReachableChanged.connect([this](bool reachable) {
    Logger("the log is {}", reachable ? "reachable" : "not reachable");
    Appender.setReachable(reachable);
  });
  Appender.onAppended([this] { Reader.hurry(); });
}

void ClaimWriter::start() {
  Reader.start();
  scheduleKeeping();
}

/// At random, so that seldom two nodes write the same again.
void ClaimWriter::scheduleKeeping() {
  const auto span = static_cast<std::uint64_t>(Settings.Retention.count());
  KeepTimer = Loop.at(monoNow() + Millis(Numbers.between(span / 32, span / 8)),
                      [this] { keepRecords(); });
}

void ClaimWriter::onPage(const LogPage &page) {
  Ledger.retainFrom(page.FirstRetained);
  for (const LogRecord &it : page.Records) {
    const auto record = decodeJobRecord(it.Body);
    if (!record) {
      Ledger.skip(it.Offset);
      continue;
    }
    if (it.Offset < Ledger.next())
      continue;
    const bool effective = Ledger.apply(it.Offset, *record);
    Appender.onRead(record->Id, effective);
  }
  CaughtUp = CaughtUp || Ledger.next() >= page.End;
  Ledger.forget(wallNow());
  Appender.setReachable(true);
}

void ClaimWriter::submit(JobRecordBody body, const std::string &id,
                         MonoTime deadline, RecordCallback callback) {
  // A claim must be answered soon when the log is away; the rest may wait.
  const bool isClaim = std::holds_alternative<JobClaim>(body);
  const MonoTime sendBy = isClaim ? monoNow() + Settings.OutageWait : deadline;
  Appender.submit(id, encodeJobRecord({id, wallNow(), std::move(body)}), sendBy,
                  deadline, std::move(callback));
}

MonoTime ClaimWriter::toMono(WallTime at) const {
  return monoNow() + (at - wallNow());
}

void ClaimWriter::claim(const ClaimRequest &request, MonoTime deadline,
                        std::function<void(const ClaimResult &)> callback) {
  const std::string id = newId();
  const WallTime now = wallNow();
  auto call = std::make_shared<ClaimCall>(ClaimCall{
      JobClaim{ClaimId(id), request.Job, request.Pod, request.By,
               std::min(request.StartBy, now + MaxClaimLife), request.Deadline},
      deadline, std::move(callback)});
  submit(call->Record, id, deadline,
         [this, call](const RecordFate &fate) { onClaimFate(call, fate); });
}

/// Called at the place of the claim or of its void, for what is read there.
ClaimResult ClaimWriter::claimAt(const JobClaim &claim, bool effective) const {
  const JobEntry *entry = Ledger.find(claim.Job);
  if (effective && entry && entry->Claim && entry->Claim->Id == claim.Id)
    return ClaimWon{claim.Id};
  if (entry && (entry->Claim || entry->Result))
    return ClaimLost{*entry};
  return ClaimNotMade{"the pod has another holder"};
}

void ClaimWriter::onClaimFate(const ClaimCallPtr &call,
                              const RecordFate &fate) {
  std::visit(Overloaded{[&](const RecordRead &it) {
                          const auto result =
                              claimAt(call->Record, it.Effective);
                          if (std::holds_alternative<ClaimWon>(result) &&
                              wallNow() >= call->Record.StartBy)
                            giveUp(call);
                          else
                            call->Callback(result);
                        },
                        [&](const RecordNeverSent &it) {
                          call->Callback(ClaimNotMade{it.Reason});
                        },
                        [&](const RecordUnread &) { giveUp(call); }},
             fate);
}

JobRecordBody ClaimWriter::voidOf(const JobClaim &claim) const {
  const JobEntry *entry = Ledger.find(claim.Job);
  const bool held = entry && entry->Claim && entry->Claim->Id == claim.Id;
  return ClaimVoid{
      claim.Id,       claim.Job,
      claim.Pod,      claim.By.Term,
      claim.Deadline, held ? std::optional(entry->Claim->Order) : std::nullopt};
}

/// From here on the claim is never acted on, even if it is read as won.
void ClaimWriter::giveUp(const ClaimCallPtr &call) {
  submit(voidOf(call->Record), newId(), call->Deadline + Settings.VoidTime,
         [this, call](const RecordFate &fate) { onVoidFate(call, fate); });
}

void ClaimWriter::onVoidFate(const ClaimCallPtr &call, const RecordFate &fate) {
  const auto *read = std::get_if<RecordRead>(&fate);
  if (!read) {
    voidLater(call->Record);
    call->Callback(ClaimUncertain{"the log did not confirm the claim in time"});
    return;
  }
  if (!read->Effective) {
    call->Callback(ClaimUncertain{"a successor holds the claim"});
    return;
  }
  const ClaimResult result = claimAt(call->Record, false);
  if (std::holds_alternative<ClaimLost>(result))
    call->Callback(result);
  else
    call->Callback(ClaimNotMade{"the log did not confirm the claim in time"});
}

/// The key must not stay claimed by a claim that nobody acts on.
void ClaimWriter::voidLater(const JobClaim &claim) {
  const MonoTime until = toMono(claim.Deadline);
  if (until <= monoNow())
    return;
  submit(voidOf(claim), newId(), until, [](const RecordFate &) {});
}

void ClaimWriter::release(const ClaimId &claim, const JobId &job,
                          const PodHolding &by, MonoTime deadline,
                          RecordCallback callback) {
  const JobEntry *entry = Ledger.find(job);
  const bool held = entry && entry->Claim && entry->Claim->Id == claim;
  if (!held) {
    callback(RecordNeverSent{"the job is not held by this claim"});
    return;
  }
  submit(ClaimVoid{claim, job, entry->Claim->Pod, by.Term, entry->Deadline,
                   entry->Claim->Order},
         newId(), deadline, std::move(callback));
}

void ClaimWriter::recordAccepted(const JobAccepted &job, MonoTime deadline,
                                 RecordCallback callback) {
  submit(job, newId(), deadline, std::move(callback));
}

void ClaimWriter::recordEnded(JobEnded ended, MonoTime deadline,
                              RecordCallback callback) {
  const std::string id = newId();
  const auto *done = std::get_if<Done>(&ended.Result);
  // Escaped, a result may take several times its size.
  const bool tooLarge =
      done && (done->Result.size() > MaxKeptAnswer ||
               encodeJobRecord({id, wallNow(), ended}).size() > MaxEndedBytes);
  if (tooLarge)
    ended.Result =
        Unknown{"it ran to its end; its answer was too large to keep"};
  submit(std::move(ended), id, deadline, std::move(callback));
}

void ClaimWriter::takeOver(
    const PodId &pod, MonoTime deadline,
    const std::function<void(const TakeOverResult &)> &callback) {
  const PodHolding by{Self, PodTerm(Ledger.next().value())};
  submit(PodTakeOver{pod, by}, newId(), deadline,
         [this, pod, by, callback](const RecordFate &fate) {
           const auto *read = std::get_if<RecordRead>(&fate);
           if (!read)
             callback(TakeOverUncertain{"the log did not confirm it in time"});
           else if (read->Effective)
             callback(PodTaken{by});
           else
             callback(PodLost{Ledger.holderOf(pod)});
         });
}

/// Writes again what retention would soon drop. Any node may: a copy changes
/// nothing, and whoever reads one has no need of its own.
void ClaimWriter::keepRecords() {
  const MonoTime deadline = monoNow() + Settings.Appending.AppendTime;
  const auto ignore = [](const RecordFate &) {};
  const WallTime old = wallNow() - Settings.Retention / 2;
  for (const PodTakeOver &it : Ledger.podsKeptBefore(old))
    submit(it, newId(), deadline, ignore);
  for (const JobEntry *it : Ledger.jobsKeptBefore(old))
    submit(JobKept{*it}, newId(), deadline, ignore);
  scheduleKeeping();
}

} // namespace citrongap
