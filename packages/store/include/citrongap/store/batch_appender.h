// Appends records to a topic in order, with one batch in flight. A batch whose
// outcome is unknown is retried under the same sequence number until the store
// answers, so it is appended once.
#ifndef CITRONGAP_STORE_BATCH_APPENDER_H
#define CITRONGAP_STORE_BATCH_APPENDER_H

#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace citrongap {

/// Limits of a BatchAppender.
struct AppenderOptions {
  /// Limit of one attempt. A slow store answers after 0.4 s, an unresponsive
  /// one never.
  Millis AnswerTimeout{700};
  /// Delay after a refused or unanswered attempt. Ten attempts a second are
  /// 2% of the store's writes.
  Millis RetryDelay{100};
  /// A batch fails after it was refused for this long, provided that no
  /// attempt of it can have been appended. Zero: retry without a limit.
  Millis RefusalTimeout{0};
  /// A batch that may have been appended is given up after this long: its
  /// callers were told so long before. Zero: retry without a limit.
  Millis UnknownTimeout{0};
  /// Largest batch of several appends, in bytes of its records. Half of what
  /// the store takes in one call.
  std::size_t MaxBatchBytes = StoreLimits::CallBytes / 2;
  /// After a batch of unknown outcome, the appender counts as fenced. Otherwise
  /// it goes on in the next epoch, which nobody else may use then.
  bool EndsWhenUnknown = false;
};

/// Whether the records of one append are in the store.
enum class AppendOutcome : std::uint8_t {
  Appended,
  /// They are not in the store and never will be.
  NotAppended,
  /// An attempt without an answer may have appended them.
  Unknown
};

/// Appends to one topic as one producer in one epoch.
class BatchAppender {
public:
  using Done = std::function<void(AppendOutcome)>;

  /// `producer` and `epoch` identify the writer to the store; see AppendStamp.
  BatchAppender(EventLoop &loop, StorePort &store, TopicId topic,
                std::string producer, Epoch epoch, AppenderOptions options);

  /// Appends `records` atomically, after all earlier appends.
  void append(std::vector<KeyedRecord> records, Done done);
  /// Removes an append that was not sent yet; its callback is not called.
  /// False if it was sent.
  bool withdraw(std::uint64_t ticket);
  /// Ticket of the latest append(), for withdraw().
  std::uint64_t lastTicket() const { return NextTicket - 1; }

  /// No append is queued or in flight.
  bool idle() const { return !InFlight && Queue.empty(); }
  /// The batch in flight failed at least once and is being retried.
  bool isRetrying() const { return Attempts > 1; }
  /// The store rejected this producer and epoch, or the appender has ended (see
  /// AppenderOptions); every further append fails.
  bool fenced() const { return Fenced; }
  /// Offset after the latest acknowledged batch.
  LogOffset end() const { return End; }
  /// Called once when a newer epoch or another producer of the same name has
  /// written, or when the appender has ended.
  std::function<void()> OnFenced;
  /// Called with the reason each time an attempt fails.
  std::function<void(const std::string &reason)> OnRetry;

private:
  struct Entry {
    std::uint64_t Ticket = 0;
    std::vector<KeyedRecord> Records;
    Done OnDone;
  };

  void sendNext();
  void send();
  void onAnswer(StoreResult<AppendAcknowledged> result);
  /// Ends the batch in flight as failed: with an unknown outcome if an attempt
  /// got no answer.
  void failBatch();
  void finishBatch(AppendOutcome outcome);
  void failAll();
  /// Marks the appender as fenced and fails all appends: another producer has
  /// used this name with this epoch or a newer one, or the appender ends.
  void failAsFenced();

  EventLoop &Loop;
  StorePort &Store;
  TopicId Topic;
  AppendStamp Stamp;
  AppenderOptions Options;
  std::deque<Entry> Queue;
  /// Entries of the batch in flight; their records are in `BatchRecords`.
  std::vector<Entry> Batch;
  std::vector<KeyedRecord> BatchRecords;
  bool InFlight = false;
  bool Fenced = false;
  int Attempts = 0;
  /// An attempt of the batch in flight got no answer and may have been
  /// appended.
  bool OutcomeUnknown = false;
  MonoTime FirstAttemptAt;
  std::uint64_t NextTicket = 1;
  LogOffset End;
  Timer RetryTimer;
  /// Guards callbacks of store calls that outlive this object.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_BATCH_APPENDER_H
