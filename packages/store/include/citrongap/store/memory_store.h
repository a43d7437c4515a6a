// In-memory stand-in for the platform's store in tests, with the same
// guarantees and injectable faults.
#ifndef CITRONGAP_STORE_MEMORY_STORE_H
#define CITRONGAP_STORE_MEMORY_STORE_H

#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citrongap {

/// Faults of one client's view; each applies to the calls made while it is set.
struct MemoryStoreFaults {
  /// Calls are refused with StoreBusy and have no effect.
  bool Busy = false;
  /// Appends take effect, but end as StoreOutcomeUnknown at their deadline.
  bool LoseAnswers = false;
  /// Calls have no effect and end as StoreOutcomeUnknown at their deadline.
  bool Silent = false;
  /// Reads of these topics have no effect and end as StoreOutcomeUnknown at
  /// their deadline.
  std::set<TopicId> SilentTopics;
  /// Unless 0, appends are refused for good with this status.
  int RefuseWith = 0;
  /// Bulk pages of more bytes than this end as StoreOutcomeUnknown at their
  /// deadline.
  std::size_t LargestLatestPage = SIZE_MAX;
};

/// The shared store. Each client uses its own MemoryStoreView, so that faults
/// can be injected for some clients only.
class MemoryStore {
public:
  explicit MemoryStore(EventLoop &loop) : Loop(loop) {}

  /// Removes all records from the log; the latest value of each key stays.
  void compact(const TopicId &topic);
  /// Appends a record without a producer, as operators and backend servers do.
  void put(const TopicId &topic, KeyedRecord record);
  /// Number of records in the log of `topic`.
  std::size_t size(const TopicId &topic) const;
  /// Records in the log of `topic`, oldest first.
  const std::vector<KeyedRecord> &records(const TopicId &topic) const;
  /// Removes a member, as when its session has expired.
  void lapse(const std::string &member);
  /// Moves ownership of the topic from its owner to the next member.
  void rebalance();
  /// Rate at which all clients together read latest values; zero: unlimited.
  std::size_t ReadBytesPerSecond = 0;
  /// The topic moves to another member with each change of the group.
  bool DealsAnew = false;
  /// Most records of a page of latest values.
  std::size_t LatestPageRecords = 3;
  /// Most bytes of records that one append may have.
  std::size_t MaxCallBytes = StoreLimits::CallBytes;
  /// Number of appends that reached the store.
  std::size_t appendCalls() const { return AppendCalls; }

private:
  friend class MemoryStoreView;

  struct Producer {
    Epoch CurrentEpoch;
    std::uint64_t NextSequence = 0;
    /// Answer to a repeat of the append before `NextSequence`.
    LogOffset LastEnd;
    /// The producer has made a call; the other members are set.
    bool Registered = false;
  };
  struct LatestRecord {
    KeyedRecord Record;
    LogOffset At;
  };
  struct Topic {
    std::vector<KeyedRecord> Records;
    /// Offset of the first element of `Records`.
    std::uint64_t FirstRetained = 0;
    std::map<std::string, LatestRecord> LatestByKey;
    std::map<std::string, Producer> Producers;
  };
  /// A read that waits for the next record of its topic.
  struct PendingRead {
    TopicId Source;
    LogOffset From;
    Timer WaitTimer;
    StoreCallback<TopicPage> Done;
  };

  StoreResult<AppendAcknowledged>
  append(const TopicId &topic, const AppendStamp &stamp,
         const std::vector<KeyedRecord> &records);
  /// All records from `from` on.
  TopicPage makePage(const TopicId &topic, LogOffset from);
  void answerPendingReads(const TopicId &topic);
  /// Answers the read at `until` unless a record comes before.
  void awaitRecord(std::list<PendingRead>::iterator at, MonoTime until);
  GroupMembership join(const std::string &member, Millis sessionTimeout);
  /// Removes the members whose session has expired.
  void expireMembers();
  /// Calls `callback` from the event loop.
  void post(std::function<void()> callback);

  EventLoop &Loop;
  std::map<TopicId, Topic> Topics;
  std::list<PendingRead> PendingReads;
  /// Members of the one group; other groups are not modelled.
  struct Member {
    std::string Name;
    MonoTime ExpiresAt;
  };
  /// The first member owns the topic.
  std::vector<Member> Members;
  Epoch Generation{1};
  std::size_t AppendCalls = 0;
  /// The store has sent all latest values that were asked for before.
  MonoTime ReadsFreeAt;
  /// Timers of posted callbacks and answers.
  std::list<Timer> Posted;
};

/// One client's access to a MemoryStore, with its own faults.
class MemoryStoreView : public StorePort {
public:
  explicit MemoryStoreView(MemoryStore &store) : Store(store) {}

  /// May be changed at any time; affects later calls only.
  MemoryStoreFaults Faults;
  /// Rate of this client's link for pages of latest values; zero: unlimited.
  std::size_t LinkBytesPerSecond = 0;
  /// Bytes of latest values that the store has sent to this client.
  std::size_t bytesSent() const { return BytesSent; }

  void append(const TopicId &topic, const AppendStamp &stamp,
              const std::vector<KeyedRecord> &records, MonoTime deadline,
              StoreCallback<AppendAcknowledged> done) override;
  void read(const TopicId &topic, LogOffset from, MonoTime waitUntil,
            MonoTime deadline, StoreCallback<TopicPage> done) override;
  void readLatest(const TopicId &topic, const std::string &afterKey,
                  ReadSize size, CallDeadline deadline,
                  StoreCallback<LatestValuesPage> done) override;
  void join(const std::string &group, const std::string &member,
            const TopicId &topic, Millis sessionTimeout, Epoch last,
            MonoTime deadline, StoreCallback<GroupMembership> done) override;
  void findOwner(const std::string &group, const TopicId &topic,
                 MonoTime deadline, StoreCallback<TopicOwner> done) override;
  void leave(const std::string &group, const std::string &member,
             MonoTime deadline, StoreCallback<GroupMembership> done) override;

private:
  /// Applies `Busy` and `Silent`; true if the call is to be carried out.
  template <typename T> bool admit(MonoTime deadline, StoreCallback<T> done);
  /// Applies `SilentTopics`.
  template <typename T>
  bool admitRead(const TopicId &topic, MonoTime deadline,
                 StoreCallback<T> done);
  /// Gives `result` to `done` at the time `at`.
  template <typename T>
  void answer(StoreCallback<T> done, StoreResult<T> result, MonoTime at);

  /// When the last byte of `bytes` arrives; sets `firstByteAt`.
  MonoTime transfer(std::size_t bytes, MonoTime &firstByteAt);

  MemoryStore &Store;
  MonoTime LinkFreeAt;
  std::size_t BytesSent = 0;
};

} // namespace citrongap

#endif // CITRONGAP_STORE_MEMORY_STORE_H
