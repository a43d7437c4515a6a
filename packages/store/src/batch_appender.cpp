// Sends queued appends in batches and retries the batch in flight until it has
// a definite outcome.
#include "citrongap/store/batch_appender.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

std::size_t storedBytes(const std::vector<KeyedRecord> &records) {
  std::size_t bytes = 0;
  for (const KeyedRecord &it : records)
    bytes += storedBytes(it);
  return bytes;
}

/// An attempt may have been appended without an answer.
bool leavesUnknown(const StoreError &error) {
  const auto *fenced = std::get_if<StoreFenced>(&error);
  const auto *mismatch = std::get_if<StoreOutOfSequence>(&error);
  return std::holds_alternative<StoreOutcomeUnknown>(error) ||
         (fenced && fenced->AfterUnknown) ||
         (mismatch && mismatch->AfterUnknown);
}

} // namespace

BatchAppender::BatchAppender(EventLoop &loop, StorePort &store, TopicId topic,
                             std::string producer, Epoch epoch,
                             AppenderOptions options)
    : Loop(loop), Store(store),
      Topic(std::move(topic)), Stamp{std::move(producer), epoch, 0},
      Options(options) {}

void BatchAppender::append(std::vector<KeyedRecord> records, Done done) {
  Queue.push_back({NextTicket++, std::move(records), std::move(done)});
  if (!InFlight)
    sendNext();
}

bool BatchAppender::withdraw(std::uint64_t ticket) {
  const auto it =
      std::find_if(Queue.begin(), Queue.end(),
                   [&](const Entry &entry) { return entry.Ticket == ticket; });
  if (it == Queue.end())
    return false;
  Queue.erase(it);
  return true;
}

void BatchAppender::sendNext() {
  if (Fenced) {
    failAll();
    return;
  }
  if (Queue.empty())
    return;
  std::size_t bytes = 0;
  const bool withoutRecords = Queue.front().Records.empty();
  while (!Queue.empty() && Queue.front().Records.empty() == withoutRecords) {
    bytes += storedBytes(Queue.front().Records);
    if (!Batch.empty() && bytes > Options.MaxBatchBytes)
      break;
    Entry entry = std::move(Queue.front());
    Queue.pop_front();
    for (KeyedRecord &it : entry.Records)
      BatchRecords.push_back(std::move(it));
    entry.Records.clear();
    Batch.push_back(std::move(entry));
    if (withoutRecords)
      break;
  }
  InFlight = true;
  Attempts = 0;
  OutcomeUnknown = false;
  FirstAttemptAt = monoNow();
  send();
}

void BatchAppender::send() {
  ++Attempts;
  Store.append(Topic, Stamp, BatchRecords, monoNow() + Options.AnswerTimeout,
               [this, alive = std::weak_ptr<int>(Alive)](auto result) {
                 if (alive.lock())
                   onAnswer(std::move(result));
               });
}

void BatchAppender::onAnswer(StoreResult<AppendAcknowledged> result) {
  if (const auto *done = std::get_if<AppendAcknowledged>(&result)) {
    End = done->End;
    finishBatch(AppendOutcome::Appended);
    return;
  }
  const StoreError &error = std::get<StoreError>(result);
  if (OnRetry)
    OnRetry(describe(error));
  if (leavesUnknown(error))
    OutcomeUnknown = true;
  const Millis age = monoNow() - FirstAttemptAt;
  const auto isOver = [&](Millis limit) {
    return limit.count() > 0 && age >= limit;
  };
  const bool isRefused =
      std::holds_alternative<StoreBusy>(error) && !OutcomeUnknown;
  if ((isRefused && isOver(Options.RefusalTimeout)) ||
      (OutcomeUnknown && isOver(Options.UnknownTimeout))) {
    failBatch();
    return;
  }
  if (std::holds_alternative<StoreFenced>(error)) {
    failAsFenced();
    return;
  }
  if (const auto *refused = std::get_if<StoreRefused>(&error);
      refused && refused->Status != 507) {
    failBatch();
    return;
  }
  if (const auto *mismatch = std::get_if<StoreOutOfSequence>(&error)) {
    // After an attempt without an answer, an expected number one above this
    // batch's means that it was appended. Any other mismatch shows that another
    // producer uses this name and epoch.
    if (OutcomeUnknown && mismatch->Expected == Stamp.Sequence + 1)
      finishBatch(AppendOutcome::Appended);
    else
      failAsFenced();
    return;
  }
  RetryTimer = Loop.at(monoNow() + Options.RetryDelay, [this] { send(); });
}

void BatchAppender::failAsFenced() {
  Fenced = true;
  const auto onFenced = OnFenced;
  failAll();
  if (onFenced)
    onFenced();
}

void BatchAppender::failBatch() {
  if (OutcomeUnknown && Options.EndsWhenUnknown) {
    failAsFenced();
    return;
  }
  finishBatch(OutcomeUnknown ? AppendOutcome::Unknown
                             : AppendOutcome::NotAppended);
}

void BatchAppender::finishBatch(AppendOutcome outcome) {
  if (outcome == AppendOutcome::Appended && !BatchRecords.empty())
    ++Stamp.Sequence;
  if (outcome == AppendOutcome::Unknown) {
    // Under the same sequence number, the next batch could be taken for a
    // repeat of this one. A new epoch also bars late attempts of this one.
    Stamp.At = Stamp.At.next();
    Stamp.Sequence = 0;
  }
  std::vector<Entry> done = std::exchange(Batch, {});
  BatchRecords.clear();
  InFlight = false;
  Attempts = 0;
  const std::weak_ptr<int> alive = Alive;
  for (Entry &it : done)
    if (it.OnDone)
      it.OnDone(outcome);
  if (alive.lock() && !InFlight)
    sendNext();
}

void BatchAppender::failAll() {
  const std::vector<Entry> sent = std::exchange(Batch, {});
  const std::deque<Entry> queued = std::exchange(Queue, {});
  const AppendOutcome outcome =
      OutcomeUnknown ? AppendOutcome::Unknown : AppendOutcome::NotAppended;
  BatchRecords.clear();
  InFlight = false;
  const std::weak_ptr<int> alive = Alive;
  for (const Entry &it : sent)
    if (it.OnDone && alive.lock())
      it.OnDone(outcome);
  for (const Entry &it : queued)
    if (it.OnDone && alive.lock())
      it.OnDone(AppendOutcome::NotAppended);
}

} // namespace citrongap
