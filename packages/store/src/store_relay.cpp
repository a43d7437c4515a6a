// Chooses between the direct way to the store and a peer's.
#include "citrongap/store/store_relay.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <utility>

namespace citrongap {

/// One call, until its first definite reply.
struct RelayedStore::Attempt {
  StoreCall Call;
  Millis Wait{0};
  MonoTime Deadline;
  Direct Make;
  std::function<void(StoreReply)> Done;
  /// Peers still to be asked.
  std::vector<Endpoint> ToAsk;
  /// Ways that are under way.
  int Pending = 0;
  bool TriedDirect = false;
  Timer Hedge;
  /// Something may have been done: a try ended without an answer.
  bool Uncertain = false;
  std::optional<StoreError> Last;
};

namespace {

/// A reply that another way to the store would not change.
bool definite(const StoreReply &reply) {
  const auto *error = std::get_if<StoreError>(&reply);
  return !error || !(std::holds_alternative<StoreBusy>(*error) ||
                     std::holds_alternative<StoreOutcomeUnknown>(*error));
}

template <typename T> StoreResult<T> resultOf(StoreReply reply) {
  if (auto *value = std::get_if<T>(&reply))
    return std::move(*value);
  if (auto *error = std::get_if<StoreError>(&reply))
    return std::move(*error);
  return StoreError(StoreOutcomeUnknown{"a peer answered another call"});
}

template <typename T>
StoreCallback<T> replyTo(std::function<void(StoreReply)> done) {
  return [done = std::move(done)](StoreResult<T> result) {
    std::visit([&](auto &it) { done(StoreReply(std::move(it))); }, result);
  };
}

} // namespace

RelayedStore::RelayedStore(EventLoop &loop, StorePort &direct,
                           PeerTransport transport, RelayOptions terms)
    : Loop(loop), Store(direct), Transport(std::move(transport)), Terms(terms) {
}

void RelayedStore::setPeer(const std::string &name, const Endpoint &at) {
  // A seed's address is listed under the peer's name once that is known.
  std::erase_if(Peers, [&](const auto &it) { return it.second == at; });
  Peers[name] = at;
}

void RelayedStore::run(StoreCall call, Millis wait, MonoTime deadline,
                       Direct direct, std::function<void(StoreReply)> done) {
  const bool isAppend = std::holds_alternative<AppendCall>(call);
  auto attempt = std::make_shared<Attempt>();
  attempt->Call = std::move(call);
  attempt->Wait = wait;
  attempt->Deadline = deadline;
  attempt->Make = std::move(direct);
  attempt->Done = std::move(done);
  attempt->ToAsk = peersToAsk();
  const MonoTime now = monoNow();
  if (now < AvoidDirectUntil && !attempt->ToAsk.empty()) {
    tryPeer(attempt);
    return;
  }
  if (AvoidDirectUntil > MonoTime() && now >= AvoidDirectUntil)
    AvoidDirectUntil = now + Terms.AvoidDirectFor;
  tryDirect(attempt);
  const Millis hedge = isAppend ? Terms.HedgeDelay : wait + Terms.HedgeDelay;
  if (!attempt->ToAsk.empty())
    attempt->Hedge = Loop.at(now + hedge, [this, attempt] {
      if (attempt->Done)
        tryPeer(attempt);
    });
}

std::vector<Endpoint> RelayedStore::peersToAsk() const {
  std::vector<Endpoint> all;
  for (const auto &[name, at] : Peers)
    if (name != Preferred)
      all.push_back(at);
  if (!all.empty())
    std::rotate(all.begin(),
                all.begin() + static_cast<std::ptrdiff_t>(Turn % all.size()),
                all.end());
  if (const auto it = Peers.find(Preferred); it != Peers.end())
    all.insert(all.begin(), it->second);
  if (all.size() > Terms.MaxPeers)
    all.resize(Terms.MaxPeers);
  return all;
}

void RelayedStore::tryDirect(const std::shared_ptr<Attempt> &attempt) {
  ++attempt->Pending;
  attempt->TriedDirect = true;
  attempt->Make(attempt->Deadline,
                [this, attempt,
                 alive = std::weak_ptr<int>(Alive)](const StoreReply &reply) {
                  if (alive.lock())
                    onReply(attempt, false, reply);
                });
}

void RelayedStore::tryPeer(const std::shared_ptr<Attempt> &attempt) {
  if (attempt->ToAsk.empty())
    return;
  const Endpoint peer = attempt->ToAsk.front();
  attempt->ToAsk.erase(attempt->ToAsk.begin());
  ++attempt->Pending;
  const MonoTime by = std::min(attempt->Deadline,
                               monoNow() + attempt->Wait + Terms.PeerTimeout);
  Transport(peer, encode(attempt->Call), by,
            [this, attempt, peer, alive = std::weak_ptr<int>(Alive)](
                const std::optional<std::string> &bytes) {
              if (!alive.lock())
                return;
              std::optional<StoreReply> reply;
              if (bytes)
                reply = decodeStoreReply(*bytes);
              if (reply && definite(*reply))
                prefer(peer);
              else
                ++Turn;
              onReply(attempt, true,
                      reply ? *reply
                            : StoreReply(StoreError(StoreOutcomeUnknown{
                                  "the peer did not answer"})));
            });
}

void RelayedStore::prefer(const Endpoint &peer) {
  for (const auto &[name, at] : Peers)
    if (at == peer)
      Preferred = name;
}

void RelayedStore::directFailed(const StoreError &error) {
  AvoidDirectUntil = monoNow() + Terms.AvoidDirectFor;
  if (!std::exchange(Relaying, true) && OnRelaying)
    OnRelaying(true, describe(error));
}

void RelayedStore::onReply(const std::shared_ptr<Attempt> &attempt,
                           bool viaPeer, const StoreReply &reply) {
  --attempt->Pending;
  if (!viaPeer) {
    if (definite(reply)) {
      AvoidDirectUntil = MonoTime();
      if (std::exchange(Relaying, false) && OnRelaying)
        OnRelaying(false, "");
    } else {
      directFailed(std::get<StoreError>(reply));
    }
  }
  if (!attempt->Done)
    return;
  if (definite(reply)) {
    finish(attempt, reply);
    return;
  }
  const StoreError &error = std::get<StoreError>(reply);
  attempt->Last = error;
  if (std::holds_alternative<StoreOutcomeUnknown>(error))
    attempt->Uncertain = true;
  if (monoNow() < attempt->Deadline) {
    if (!attempt->ToAsk.empty()) {
      tryPeer(attempt);
      return;
    }
    if (!attempt->TriedDirect) {
      tryDirect(attempt);
      return;
    }
  }
  if (attempt->Pending > 0)
    return;
  // No peer helps: the direct way is as good, and shows the store's return.
  AvoidDirectUntil = MonoTime();
  // "Busy" promises that nothing was done, on any way.
  if (attempt->Uncertain && std::holds_alternative<StoreBusy>(error))
    finish(attempt, StoreError(StoreOutcomeUnknown{"one way did not answer"}));
  else
    finish(attempt, reply);
}

void RelayedStore::finish(const std::shared_ptr<Attempt> &attempt,
                          StoreReply reply) {
  const auto done = std::exchange(attempt->Done, nullptr);
  attempt->Hedge.cancel();
  done(std::move(reply));
}

void RelayedStore::append(const TopicId &topic, const AppendStamp &stamp,
                          const std::vector<KeyedRecord> &records,
                          MonoTime deadline,
                          StoreCallback<AppendAcknowledged> done) {
  run(
      AppendCall{topic, stamp, records}, Millis(0), deadline,
      [this, topic, stamp, records](MonoTime by, auto reply) {
        Store.append(topic, stamp, records, by,
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
  run(
      ReadCall{topic, from, wait.count()}, wait, deadline,
      [this, topic, from, waitUntil](MonoTime by, auto reply) {
        Store.read(topic, from, waitUntil, by, replyTo<TopicPage>(reply));
      },
      [done](StoreReply it) { done(resultOf<TopicPage>(std::move(it))); });
}

void RelayedStore::readLatest(const TopicId &topic, const std::string &afterKey,
                              MonoTime deadline,
                              StoreCallback<LatestValuesPage> done) {
  run(
      ReadLatestCall{topic, afterKey}, Millis(0), deadline,
      [this, topic, afterKey](MonoTime by, auto reply) {
        Store.readLatest(topic, afterKey, by, replyTo<LatestValuesPage>(reply));
      },
      [done](StoreReply it) {
        done(resultOf<LatestValuesPage>(std::move(it)));
      });
}

void RelayedStore::join(const std::string &group, const std::string &member,
                        const TopicId &topic, Millis sessionTimeout, Epoch last,
                        MonoTime deadline,
                        StoreCallback<GroupMembership> done) {
  run(
      JoinCall{group, member, topic, sessionTimeout.count(), last}, Millis(0),
      deadline,
      [this, group, member, topic, sessionTimeout, last](MonoTime by,
                                                         auto reply) {
        Store.join(group, member, topic, sessionTimeout, last, by,
                   replyTo<GroupMembership>(reply));
      },
      [done](StoreReply it) {
        done(resultOf<GroupMembership>(std::move(it)));
      });
}

void RelayedStore::findOwner(const std::string &group, const TopicId &topic,
                             MonoTime deadline,
                             StoreCallback<TopicOwner> done) {
  run(
      FindOwnerCall{group, topic}, Millis(0), deadline,
      [this, group, topic](MonoTime by, auto reply) {
        Store.findOwner(group, topic, by, replyTo<TopicOwner>(reply));
      },
      [done](StoreReply it) { done(resultOf<TopicOwner>(std::move(it))); });
}

void RelayedStore::leave(const std::string &group, const std::string &member,
                         MonoTime deadline,
                         StoreCallback<GroupMembership> done) {
  Store.leave(group, member, deadline, std::move(done));
}

void serveStoreCall(StorePort &store, const std::string &bytes,
                    MonoTime deadline,
                    std::function<void(std::string reply)> done) {
  const auto call = decodeStoreCall(bytes);
  const auto reply = [done = std::move(done)](const StoreReply &it) {
    done(encode(it));
  };
  if (!call) {
    reply(StoreError(StoreRefused{0, "the call can't be read"}));
    return;
  }
  std::visit(Overloaded{[&](const AppendCall &it) {
                          store.append(it.Topic, it.Stamp, it.Records, deadline,
                                       replyTo<AppendAcknowledged>(reply));
                        },
                        [&](const ReadCall &it) {
                          store.read(it.Topic, it.From,
                                     monoNow() + Millis(it.WaitMs), deadline,
                                     replyTo<TopicPage>(reply));
                        },
                        [&](const ReadLatestCall &it) {
                          store.readLatest(it.Topic, it.AfterKey, deadline,
                                           replyTo<LatestValuesPage>(reply));
                        },
                        [&](const FindOwnerCall &it) {
                          store.findOwner(it.Group, it.Topic, deadline,
                                          replyTo<TopicOwner>(reply));
                        },
                        [&](const JoinCall &it) {
                          store.join(it.Group, it.Member, it.Topic,
                                     Millis(it.SessionTimeoutMs), it.Last,
                                     deadline, replyTo<GroupMembership>(reply));
                        }},
             *call);
}

} // namespace citrongap
