// PeerLink over TCP: one connection for the requests to each peer, opened on
// demand; its answers come back on the same connection.
#ifndef CITRONGAP_PEER_TCP_PEER_LINK_H
#define CITRONGAP_PEER_TCP_PEER_LINK_H

#include "citrongap/base/random.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/peer/peer_link.h"

#include <map>
#include <memory>
#include <vector>

struct evconnlistener;

namespace citrongap {

class IncomingConnection;
class OutgoingConnection;

struct PeerLinkLimits {
  /// A peer that sends a longer frame is cut off.
  std::size_t MaxFrameBytes = 16U << 20U;
  /// No further frame is buffered for a connection that holds so much.
  std::size_t MaxBufferedBytes = 4U << 20U;
  std::size_t MaxIncoming = 1024;
  /// A peer that has not finished a frame within this time of its first bytes
  /// is cut off. The largest frame takes 13.4 s at 10 Mbit/s.
  Millis FrameTimeout{30000};
  Millis ConnectTimeout{2000};
  /// Bounds of the jittered pause after a failed connection.
  Millis MinBackoff{50};
  Millis MaxBackoff{2000};
};

/// Must not be destroyed inside one of its own callbacks; requests that are
/// open when it is destroyed get no callback.
class TcpPeerLink final : public PeerLink {
public:
  /// Connects from `listen.Ip`; port 0 does not listen.
  TcpPeerLink(EventLoop &loop, EntryVmId self, Endpoint listen,
              PeerLinkLimits limits = {});
  ~TcpPeerLink() override;
  TcpPeerLink(const TcpPeerLink &) = delete;
  TcpPeerLink &operator=(const TcpPeerLink &) = delete;

  /// False when the address could not be bound.
  bool listening() const { return Listener != nullptr; }
  /// A change ends the connection to the earlier address.
  void setAddress(const EntryVmId &peer, const Endpoint &at);
  void removeAddress(const EntryVmId &peer);

  void request(const EntryVmId &to, std::string body, MonoTime deadline,
               std::function<void(PeerResult)> callback) override;
  void
  setHandler(std::function<void(const EntryVmId &from, const std::string &body,
                                const PeerResponder &respond)>
                 handler) override;

  /// Stops accepting connections; open ones go on.
  void stopAccepting();
  /// Asks peers to send nothing more, goes on answering what they sent before,
  /// and calls back once they have their answers or at `deadline`.
  void drain(MonoTime deadline, std::function<void()> done);

private:
  using Handler = std::function<void(const EntryVmId &, const std::string &,
                                     const PeerResponder &)>;
  /// A request that could not be sent, until its callback.
  struct Refusal {
    std::function<void(PeerResult)> Callback;
    Timer Now;
  };

  void listen();
  void accept(int fd);
  void refuse(std::uint64_t correlation,
              std::function<void(PeerResult)> callback);
  void finishDrain();

  EventLoop &Loop;
  EntryVmId Self;
  Endpoint ListenAt;
  PeerLinkLimits Limits;
  Random Jitter;
  evconnlistener *Listener = nullptr;
  Handler Handle;
  std::uint64_t NextCorrelation = 1;
  std::map<std::uint64_t, Refusal> Refusals;
  std::map<EntryVmId, std::unique_ptr<OutgoingConnection>> Outgoing;
  /// Removed peers' connections, until the loop is out of their callbacks.
  std::vector<std::unique_ptr<OutgoingConnection>> Retired;
  Timer RetireNow;
  std::map<IncomingConnection *, std::shared_ptr<IncomingConnection>> Incoming;
  /// Set while draining.
  std::function<void()> Drained;
  Timer DrainDeadline;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_TCP_PEER_LINK_H
