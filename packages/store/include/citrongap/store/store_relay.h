// Reaches the store through another entry VM when it refuses this one. The
// same call is made again by a peer; producers' sequence numbers make repeated
// appends harmless, and reads have no effect.
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

struct AppendCall {
  TopicId Topic;
  AppendStamp Stamp;
  std::vector<KeyedRecord> Records;
};
struct ReadCall {
  TopicId Topic;
  LogOffset From;
  /// Milliseconds from the arrival at the peer.
  std::int64_t WaitMs = 0;
};
struct ReadLatestCall {
  TopicId Topic;
  std::string AfterKey;
};
struct JoinCall {
  std::string Group;
  std::string Member;
  TopicId Topic;
  std::int64_t SessionTimeoutMs = 0;
  Epoch Last;
};

struct FindOwnerCall {
  std::string Group;
  TopicId Topic;
};

using StoreCall =
    std::variant<AppendCall, ReadCall, ReadLatestCall, JoinCall, FindOwnerCall>;
using StoreReply = std::variant<AppendAcknowledged, TopicPage, LatestValuesPage,
                                GroupMembership, TopicOwner, StoreError>;

std::string encode(const StoreCall &call);
std::string encode(const StoreReply &reply);
std::optional<StoreCall> decodeStoreCall(const std::string &bytes);
std::optional<StoreReply> decodeStoreReply(const std::string &bytes);

/// Makes a peer's call at `store` and gives the encoded reply; a call that
/// can't be read gets a refusal.
void serveStoreCall(StorePort &store, const std::string &bytes,
                    MonoTime deadline,
                    std::function<void(std::string reply)> done);

/// Sends bytes to a peer; nothing when it does not answer.
using PeerTransport = std::function<void(
    const Endpoint &peer, std::string bytes, MonoTime deadline,
    std::function<void(std::optional<std::string>)> done)>;

struct RelayOptions {
  /// An append without an answer is made through a peer as well; the store
  /// answers in about 6 ms, and in 400 ms when it is slow.
  Millis HedgeDelay{250};
  /// After a direct call failed, calls go through peers first for so long;
  /// then one tries the direct way again.
  Millis AvoidDirectFor{1000};
  /// Peers asked for one call, at the most.
  std::size_t MaxPeers = 3;
  /// One peer's answer to a call that does not wait.
  Millis PeerTimeout{300};
};

class RelayedStore : public StorePort {
public:
  RelayedStore(EventLoop &loop, StorePort &direct, PeerTransport transport,
               RelayOptions terms);

  /// Peers that may reach the store, by name.
  void setPeer(const std::string &name, const Endpoint &at);
  /// The store answered the last direct call.
  bool directWorks() const { return !Relaying; }
  /// A peer reached the store where this entry VM did not, or no longer needs
  /// to.
  std::function<void(bool relaying, const std::string &reason)> OnRelaying;

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
  /// Only directly: a membership that is not left lapses.
  void leave(const std::string &group, const std::string &member,
             MonoTime deadline, StoreCallback<GroupMembership> done) override;

private:
  struct Attempt;
  using Direct = std::function<void(MonoTime, std::function<void(StoreReply)>)>;

  void run(StoreCall call, Millis wait, MonoTime deadline, Direct direct,
           std::function<void(StoreReply)> done);
  void tryDirect(const std::shared_ptr<Attempt> &attempt);
  void tryPeer(const std::shared_ptr<Attempt> &attempt);
  void onReply(const std::shared_ptr<Attempt> &attempt, bool viaPeer,
               const StoreReply &reply);
  void finish(const std::shared_ptr<Attempt> &attempt, StoreReply reply);
  void directFailed(const StoreError &error);
  std::vector<Endpoint> peersToAsk() const;
  void prefer(const Endpoint &peer);

  EventLoop &Loop;
  StorePort &Store;
  PeerTransport Transport;
  RelayOptions Terms;
  std::map<std::string, Endpoint> Peers;
  /// The peer that answered last is asked first.
  std::string Preferred;
  /// The others take turns; rises when one did not help.
  std::size_t Turn = 0;
  MonoTime AvoidDirectUntil;
  bool Relaying = false;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_STORE_STORE_RELAY_H
