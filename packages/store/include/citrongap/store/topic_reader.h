// Follows one topic: loads the latest value of each key, then reads every
// record in order. If the store no longer retains the reader's offset, the
// reader loads the latest values again. A load goes on from its last key after
// a failure, so that many readers that load at once do not keep the store busy
// by starting over.
#ifndef CITRONGAP_STORE_TOPIC_READER_H
#define CITRONGAP_STORE_TOPIC_READER_H

#include "citrongap/base/random.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace citrongap {

/// Intervals and limits of a TopicReader.
struct TopicReaderOptions {
  /// How long a read waits at the store for a record. With zero, the reader
  /// polls every `ReadInterval`.
  Millis Wait{10000};
  /// Delay from the end of one read to the start of the next, so that a read
  /// returns several records.
  Millis ReadInterval{0};
  /// Delay after a refused or unanswered read; bounds the time until the
  /// store's recovery is detected. After the n-th failure in a row of a load,
  /// the delay is random, up to 2^n times as long; up to twice for a small one.
  Millis RetryDelay{150};
  /// Upper bound of the delay before a load goes on.
  Millis MaxLoadRetryDelay{2000};
  /// Limit for an answer, in addition to `Wait`. A store that takes
  /// 100 times its usual 4 ms still answers in time.
  Millis AnswerTimeout{1000};
  /// Size of a page of the latest values.
  ReadSize Load = ReadSize::Small;
  /// Limit for the first byte of a bulk page, and for the time between bytes.
  /// Doubles with each failure of a load, up to `MaxLoadTimeoutFactor` times.
  Millis LoadTimeout{3000};
  int MaxLoadTimeoutFactor = 8;
};

/// Reads one topic from start() to stop().
class TopicReader {
public:
  /// Receives one record.
  using OnRecord = std::function<void(const KeyedRecord &)>;

  /// `onRecord` gets each record once, and those of a key in their order,
  /// except that with pages without offsets, records that a load was ahead of
  /// follow again. `onBatch` is called after each answer to a read in order.
  TopicReader(EventLoop &loop, StorePort &store, TopicId topic,
              TopicReaderOptions options, OnRecord onRecord,
              std::function<void()> onBatch);

  /// Loads the latest values, then follows the topic. After a stop(), the
  /// reader begins anew: it is neither loaded nor current.
  void start();
  /// Stops reading; answers to calls in flight are ignored.
  void stop();
  /// All records that the store had at this time were read; empty before the
  /// reader first reached the end of the topic after start().
  std::optional<MonoTime> currentAsOf() const { return CurrentAsOf; }
  /// Every record before this offset was read, or a newer one of its key.
  LogOffset nextOffset() const { return NextOffset; }
  /// All latest values were loaded at least once since start().
  bool loaded() const { return Loaded; }
  /// A load of the latest values is in progress or scheduled, so a record that
  /// is delivered may be of any age.
  bool loading() const { return Loading; }
  /// Takes effect with the next read.
  void setReadInterval(Millis interval) { Options.ReadInterval = interval; }
  /// The reader is healthy and between two reads, so records that were appended
  /// since the last read are not known yet.
  bool pausing() const { return Healthy && !Loading && NextRead.pending(); }
  /// Starts the next read now instead of after `ReadInterval`.
  void readNow();
  /// Called before the records of a load of the latest values, also the first.
  std::function<void()> OnReload;
  /// Called after each load with the keys that it found. Others were removed,
  /// or follow in order.
  std::function<void(const std::set<std::string> &keys)> OnLoaded;
  /// Called with false and the reason at the first failed read after a
  /// successful one, and with true when a read succeeds again.
  std::function<void(bool healthy, const std::string &reason)> OnHealth;

private:
  /// Loads the latest value of each key, then reads on in order.
  void load();
  /// Loads the page after `LoadedUpTo`.
  void loadPage();
  void retryLoad();
  /// The record of `key` at the offset `at`, or a later one, was loaded.
  bool wasLoaded(const std::string &key, LogOffset at);
  void onLatestPage(StoreResult<LatestValuesPage> result);
  void readNext();
  /// `wait`: how long the read was to wait at the store.
  void onPage(MonoTime sentAt, Millis wait, StoreResult<TopicPage> result);
  void schedule(Millis wait, std::function<void()> callback);
  void recordFailure(const StoreError &error);

  EventLoop &Loop;
  StorePort &Store;
  TopicId Topic;
  TopicReaderOptions Options;
  OnRecord HandleRecord;
  std::function<void()> HandleBatch;
  LogOffset NextOffset;
  /// The topic's end as of the first page of the load in progress; reading in
  /// order continues there after the last page.
  std::optional<LogOffset> LoadEnd;
  /// Last key of the load in progress; empty before its first page.
  std::string LoadedUpTo;
  /// Keys that the load in progress has found.
  std::set<std::string> LoadedKeys;
  /// Offsets of loaded values from after `LoadEnd`, by key.
  std::map<std::string, LogOffset> LoadedAhead;
  /// Failures in a row of the load in progress.
  int LoadFailures = 0;
  /// Times `LoadTimeout`; stays raised until the load ends, as the store
  /// remains busy while others load.
  int LoadTimeoutFactor = 1;
  Random Jitter{Random::fromDevice()};
  bool Loaded = false;
  /// A load of the latest values is in progress or scheduled.
  bool Loading = false;
  bool Running = false;
  /// The last read succeeded.
  bool Healthy = true;
  bool CallInFlight = false;
  std::optional<MonoTime> CurrentAsOf;
  /// Starts the next read or load.
  Timer NextRead;
  /// Guards callbacks of calls that outlive this object or a stop().
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_TOPIC_READER_H
