// Binary encoding of relayed calls and replies, with cereal.
#include "citrongap/base/bounded_input_archive.h"
#include "citrongap/store/store_relay.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace citrongap {

template <typename Archive> void serialize(Archive &ar, KeyedRecord &it) {
  ar(it.Key, it.Value);
}
template <typename Archive> void serialize(Archive &ar, AppendStamp &it) {
  ar(it.Producer, it.At, it.Sequence);
}
template <typename Archive> void serialize(Archive &ar, AppendCall &it) {
  ar(it.Topic, it.Stamp, it.Records);
}
template <typename Archive> void serialize(Archive &ar, ReadCall &it) {
  ar(it.Topic, it.From, it.WaitMs);
}
template <typename Archive> void save(Archive &ar, const ReadLatestCall &it) {
  ar(it.Topic, it.AfterKey, it.Size == ReadSize::Bulk);
}
template <typename Archive> void load(Archive &ar, ReadLatestCall &it) {
  ar(it.Topic, it.AfterKey);
  bool isBulk = true;
  // Builds from before the field end here.
  try {
    ar(isBulk);
  } catch (const cereal::Exception &) {
    isBulk = true;
  }
  it.Size = isBulk ? ReadSize::Bulk : ReadSize::Small;
}
template <typename Archive> void serialize(Archive &ar, JoinCall &it) {
  ar(it.Group, it.Member, it.Topic, it.SessionTimeoutMs, it.LastGeneration);
}
template <typename Archive> void serialize(Archive &ar, FindOwnerCall &it) {
  ar(it.Group, it.Topic);
}
template <typename Archive> void serialize(Archive &ar, TopicOwner &it) {
  ar(it.Member);
}
template <typename Archive>
void serialize(Archive &ar, AppendAcknowledged &it) {
  ar(it.End);
}
template <typename Archive> void serialize(Archive &ar, TopicPage &it) {
  ar(it.FirstRetained, it.End, it.Records, it.Next);
}
template <typename Archive> void save(Archive &ar, const LatestValuesPage &it) {
  ar(it.Records, it.More, it.End, it.Offsets);
}
template <typename Archive> void load(Archive &ar, LatestValuesPage &it) {
  ar(it.Records, it.More, it.End);
  // Builds from before the field end here.
  try {
    ar(it.Offsets);
  } catch (const cereal::Exception &) {
    it.Offsets.clear();
  }
}
template <typename Archive> void serialize(Archive &ar, GroupMembership &it) {
  ar(it.Generation, it.IsOwner);
}
template <typename Archive> void serialize(Archive &ar, StoreBusy &it) {
  ar(it.Status);
}
template <typename Archive>
void serialize(Archive &ar, StoreOutcomeUnknown &it) {
  ar(it.Reason);
}
// Peers make one attempt, so `AfterUnknown` is not sent.
template <typename Archive> void serialize(Archive &, StoreFenced &) {}
template <typename Archive>
void serialize(Archive &ar, StoreOutOfSequence &it) {
  ar(it.Expected);
}
template <typename Archive> void serialize(Archive &ar, StoreTruncated &it) {
  ar(it.First);
}
template <typename Archive> void serialize(Archive &ar, StoreRefused &it) {
  ar(it.Status, it.Detail);
}

namespace {

template <typename T> std::string toBytes(const T &value) {
  std::ostringstream out(std::ios::binary);
  cereal::PortableBinaryOutputArchive ar(out);
  ar(value);
  return std::move(out).str();
}

template <typename T> std::optional<T> fromBytes(const std::string &bytes) {
  T value;
  // cereal reports malformed input by exceptions. They become an empty result,
  // which the caller handles.
  try {
    BoundedInputArchive ar(bytes);
    ar(value);
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string encode(const StoreCall &call) { return toBytes(call); }
std::string encode(const StoreReply &reply) { return toBytes(reply); }

std::optional<StoreCall> decodeStoreCall(const std::string &bytes) {
  return fromBytes<StoreCall>(bytes);
}

std::optional<StoreReply> decodeStoreReply(const std::string &bytes) {
  return fromBytes<StoreReply>(bytes);
}

} // namespace citrongap
