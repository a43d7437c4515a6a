// Stand-in for the platform's store in tests: same promises, faults on demand.
#ifndef CITRONGAP_STORE_MEMORY_STORE_H
#define CITRONGAP_STORE_MEMORY_STORE_H

#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citrongap {

struct MemoryStoreFaults {
  /// Calls are refused; nothing is done.
  bool Busy = false;
  /// Appends are done, and their answers are lost.
  bool LoseAnswers = false;
  /// Calls are neither done nor answered.
  bool Silent = false;
};

/// One store, used through a view of its own by each client, so that it can
/// refuse some of them.
class MemoryStore {
public:
  explicit MemoryStore(EventLoop &loop) : Loop(loop) {}

  /// Drops records before the end; the newest of each key stay.
  void compact(const TopicId &topic);
  /// Appends without a producer, as operators and backend servers do.
  void put(const TopicId &topic, KeyedRecord record);
  std::size_t size(const TopicId &topic) const;
  const std::vector<KeyedRecord> &records(const TopicId &topic) const;
  /// Removes a member, as when its time has lapsed.
  void lapse(const std::string &member);
  /// Whoever holds the topic loses it to the next member.
  void rebalance();
  std::size_t appendCalls() const { return AppendCalls; }

private:
  friend class MemoryStoreView;

  struct Producer {
    Epoch At;
    std::uint64_t Next = 0;
    /// The end after the append before `Next`, for repeats.
    LogOffset LastEnd;
    bool Any = false;
  };
  struct Topic {
    std::vector<KeyedRecord> Records;
    std::uint64_t First = 0;
    std::map<std::string, KeyedRecord> Newest;
    std::map<std::string, Producer> Producers;
  };
  struct Read {
    TopicId From;
    LogOffset At;
    Timer Until;
    StoreCallback<TopicPage> Done;
  };

  StoreResult<AppendAcknowledged>
  append(const TopicId &topic, const AppendStamp &stamp,
         const std::vector<KeyedRecord> &records);
  TopicPage page(const TopicId &topic, LogOffset from);
  void wakeReaders(const TopicId &topic);
  GroupMembership join(const std::string &member, Millis sessionTimeout);
  void lapseSilent();
  void later(std::function<void()> what);

  EventLoop &Loop;
  std::map<TopicId, Topic> Topics;
  std::list<Read> Readers;
  struct Member {
    std::string Name;
    MonoTime LapsesAt;
  };
  /// The first holds the topic.
  std::vector<Member> Members;
  Epoch Generation{1};
  std::size_t AppendCalls = 0;
  std::list<Timer> Soon;
};

class MemoryStoreView : public StorePort {
public:
  explicit MemoryStoreView(MemoryStore &store) : Store(store) {}

  MemoryStoreFaults Faults;

  void append(const TopicId &topic, const AppendStamp &stamp,
              const std::vector<KeyedRecord> &records, MonoTime deadline,
              StoreCallback<AppendAcknowledged> done) override;
  void read(const TopicId &topic, LogOffset from, MonoTime waitUntil,
            MonoTime deadline, StoreCallback<TopicPage> done) override;
  void readLatest(const TopicId &topic, const std::string &afterKey,
                  MonoTime deadline,
                  StoreCallback<LatestValuesPage> done) override;
  void join(const std::string &group, const std::string &member,
            const TopicId &topic, Millis sessionTimeout, Epoch last,
            MonoTime deadline, StoreCallback<GroupMembership> done) override;
  void findOwner(const std::string &group, const TopicId &topic,
                 MonoTime deadline, StoreCallback<TopicOwner> done) override;
  void leave(const std::string &group, const std::string &member,
             MonoTime deadline, StoreCallback<GroupMembership> done) override;

private:
  /// Handles the faults; true when the call goes on.
  template <typename T> bool admit(MonoTime deadline, StoreCallback<T> done);
  template <typename T>
  void answer(StoreCallback<T> done, StoreResult<T> result, MonoTime at);

  MemoryStore &Store;
};

} // namespace citrongap

#endif // CITRONGAP_STORE_MEMORY_STORE_H
