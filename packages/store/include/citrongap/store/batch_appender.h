// Appends records in order, one batch in flight. A batch without an answer is
// repeated under the same sequence number until the store answers, so it is
// appended once.
#ifndef CITRONGAP_STORE_BATCH_APPENDER_H
#define CITRONGAP_STORE_BATCH_APPENDER_H

#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace citrongap {

struct AppenderOptions {
  /// One try; a slow store answers after 0.4 s, a silent one never.
  Millis AnswerTimeout{700};
  /// A refused or unanswered try; ten a second are 2% of the store's writes.
  Millis RetryDelay{100};
  /// A batch that was refused for so long, and certainly not appended, fails;
  /// zero for never.
  Millis RefusalTimeout{0};
  /// Of one batch; below the store's limit of 2 MiB a call.
  std::size_t MaxBatchBytes = 1U << 20U;
};

class BatchAppender {
public:
  /// Whether the records stand in the store. False only if they do not and
  /// never will under this producer.
  using Done = std::function<void(bool appended)>;

  BatchAppender(EventLoop &loop, StorePort &store, TopicId topic,
                std::string producer, Epoch epoch, AppenderOptions terms);

  /// Appends `records` together, after all before them.
  void append(std::vector<KeyedRecord> records, Done done);
  /// Takes back an append that was not sent yet; false once it was.
  bool withdraw(std::uint64_t ticket);
  std::uint64_t lastTicket() const { return NextTicket - 1; }

  bool idle() const { return !InFlight && Queue.empty(); }
  /// An append is in flight that had no answer at first.
  bool isRetrying() const { return Tries > 1; }
  bool fenced() const { return Fenced; }
  LogOffset end() const { return End; }
  /// Called once when a newer epoch has written.
  std::function<void()> OnFenced;
  /// Called when a try fails, with the reason.
  std::function<void(const std::string &reason)> OnRetry;

private:
  struct Entry {
    std::uint64_t Ticket = 0;
    std::vector<KeyedRecord> Records;
    Done Then;
  };

  void sendNext();
  void send();
  void onAnswer(StoreResult<AppendAcknowledged> result);
  void finishBatch(bool appended);
  void fail();
  /// Another producer has used this name and epoch, or a newer one.
  void giveUp();

  EventLoop &Loop;
  StorePort &Store;
  TopicId Topic;
  AppendStamp Stamp;
  AppenderOptions Terms;
  std::deque<Entry> Queue;
  /// The entries of the batch in flight.
  std::vector<Entry> Batch;
  std::vector<KeyedRecord> BatchRecords;
  bool InFlight = false;
  bool Fenced = false;
  int Tries = 0;
  /// A try of the batch in flight had no answer.
  bool Uncertain = false;
  MonoTime FirstTryAt;
  std::uint64_t NextTicket = 1;
  LogOffset End;
  Timer Again;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_BATCH_APPENDER_H
