// Owns the listener and the connections of both directions.
#include "citrongap/peer/tcp_peer_link.h"

#include "citrongap/base/log.h"
#include "incoming_connection.h"
#include "outgoing_connection.h"
#include "socket_options.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <utility>

namespace citrongap {

namespace {

constexpr Log PeerLog("peer");
constexpr int Backlog = 256;

} // namespace

TcpPeerLink::TcpPeerLink(EventLoop &loop, EntryVmId self, Endpoint listenAt,
                         PeerLinkLimits limits)
    : Loop(loop), Self(std::move(self)), ListenAt(std::move(listenAt)),
      Limits(limits), Jitter(Random::fromDevice()) {
  if (ListenAt.Port != 0)
    listen();
}

TcpPeerLink::~TcpPeerLink() { stopAccepting(); }

void TcpPeerLink::listen() {
  const auto address = toSocketAddress(ListenAt);
  if (address)
    Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
          static_cast<TcpPeerLink *>(arg)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        Backlog, reinterpret_cast<const sockaddr *>(&*address),
        sizeof *address);
  if (!Listener)
    PeerLog("cannot listen on {}", ListenAt.str());
}

void TcpPeerLink::accept(int fd) {
  if (Incoming.size() >= Limits.MaxIncoming) {
    PeerLog("refused a connection: {} are open", Incoming.size());
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_shared<IncomingConnection>(
      Loop, fd, Self, Limits, Handle, [this](IncomingConnection *it) {
        Incoming.erase(it);
        if (Drained && Incoming.empty())
          DrainDeadline = Loop.at(monoNow(), [this] { finishDrain(); });
      });
  Incoming.emplace(connection.get(), connection);
}

void TcpPeerLink::setAddress(const EntryVmId &peer, const Endpoint &at) {
  auto &connection = Outgoing[peer];
  if (!connection)
    connection =
        std::make_unique<OutgoingConnection>(Loop, ListenAt.Ip, Limits, Jitter);
  connection->setAddress(at);
}

void TcpPeerLink::removeAddress(const EntryVmId &peer) {
  auto node = Outgoing.extract(peer);
  if (node.empty())
    return;
  // It may be the connection whose callback is running.
  Retired.push_back(std::move(node.mapped()));
  Retired.back()->close();
  RetireNow = Loop.at(monoNow(), [this] { Retired.clear(); });
}

void TcpPeerLink::request(const EntryVmId &to, std::string body,
                          MonoTime deadline,
                          std::function<void(PeerResult)> callback) {
  const std::uint64_t correlation = NextCorrelation++;
  const auto it = Outgoing.find(to);
  const Frame frame{correlation, FrameKind::Request, Self, std::move(body)};
  if (it == Outgoing.end() || !it->second->send(frame, deadline, callback))
    refuse(correlation, std::move(callback));
}

void TcpPeerLink::refuse(std::uint64_t correlation,
                         std::function<void(PeerResult)> callback) {
  auto now = Loop.at(monoNow(), [this, correlation] {
    auto node = Refusals.extract(correlation);
    node.mapped().Callback(PeerError::NotSent);
  });
  Refusals.emplace(correlation, Refusal{std::move(callback), std::move(now)});
}

void TcpPeerLink::setHandler(Handler handler) { Handle = std::move(handler); }

void TcpPeerLink::stopAccepting() {
  if (!Listener)
    return;
  // Connections that the kernel has set up already may carry requests.
  const int listening = evconnlistener_get_fd(Listener);
  for (int fd = 0; (fd = accept4(listening, nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
    accept(fd);
  evconnlistener_free(std::exchange(Listener, nullptr));
}

void TcpPeerLink::drain(MonoTime deadline, std::function<void()> done) {
  stopAccepting();
  Drained = std::move(done);
  const auto open = Incoming;
  for (const auto &[key, connection] : open)
    connection->goAway();
  DrainDeadline = Loop.at(Incoming.empty() ? monoNow() : deadline,
                          [this] { finishDrain(); });
}

void TcpPeerLink::finishDrain() {
  DrainDeadline.cancel();
  Incoming.clear();
  if (const auto done = std::exchange(Drained, nullptr))
    done();
}

} // namespace citrongap
