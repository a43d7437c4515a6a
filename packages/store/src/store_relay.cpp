// Chooses between the direct path to the store and the paths through peers.
#include "citrongap/store/store_relay.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <utility>

namespace citrongap {

/// State of one call until its first definite reply and its last attempt.
struct RelayedStore::RelayedCall {
  explicit RelayedCall(CallDeadline deadline) : Deadline(deadline) {}

  StoreCall Request;
  /// How long a read waits for a record; 0 for other calls.
  Millis ReadWait{0};
  CallDeadline Deadline;
  DirectCall CallDirect;
  /// Empty once a reply was given.
  std::function<void(StoreReply)> Done;
  /// Peers that were not tried yet.
  std::vector<Endpoint> RemainingPeers;
  /// Attempts, direct or through peers, that have not ended.
  int InFlight = 0;
  bool TriedDirect = false;
  Timer HedgeTimer;
  /// An attempt got no answer and may have taken effect.
  bool OutcomeUnknown = false;
  std::optional<StoreError> LastError;
};

namespace {

/// True if another path to the store would give the same reply.
bool isDefinite(const StoreReply &reply) {
  const auto *error = std::get_if<StoreError>(&reply);
  return !error || !(std::holds_alternative<StoreBusy>(*error) ||
                     std::holds_alternative<StoreOutcomeUnknown>(*error));
}

/// `reply`, with a note that another attempt may have taken effect.
StoreReply afterUnknown(StoreReply reply) {
  if (auto *error = std::get_if<StoreError>(&reply)) {
    if (auto *fenced = std::get_if<StoreFenced>(error))
      fenced->AfterUnknown = true;
    else if (auto *mismatch = std::get_if<StoreOutOfSequence>(error))
      mismatch->AfterUnknown = true;
  }
  return reply;
}

template <typename T> StoreResult<T> resultOf(StoreReply reply) {
  if (auto *value = std::get_if<T>(&reply))
    return std::move(*value);
  if (auto *error = std::get_if<StoreError>(&reply))
    return std::move(*error);
  return StoreError(
      StoreOutcomeUnknown{"the peer sent a reply of another type"});
}

template <typename T>
StoreCallback<T> replyTo(std::function<void(StoreReply)> done) {
  return [done = std::move(done)](StoreResult<T> result) {
    std::visit([&](auto &it) { done(StoreReply(std::move(it))); }, result);
  };
}

} // namespace

RelayedStore::RelayedStore(EventLoop &loop, StorePort &direct,
                           PeerTransport transport, RelayOptions options)
    : Loop(loop), Store(direct), Transport(std::move(transport)),
      Options(options) {}

void RelayedStore::setPeer(const std::string &name, const Endpoint &at) {
  // Once the name of the peer at a seed address is known, the peer is listed
  // under that name only.
  std::erase_if(Peers, [&](const auto &it) { return it.second == at; });
  Peers[name] = at;
}

void RelayedStore::startCall(StoreCall request, Millis wait,
                             CallDeadline deadline, DirectCall direct,
                             std::function<void(StoreReply)> done) {
  const bool isAppend = std::holds_alternative<AppendCall>(request);
  auto call = std::make_shared<RelayedCall>(deadline);
  call->Request = std::move(request);
  call->ReadWait = wait;
  call->CallDirect = std::move(direct);
  call->Done = std::move(done);
  call->RemainingPeers = selectPeers();
  const MonoTime now = monoNow();
  if (now < DirectBackoffUntil && !call->RemainingPeers.empty()) {
    tryPeer(call);
    return;
  }
  if (DirectBackoffUntil > MonoTime() && now >= DirectBackoffUntil)
    DirectBackoffUntil = now + Options.DirectBackoff;
  tryDirect(call);
  if (!deadline.isFixed())
    return;
  const Millis hedge =
      isAppend ? Options.HedgeDelay : wait + Options.HedgeDelay;
  if (!call->RemainingPeers.empty())
    call->HedgeTimer =
        Loop.at(now + hedge, [this, call, alive = std::weak_ptr<int>(Alive)] {
          if (alive.lock() && call->Done)
            tryPeer(call);
        });
}

std::vector<Endpoint> RelayedStore::selectPeers() const {
  std::vector<Endpoint> all;
  for (const auto &[name, at] : Peers)
    if (name != Preferred)
      all.push_back(at);
  if (!all.empty())
    std::rotate(all.begin(),
                all.begin() +
                    static_cast<std::ptrdiff_t>(Rotation % all.size()),
                all.end());
  if (const auto it = Peers.find(Preferred); it != Peers.end())
    all.insert(all.begin(), it->second);
  if (all.size() > Options.MaxPeers)
    all.resize(Options.MaxPeers);
  return all;
}

void RelayedStore::tryDirect(const std::shared_ptr<RelayedCall> &call) {
  ++call->InFlight;
  call->TriedDirect = true;
  call->CallDirect(
      call->Deadline,
      [this, call, alive = std::weak_ptr<int>(Alive)](const StoreReply &reply) {
        if (alive.lock())
          onReply(call, false, reply);
      });
}

void RelayedStore::tryPeer(const std::shared_ptr<RelayedCall> &call) {
  if (call->RemainingPeers.empty())
    return;
  const Endpoint peer = call->RemainingPeers.front();
  call->RemainingPeers.erase(call->RemainingPeers.begin());
  ++call->InFlight;
  CallDeadline peerDeadline = call->Deadline;
  if (peerDeadline.isFixed())
    peerDeadline.At = std::min(peerDeadline.At, monoNow() + call->ReadWait +
                                                    Options.PeerTimeout);
  Transport(peer, encode(call->Request), peerDeadline,
            [this, call, peer, alive = std::weak_ptr<int>(Alive)](
                const std::optional<std::string> &bytes) {
              if (!alive.lock())
                return;
              std::optional<StoreReply> reply;
              if (bytes)
                reply = decodeStoreReply(*bytes);
              if (reply && isDefinite(*reply))
                setPreferred(peer);
              else
                ++Rotation;
              onReply(call, true,
                      reply ? *reply
                            : StoreReply(StoreError(StoreOutcomeUnknown{
                                  "the peer did not answer"})));
            });
}

void RelayedStore::setPreferred(const Endpoint &peer) {
  for (const auto &[name, at] : Peers)
    if (at == peer)
      Preferred = name;
}

void RelayedStore::recordDirectFailure(const StoreError &error) {
  DirectBackoffUntil = monoNow() + Options.DirectBackoff;
  if (!std::exchange(Relaying, true) && OnRelaying)
    OnRelaying(true, describe(error));
}

void RelayedStore::onReply(const std::shared_ptr<RelayedCall> &call,
                           bool viaPeer, const StoreReply &reply) {
  --call->InFlight;
  if (!viaPeer) {
    if (isDefinite(reply)) {
      DirectBackoffUntil = MonoTime();
      if (std::exchange(Relaying, false) && OnRelaying)
        OnRelaying(false, "");
    } else {
      recordDirectFailure(std::get<StoreError>(reply));
    }
  }
  if (!call->Done)
    return;
  const auto *refusal = std::get_if<StoreError>(&reply);
  const bool isRefusal =
      refusal && std::holds_alternative<StoreRefused>(*refusal);
  // Another attempt may have taken effect, or may still do so.
  const bool anyUnknown = call->OutcomeUnknown || call->InFlight > 0;
  if (isDefinite(reply) && !(isRefusal && anyUnknown)) {
    finish(call, anyUnknown ? afterUnknown(reply) : reply);
    return;
  }
  const StoreError &error = std::get<StoreError>(reply);
  call->LastError = error;
  if (std::holds_alternative<StoreOutcomeUnknown>(error))
    call->OutcomeUnknown = true;
  if (monoNow() < call->Deadline.At) {
    if (!call->RemainingPeers.empty()) {
      tryPeer(call);
      return;
    }
    if (!call->TriedDirect) {
      tryDirect(call);
      return;
    }
  }
  if (call->InFlight > 0)
    return;
  // No path gave a definite reply. The next call goes directly again, so that
  // the store's recovery is detected.
  DirectBackoffUntil = MonoTime();
  // StoreBusy and StoreRefused guarantee that the call had no effect. That
  // holds only if no attempt on any path is of unknown outcome.
  if (call->OutcomeUnknown &&
      !std::holds_alternative<StoreOutcomeUnknown>(error))
    finish(call, StoreError(StoreOutcomeUnknown{
                     "one of several attempts got no answer"}));
  else
    finish(call, reply);
}

void RelayedStore::finish(const std::shared_ptr<RelayedCall> &call,
                          StoreReply reply) {
  const auto done = std::exchange(call->Done, nullptr);
  call->HedgeTimer.cancel();
  done(std::move(reply));
}

void RelayedStore::append(const TopicId &topic, const AppendStamp &stamp,
                          const std::vector<KeyedRecord> &records,
                          MonoTime deadline,
                          StoreCallback<AppendAcknowledged> done) {
  startCall(
      AppendCall{topic, stamp, records}, Millis(0), deadline,
      [this, topic, stamp, records](CallDeadline callDeadline, auto reply) {
        Store.append(topic, stamp, records, callDeadline.At,
                     replyTo<AppendAcknowledged>(reply));
      },
      [done](StoreReply it) {
        done(resultOf<AppendAcknowledged>(std::move(it)));
      });
}

void RelayedStore::read(const TopicId &topic, LogOffset from,
                        MonoTime waitUntil, MonoTime deadline,
                        StoreCallback<TopicPage> done) {
  const Millis wait = std::max(waitUntil - monoNow(), Millis(0));
  startCall(
      ReadCall{topic, from, wait.count()}, wait, deadline,
      [this, topic, from, waitUntil](CallDeadline callDeadline, auto reply) {
        Store.read(topic, from, waitUntil, callDeadline.At,
                   replyTo<TopicPage>(reply));
      },
      [done](StoreReply it) { done(resultOf<TopicPage>(std::move(it))); });
}

void RelayedStore::readLatest(const TopicId &topic, const std::string &afterKey,
                              ReadSize size, CallDeadline deadline,
                              StoreCallback<LatestValuesPage> done) {
  const int bulkReads = size == ReadSize::Bulk ? 1 : 0;
  BulkReads += bulkReads;
  startCall(
      ReadLatestCall{topic, afterKey, size}, Millis(0), deadline,
      [this, topic, afterKey, size](CallDeadline callDeadline, auto reply) {
        Store.readLatest(topic, afterKey, size, callDeadline,
                         replyTo<LatestValuesPage>(reply));
      },
      [this, bulkReads, done](StoreReply it) {
        BulkReads -= bulkReads;
        done(resultOf<LatestValuesPage>(std::move(it)));
      });
}

void RelayedStore::join(const std::string &group, const std::string &member,
                        const TopicId &topic, Millis sessionTimeout, Epoch last,
                        MonoTime deadline,
                        StoreCallback<GroupMembership> done) {
  startCall(
      JoinCall{group, member, topic, sessionTimeout.count(), last}, Millis(0),
      deadline,
      [this, group, member, topic, sessionTimeout,
       last](CallDeadline callDeadline, auto reply) {
        Store.join(group, member, topic, sessionTimeout, last, callDeadline.At,
                   replyTo<GroupMembership>(reply));
      },
      [done](StoreReply it) {
        done(resultOf<GroupMembership>(std::move(it)));
      });
}

void RelayedStore::findOwner(const std::string &group, const TopicId &topic,
                             MonoTime deadline,
                             StoreCallback<TopicOwner> done) {
  startCall(
      FindOwnerCall{group, topic}, Millis(0), deadline,
      [this, group, topic](CallDeadline callDeadline, auto reply) {
        Store.findOwner(group, topic, callDeadline.At,
                        replyTo<TopicOwner>(reply));
      },
      [done](StoreReply it) { done(resultOf<TopicOwner>(std::move(it))); });
}

void RelayedStore::leave(const std::string &group, const std::string &member,
                         MonoTime deadline,
                         StoreCallback<GroupMembership> done) {
  Store.leave(group, member, deadline, std::move(done));
}

void RelayedStore::serve(const std::string &bytes, CallDeadline deadline,
                         std::function<void(std::string reply)> done) {
  const auto call = decodeStoreCall(bytes);
  const auto *load = call ? std::get_if<ReadLatestCall>(&*call) : nullptr;
  const bool isBulk = load && load->Size == ReadSize::Bulk;
  if (Relaying || (isBulk && BulkReads > 0)) {
    done(encode(StoreReply(StoreError(StoreBusy{0}))));
    return;
  }
  const int bulkReads = isBulk ? 1 : 0;
  BulkReads += bulkReads;
  serveStoreCall(Store, bytes, deadline,
                 [this, bulkReads, done = std::move(done),
                  alive = std::weak_ptr<int>(Alive)](std::string reply) {
                   if (!alive.lock())
                     return;
                   BulkReads -= bulkReads;
                   done(std::move(reply));
                 });
}

void serveStoreCall(StorePort &store, const std::string &bytes,
                    CallDeadline deadline,
                    std::function<void(std::string reply)> done) {
  const auto call = decodeStoreCall(bytes);
  const auto reply = [done = std::move(done)](const StoreReply &it) {
    done(encode(it));
  };
  if (!call) {
    reply(StoreError(StoreRefused{0, "the call can't be read"}));
    return;
  }
  std::visit(
      Overloaded{[&](const AppendCall &it) {
                   store.append(it.Topic, it.Stamp, it.Records, deadline.At,
                                replyTo<AppendAcknowledged>(reply));
                 },
                 [&](const ReadCall &it) {
                   store.read(it.Topic, it.From, monoNow() + Millis(it.WaitMs),
                              deadline.At, replyTo<TopicPage>(reply));
                 },
                 [&](const ReadLatestCall &it) {
                   store.readLatest(it.Topic, it.AfterKey, it.Size, deadline,
                                    replyTo<LatestValuesPage>(reply));
                 },
                 [&](const FindOwnerCall &it) {
                   store.findOwner(it.Group, it.Topic, deadline.At,
                                   replyTo<TopicOwner>(reply));
                 },
                 [&](const JoinCall &it) {
                   store.join(it.Group, it.Member, it.Topic,
                              Millis(it.SessionTimeoutMs), it.LastGeneration,
                              deadline.At, replyTo<GroupMembership>(reply));
                 }},
      *call);
}

} // namespace citrongap
