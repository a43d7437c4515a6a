// The platform's linearizable store as citrongap needs it: topics of keyed
// records with offsets, appends that are fenced by a producer's epoch, the
// newest record of each key, and ownership of a topic by one group member.
#ifndef CITRONGAP_STORE_STORE_PORT_H
#define CITRONGAP_STORE_STORE_PORT_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

using TopicId = TextId<struct TopicTag>;
/// Rises with each change of ownership; also the owner's fencing token.
using Epoch = NumberId<struct EpochTag>;

/// One record; without a value it drops its key.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value;

  bool operator==(const KeyedRecord &) const = default;
};

/// Identifies one append, so that a repeat has no further effect and a
/// producer with an older epoch is refused.
struct AppendStamp {
  std::string Producer;
  Epoch At;
  std::uint64_t Sequence = 0;
};

struct AppendAcknowledged {
  /// The offset that the next append gets.
  LogOffset End;
};

struct TopicPage {
  LogOffset FirstRetained;
  LogOffset End;
  std::vector<KeyedRecord> Records;
  /// Where the next read goes on.
  LogOffset Next;
};

struct LatestValuesPage {
  std::vector<KeyedRecord> Records;
  /// Ask again with the last key.
  bool More = false;
  LogOffset End;
};

struct GroupMembership {
  Epoch Generation;
  /// This member holds the topic's first partition.
  bool IsOwner = false;
};

/// Who holds a topic's first partition; nobody when empty.
struct TopicOwner {
  std::string Member;
};

/// Nothing was done; the store is busy or refuses this caller for now.
struct StoreBusy {
  int Status = 0;
};
/// It may have been done, or be done later.
struct StoreOutcomeUnknown {
  std::string Reason;
};
/// A producer with a newer epoch has written.
struct StoreFenced {};
/// The producer's sequence must go on here.
struct StoreOutOfSequence {
  std::uint64_t Expected = 0;
};
/// Records before `First` are gone.
struct StoreTruncated {
  LogOffset First;
};
/// The store does not accept the call; repeating it is of no use.
struct StoreRefused {
  int Status = 0;
  std::string Detail;
};

using StoreError =
    std::variant<StoreBusy, StoreOutcomeUnknown, StoreFenced,
                 StoreOutOfSequence, StoreTruncated, StoreRefused>;
std::string describe(const StoreError &error);

template <typename T> using StoreResult = std::variant<T, StoreError>;
template <typename T> using StoreCallback = std::function<void(StoreResult<T>)>;

class StorePort {
public:
  virtual ~StorePort() = default;

  /// Appends all records or none. No records: only sets the producer's epoch.
  virtual void append(const TopicId &topic, const AppendStamp &stamp,
                      const std::vector<KeyedRecord> &records,
                      MonoTime deadline,
                      StoreCallback<AppendAcknowledged> done) = 0;
  /// Reads from `from`; waits until `waitUntil` for a record.
  virtual void read(const TopicId &topic, LogOffset from, MonoTime waitUntil,
                    MonoTime deadline, StoreCallback<TopicPage> done) = 0;
  /// The newest record of each key after `afterKey`, a page at a time.
  virtual void readLatest(const TopicId &topic, const std::string &afterKey,
                          MonoTime deadline,
                          StoreCallback<LatestValuesPage> done) = 0;
  /// Joins a group that owns `topic`, or stays in it.
  virtual void join(const std::string &group, const std::string &member,
                    const TopicId &topic, Millis sessionTimeout, Epoch last,
                    MonoTime deadline, StoreCallback<GroupMembership> done) = 0;
  virtual void findOwner(const std::string &group, const TopicId &topic,
                         MonoTime deadline, StoreCallback<TopicOwner> done) = 0;
  virtual void leave(const std::string &group, const std::string &member,
                     MonoTime deadline,
                     StoreCallback<GroupMembership> done) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_STORE_STORE_PORT_H
