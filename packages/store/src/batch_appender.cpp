// One batch in flight, repeated until it is answered.
#include "citrongap/store/batch_appender.h"

#include <algorithm>
#include <utility>

namespace citrongap {

BatchAppender::BatchAppender(EventLoop &loop, StorePort &store, TopicId topic,
                             std::string producer, Epoch epoch,
                             AppenderOptions terms)
    : Loop(loop), Store(store),
      Topic(std::move(topic)), Stamp{std::move(producer), epoch, 0},
      Terms(terms) {}

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
    fail();
    return;
  }
  if (Queue.empty())
    return;
  std::size_t bytes = 0;
  const bool bare = Queue.front().Records.empty();
  while (!Queue.empty() && bytes < Terms.MaxBatchBytes &&
         Queue.front().Records.empty() == bare) {
    Entry entry = std::move(Queue.front());
    Queue.pop_front();
    for (KeyedRecord &it : entry.Records) {
      bytes += it.Key.size() + (it.Value ? it.Value->size() : 0);
      BatchRecords.push_back(std::move(it));
    }
    entry.Records.clear();
    Batch.push_back(std::move(entry));
    if (bare)
      break;
  }
  InFlight = true;
  Tries = 0;
  Uncertain = false;
  FirstTryAt = monoNow();
  send();
}

void BatchAppender::send() {
  ++Tries;
  Store.append(Topic, Stamp, BatchRecords, monoNow() + Terms.AnswerTimeout,
               [this, alive = std::weak_ptr<int>(Alive)](auto result) {
                 if (alive.lock())
                   onAnswer(std::move(result));
               });
}

void BatchAppender::onAnswer(StoreResult<AppendAcknowledged> result) {
  if (const auto *done = std::get_if<AppendAcknowledged>(&result)) {
    End = done->End;
    finishBatch(true);
    return;
  }
  const StoreError &error = std::get<StoreError>(result);
  if (OnRetry)
    OnRetry(describe(error));
  if (std::holds_alternative<StoreOutcomeUnknown>(error))
    Uncertain = true;
  if (std::holds_alternative<StoreBusy>(error) && !Uncertain &&
      Terms.RefusalTimeout.count() > 0 &&
      monoNow() - FirstTryAt >= Terms.RefusalTimeout) {
    finishBatch(false);
    return;
  }
  if (std::holds_alternative<StoreFenced>(error)) {
    giveUp();
    return;
  }
  if (const auto *refused = std::get_if<StoreRefused>(&error);
      refused && refused->Status != 507) {
    finishBatch(false);
    return;
  }
  if (const auto *order = std::get_if<StoreOutOfSequence>(&error)) {
    // Only an earlier try of this very batch can have taken its number.
    if (Tries > 1 && order->Expected == Stamp.Sequence + 1)
      finishBatch(true);
    else
      giveUp();
    return;
  }
  Again = Loop.at(monoNow() + Terms.RetryDelay, [this] { send(); });
}

void BatchAppender::giveUp() {
  Fenced = true;
  const auto onFenced = OnFenced;
  fail();
  if (onFenced)
    onFenced();
}

void BatchAppender::finishBatch(bool appended) {
  if (appended && !BatchRecords.empty())
    ++Stamp.Sequence;
  std::vector<Entry> done = std::exchange(Batch, {});
  BatchRecords.clear();
  InFlight = false;
  Tries = 0;
  const std::weak_ptr<int> alive = Alive;
  for (Entry &it : done)
    if (it.Then)
      it.Then(appended);
  if (alive.lock() && !InFlight)
    sendNext();
}

void BatchAppender::fail() {
  std::vector<Entry> dropped = std::exchange(Batch, {});
  for (Entry &it : Queue)
    dropped.push_back(std::move(it));
  Queue.clear();
  BatchRecords.clear();
  InFlight = false;
  const std::weak_ptr<int> alive = Alive;
  for (Entry &it : dropped)
    if (it.Then && alive.lock())
      it.Then(false);
}

} // namespace citrongap
