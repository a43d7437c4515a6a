// Interface to the platform's linearizable store: topics of keyed records with
// offsets, appends fenced by the producer's epoch, the latest value of each
// key, and ownership of a topic by one member of a group.
#ifndef CITRONGAP_STORE_STORE_PORT_H
#define CITRONGAP_STORE_STORE_PORT_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/net/call_deadline.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

/// Name of a topic.
using TopicId = TextId<struct TopicTag>;
/// Increases with each change of ownership. Serves as a group's generation and
/// as the owner's fencing epoch.
using Epoch = NumberId<struct EpochTag>;

/// One record. Without a value it is a tombstone that removes its key.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value;

  bool operator==(const KeyedRecord &) const = default;
};

/// What the store takes, in bytes; the platform's bounds.
struct StoreLimits {
  /// One record: its key, a byte with the key's length, and its value.
  static constexpr std::size_t RecordBytes = 262144;
  /// The records of one call.
  static constexpr std::size_t CallBytes = 2097152;
};

/// Bytes of the record as the store counts them.
inline std::size_t storedBytes(const KeyedRecord &record) {
  return 1 + record.Key.size() + (record.Value ? record.Value->size() : 0);
}

/// Identifies one append, so that a repeat is idempotent and a producer with an
/// older epoch is fenced.
struct AppendStamp {
  std::string Producer;
  /// Fencing epoch of the producer.
  Epoch At;
  /// Rises by one with each append that has records.
  std::uint64_t Sequence = 0;
};

/// The append took effect, with this call or with an earlier one that it
/// repeats.
struct AppendAcknowledged {
  /// Offset of the next record to be appended.
  LogOffset End;
};

/// Consecutive records of a topic.
struct TopicPage {
  /// Offset of the oldest record that the store retains.
  LogOffset FirstRetained;
  /// Offset after the topic's last record.
  LogOffset End;
  std::vector<KeyedRecord> Records;
  /// Offset from which to read the next page.
  LogOffset Next;
};

/// Latest values of a topic's keys, in the order of the keys.
struct LatestValuesPage {
  std::vector<KeyedRecord> Records;
  /// Offset of each record; empty if a peer of an older build read the page.
  std::vector<LogOffset> Offsets;
  /// More keys follow the last one of the page.
  bool More = false;
  /// Offset after the topic's last record when the page was read.
  LogOffset End;
};

/// Result of a join.
struct GroupMembership {
  Epoch Generation;
  /// This member owns the topic's first partition.
  bool IsOwner = false;
};

/// The member that owns a topic's first partition; empty if it has no owner.
struct TopicOwner {
  std::string Member;
};

/// The call had no effect; the store is busy or refuses this caller for now.
struct StoreBusy {
  /// HTTP status.
  int Status = 0;
};
/// The call may have taken effect, or may still do so.
struct StoreOutcomeUnknown {
  std::string Reason;
};
/// The same producer has written with a newer epoch.
struct StoreFenced {
  /// Another attempt of this call got no answer and may have taken effect.
  bool AfterUnknown = false;
};
/// The append's sequence number is not the producer's next one, `Expected`.
struct StoreOutOfSequence {
  std::uint64_t Expected = 0;
  /// See StoreFenced.
  bool AfterUnknown = false;
};
/// Records before offset `First` are no longer retained.
struct StoreTruncated {
  LogOffset First;
};
/// The store rejects the call permanently; it is not retryable.
struct StoreRefused {
  /// HTTP status; 0 if the call was rejected before it reached the store.
  int Status = 0;
  std::string Detail;
};

/// Why a call failed.
using StoreError =
    std::variant<StoreBusy, StoreOutcomeUnknown, StoreFenced,
                 StoreOutOfSequence, StoreTruncated, StoreRefused>;
/// Text for logs.
std::string describe(const StoreError &error);

/// The value of a call, or why it failed.
template <typename T> using StoreResult = std::variant<T, StoreError>;
/// Receives the outcome of one call.
template <typename T> using StoreCallback = std::function<void(StoreResult<T>)>;

/// How much a call may return.
enum class ReadSize : std::uint8_t {
  /// A few records.
  Small,
  /// Up to 1 MB.
  Bulk
};

/// Asynchronous calls to the store. Each ends at its `deadline` at the latest.
class StorePort {
public:
  virtual ~StorePort() = default;

  /// Appends all records or none. Without records, only sets the producer's
  /// epoch.
  virtual void append(const TopicId &topic, const AppendStamp &stamp,
                      const std::vector<KeyedRecord> &records,
                      MonoTime deadline,
                      StoreCallback<AppendAcknowledged> done) = 0;
  /// Reads records from offset `from` on; if there is none yet, waits for one
  /// until `waitUntil`.
  virtual void read(const TopicId &topic, LogOffset from, MonoTime waitUntil,
                    MonoTime deadline, StoreCallback<TopicPage> done) = 0;
  /// Reads the latest record of each key after `afterKey`, one page a call;
  /// the next page follows the last key of this one. A record that the store
  /// returns in a form that can't be read has no value.
  virtual void readLatest(const TopicId &topic, const std::string &afterKey,
                          ReadSize size, CallDeadline deadline,
                          StoreCallback<LatestValuesPage> done) = 0;
  /// Joins the group that owns `topic`, or renews the membership. The store
  /// removes a member that has not joined for `sessionTimeout`. `last` is the
  /// generation that the member's previous join returned.
  virtual void join(const std::string &group, const std::string &member,
                    const TopicId &topic, Millis sessionTimeout, Epoch last,
                    MonoTime deadline, StoreCallback<GroupMembership> done) = 0;
  /// Gets the member of `group` that owns `topic`.
  virtual void findOwner(const std::string &group, const TopicId &topic,
                         MonoTime deadline, StoreCallback<TopicOwner> done) = 0;
  /// Ends the membership, so that another member can own the topic at once.
  virtual void leave(const std::string &group, const std::string &member,
                     MonoTime deadline,
                     StoreCallback<GroupMembership> done) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_STORE_STORE_PORT_H
