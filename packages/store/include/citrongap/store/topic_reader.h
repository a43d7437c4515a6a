// Follows one topic: first the newest record of each key, then every record
// in order. A reader whose place was cut starts over with the newest.
#ifndef CITRONGAP_STORE_TOPIC_READER_H
#define CITRONGAP_STORE_TOPIC_READER_H

#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <memory>
#include <optional>

namespace citrongap {

struct TopicReaderOptions {
  /// A read waits so long for a record. Zero reads at every `ReadInterval`.
  Millis Wait{10000};
  /// Between the end of one read and the next; batches records.
  Millis ReadInterval{0};
  /// After a refused or unanswered read; a return of the store is seen within
  /// this.
  Millis RetryDelay{150};
  /// A read with `Wait` gets so much longer to be answered; a store that takes
  /// 100 times its usual 4 ms still answers in time.
  Millis AnswerTimeout{1000};
};

class TopicReader {
public:
  using OnRecord = std::function<void(const KeyedRecord &)>;

  /// `topic` is read from start(); `onRecord` sees each record once, but those
  /// read as newest may be seen again in order. `onBatch` follows each answer.
  TopicReader(EventLoop &loop, StorePort &store, TopicId topic,
              TopicReaderOptions terms, OnRecord onRecord,
              std::function<void()> onBatch);

  void start();
  void stop();
  /// Everything was seen that the store had at this time; nothing before the
  /// first complete read.
  std::optional<MonoTime> currentAsOf() const { return FreshAt; }
  /// Every record in front of it was seen, or a newer one of its key.
  LogOffset nextOffset() const { return Next; }
  bool loaded() const { return Loaded; }
  /// Takes effect with the next read.
  void setReadInterval(Millis spacing) { Terms.ReadInterval = spacing; }
  /// It works, and waits for the next read: what came since is not known.
  bool pausing() const { return Working && !Loading && Again.pending(); }
  /// Reads at once instead of after the spacing.
  void readNow();
  /// Called when the records of the newest are about to be read again.
  std::function<void()> OnReload;
  /// Called when reading fails for the first time after it worked, and when
  /// it works again.
  std::function<void(bool works, const std::string &reason)> OnHealth;

private:
  /// Reads the newest record of each key, then on from there.
  void load();
  void loadPage(const std::string &afterKey);
  void onNewest(StoreResult<LatestValuesPage> result);
  void readOn();
  void onPage(MonoTime sentAt, StoreResult<TopicPage> result);
  void later(Millis wait, std::function<void()> what);
  void failed(const StoreError &error);

  EventLoop &Loop;
  StorePort &Store;
  TopicId Topic;
  TopicReaderOptions Terms;
  OnRecord Record;
  std::function<void()> Batch;
  LogOffset Next;
  /// Where reading goes on once all pages of the newest were seen; the end that
  /// the first page told.
  std::optional<LogOffset> LoadedTo;
  bool Loaded = false;
  /// The newest are being read, or will be.
  bool Loading = false;
  bool Running = false;
  bool Working = true;
  bool Reading = false;
  std::optional<MonoTime> FreshAt;
  Timer Again;
  /// Guards callbacks of calls that outlive this object or a stop.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_TOPIC_READER_H
