// Relays store calls through another entry VM when the store refuses or does
// not answer this one. A peer repeats the same call: appends are idempotent by
// their producers' sequence numbers, and reads have no effect.
#ifndef CITRONGAP_STORE_STORE_RELAY_H
#define CITRONGAP_STORE_STORE_RELAY_H

#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

// Arguments of the StorePort calls, as sent to a peer.

struct AppendCall {
  TopicId Topic;
  AppendStamp Stamp;
  std::vector<KeyedRecord> Records;
};
struct ReadCall {
  TopicId Topic;
  LogOffset From;
  /// Milliseconds to wait for a record, from the call's arrival at the peer.
  std::int64_t WaitMs = 0;
};
struct ReadLatestCall {
  TopicId Topic;
  std::string AfterKey;
  /// Builds that do not send it read pages of any size.
  ReadSize Size = ReadSize::Bulk;
};
struct JoinCall {
  std::string Group;
  std::string Member;
  TopicId Topic;
  std::int64_t SessionTimeoutMs = 0;
  /// Generation that the previous join returned.
  Epoch LastGeneration;
};

struct FindOwnerCall {
  std::string Group;
  TopicId Topic;
};

/// One relayed call and its reply.
using StoreCall =
    std::variant<AppendCall, ReadCall, ReadLatestCall, JoinCall, FindOwnerCall>;
using StoreReply = std::variant<AppendAcknowledged, TopicPage, LatestValuesPage,
                                GroupMembership, TopicOwner, StoreError>;

/// Encoding for the peer protocol; decoding gives nothing for malformed bytes.
std::string encode(const StoreCall &call);
std::string encode(const StoreReply &reply);
std::optional<StoreCall> decodeStoreCall(const std::string &bytes);
std::optional<StoreReply> decodeStoreReply(const std::string &bytes);

/// Decodes a peer's call, makes it at `store` and passes the encoded reply to
/// `done`. A malformed call is answered with StoreRefused.
void serveStoreCall(StorePort &store, const std::string &bytes,
                    CallDeadline deadline,
                    std::function<void(std::string reply)> done);

/// Sends an encoded call to a peer and passes its reply to the callback, or
/// nothing if the peer does not answer before the deadline.
using PeerTransport = std::function<void(
    const Endpoint &peer, std::string bytes, CallDeadline deadline,
    std::function<void(std::optional<std::string>)> done)>;

/// Limits of a RelayedStore.
struct RelayOptions {
  /// A call without an answer for this long is hedged through a peer; a read
  /// gets its wait time in addition. The store answers in about 6 ms, and in
  /// 400 ms when it is slow.
  Millis HedgeDelay{250};
  /// After a direct call failed, calls go through peers first for this long;
  /// then one call probes the direct path again.
  Millis DirectBackoff{1000};
  /// Upper bound of the peers that are tried for one call.
  std::size_t MaxPeers = 3;
  /// Limit for one peer's answer; a read gets its wait time in addition.
  Millis PeerTimeout{300};
};

/// A StorePort that calls the store directly and, if that fails, through peers.
/// Bulk reads are not hedged: a second copy would take the link and the store's
/// read rate from the first. They use one path at a time.
class RelayedStore : public StorePort {
public:
  /// `direct` is the store as this entry VM reaches it.
  RelayedStore(EventLoop &loop, StorePort &direct, PeerTransport transport,
               RelayOptions options);

  /// Adds a peer that calls can be relayed through, or changes its address.
  void setPeer(const std::string &name, const Endpoint &at);
  /// Makes a peer's call at the store. Answers StoreBusy if the last direct
  /// call failed, or if another bulk read is in progress and the call is one,
  /// so that a relay costs one hop and one bulk read at a time.
  void serve(const std::string &bytes, CallDeadline deadline,
             std::function<void(std::string reply)> done);
  /// Called with true and the reason when a direct call fails and calls go
  /// through peers from now on, and with false when a direct call works again.
  std::function<void(bool relaying, const std::string &reason)> OnRelaying;

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
  /// Never relayed: a membership that is not left ends with its session.
  void leave(const std::string &group, const std::string &member,
             MonoTime deadline, StoreCallback<GroupMembership> done) override;

private:
  struct RelayedCall;
  using DirectCall =
      std::function<void(CallDeadline, std::function<void(StoreReply)>)>;

  void startCall(StoreCall request, Millis wait, CallDeadline deadline,
                 DirectCall direct, std::function<void(StoreReply)> done);
  void tryDirect(const std::shared_ptr<RelayedCall> &call);
  void tryPeer(const std::shared_ptr<RelayedCall> &call);
  void onReply(const std::shared_ptr<RelayedCall> &call, bool viaPeer,
               const StoreReply &reply);
  void finish(const std::shared_ptr<RelayedCall> &call, StoreReply reply);
  void recordDirectFailure(const StoreError &error);
  std::vector<Endpoint> selectPeers() const;
  void setPreferred(const Endpoint &peer);

  EventLoop &Loop;
  StorePort &Store;
  PeerTransport Transport;
  RelayOptions Options;
  std::map<std::string, Endpoint> Peers;
  /// Name of the peer that last gave a definite reply; it is tried first.
  std::string Preferred;
  /// Rotates the order of the other peers; rises when a peer gave no definite
  /// reply.
  std::size_t Rotation = 0;
  /// Calls go through peers first until then.
  MonoTime DirectBackoffUntil;
  /// The last direct call failed.
  bool Relaying = false;
  /// Bulk reads in progress, of this entry VM and of peers.
  int BulkReads = 0;
  /// Guards callbacks of calls that outlive this object.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_STORE_RELAY_H
