// TCP pipes by bufferevents, UDP by one connected socket for each sender.
#include "citrongap/testing/relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <list>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace citrongap::testing {

namespace {

constexpr std::size_t MaxDatagram = 65'536;
constexpr int Backlog = 64;

sockaddr_in addressOf(const Endpoint &at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(at.Port);
  out.sin_addr.s_addr = inet_addr(at.Ip.c_str());
  return out;
}

Endpoint endpointOf(const sockaddr_in &address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(address.sin_port)};
}

int udpSocket(const Endpoint &at) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = addressOf(at);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) ==
      0)
    return fd;
  ::close(fd);
  return -1;
}

} // namespace

/// One connection and its continuation to the target.
struct Relay::Pipe {
  Relay *Owner;
  bufferevent *Near = nullptr;
  bufferevent *Far = nullptr;

  explicit Pipe(Relay *owner) : Owner(owner) {}
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;
  ~Pipe() {
    bufferevent_free(Near);
    bufferevent_free(Far);
  }
  /// Nothing is read from one side and written to the other.
  static void cutWay(bufferevent *from, bufferevent *to, bool cut) {
    if (cut) {
      bufferevent_disable(from, EV_READ);
      bufferevent_disable(to, EV_WRITE);
    } else {
      bufferevent_enable(from, EV_READ);
      bufferevent_enable(to, EV_WRITE);
    }
  }
  void setCut(bool toTarget, bool fromTarget) const {
    cutWay(Near, Far, toTarget);
    cutWay(Far, Near, fromTarget);
  }
  void forward(bufferevent *from) {
    bufferevent *to = from == Near ? Far : Near;
    if (Owner->Delay.count() == 0 && OnTheWay.empty()) {
      evbuffer_add_buffer(bufferevent_get_output(to),
                          bufferevent_get_input(from));
      return;
    }
    evbuffer *input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    LastDue = std::max(LastDue, monoNow() + Owner->Delay);
    OnTheWay.push_back(
        Owner->Loop.at(LastDue, [this, to, bytes = std::move(bytes)] {
          bufferevent_write(to, bytes.data(), bytes.size());
          Arrived.splice(Arrived.end(), OnTheWay, OnTheWay.begin());
          if (Closing && OnTheWay.empty())
            Owner->close(this);
        }));
  }
  MonoTime LastDue;
  /// Bytes under delay, in order; timers of one delay fire in that order.
  std::list<Timer> OnTheWay;
  /// Timers that have fired; freed with the pipe, since one may be running.
  std::list<Timer> Arrived;
  bool Closing = false;
};

/// What one sender sends on, and its replies.
struct Relay::UdpSession {
  Relay *Owner;
  Endpoint Sender;
  int Socket;
  event *Reply = nullptr;

  UdpSession(Relay *owner, Endpoint sender, int fd)
      : Owner(owner), Sender(std::move(sender)), Socket(fd) {}
  ~UdpSession() {
    event_free(Reply);
    ::close(Socket);
  }
  UdpSession(const UdpSession &) = delete;
  UdpSession &operator=(const UdpSession &) = delete;
  void onReply() const {
    std::array<char, MaxDatagram> buf;
    const auto n = recv(Socket, buf.data(), buf.size(), 0);
    if (n < 0 || Owner->CutFrom)
      return;
    const sockaddr_in to = addressOf(Sender);
    sendto(Owner->Socket, buf.data(), static_cast<std::size_t>(n), 0,
           reinterpret_cast<const sockaddr *>(&to), sizeof to);
  }
};

Relay::Relay(EventLoop &loop, Endpoint listen, Endpoint target)
    : Loop(loop), Listen(std::move(listen)), Target(std::move(target)) {
  const sockaddr_in address = addressOf(Listen);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
        static_cast<Relay *>(arg)->onAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, Backlog,
      reinterpret_cast<const sockaddr *>(&address), sizeof address);
  Socket = udpSocket(Listen);
  if (Socket < 0)
    return;
  Inbound = event_new(
      Loop.base(), Socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        static_cast<Relay *>(arg)->onDatagram();
      },
      this);
  event_add(Inbound, nullptr);
}

Relay::~Relay() {
  if (Listener)
    evconnlistener_free(Listener);
  if (Inbound)
    event_free(Inbound);
  if (Socket >= 0)
    ::close(Socket);
}

void Relay::setCut(bool toTarget, bool fromTarget) {
  CutTo = toTarget;
  CutFrom = fromTarget;
  for (const auto &it : Pipes)
    it->setCut(toTarget, fromTarget);
}

void Relay::reset() {
  const linger abort{1, 0};
  for (const auto &it : Pipes)
    for (bufferevent *end : {it->Near, it->Far})
      setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &abort,
                 sizeof abort);
  Pipes.clear();
}

void Relay::onAccept(int fd) {
  auto owned = std::make_unique<Pipe>(this);
  Pipe *pipe = owned.get();
  pipe->Near = bufferevent_socket_new(Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  pipe->Far = bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const auto onRead = [](bufferevent *from, void *arg) {
    static_cast<Pipe *>(arg)->forward(from);
  };
  const auto onEvent = [](bufferevent *, short what, void *arg) {
    auto *self = static_cast<Pipe *>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      self->Owner->close(self);
  };
  const sockaddr_in target = addressOf(Target);
  Pipes.insert(std::move(owned));
  for (bufferevent *it : {pipe->Near, pipe->Far})
    bufferevent_setcb(it, onRead, nullptr, onEvent, pipe);
  bufferevent_socket_connect(
      pipe->Far, reinterpret_cast<const sockaddr *>(&target), sizeof target);
  pipe->setCut(CutTo, CutFrom);
}

void Relay::close(Pipe *pipe) {
  for (auto it = Pipes.begin(); it != Pipes.end(); ++it) {
    if (it->get() != pipe)
      continue;
    // What is on its way still arrives.
    pipe->Closing = true;
    if (pipe->OnTheWay.empty())
      Pipes.erase(it);
    return;
  }
}

void Relay::onDatagram() {
  std::array<char, MaxDatagram> buf;
  sockaddr_in from{};
  socklen_t size = sizeof from;
  const auto n = recvfrom(Socket, buf.data(), buf.size(), 0,
                          reinterpret_cast<sockaddr *>(&from), &size);
  if (n < 0 || CutTo)
    return;
  auto &session = Sessions[endpointOf(from)];
  if (!session) {
    session = std::make_unique<UdpSession>(this, endpointOf(from),
                                           udpSocket({Listen.Ip, 0}));
    const sockaddr_in target = addressOf(Target);
    // A connected socket gets replies from the target only; this can't fail.
    (void)connect(session->Socket, reinterpret_cast<const sockaddr *>(&target),
                  sizeof target);
    session->Reply = event_new(
        Loop.base(), session->Socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *arg) {
          static_cast<UdpSession *>(arg)->onReply();
        },
        session.get());
    event_add(session->Reply, nullptr);
  }
  send(session->Socket, buf.data(), static_cast<std::size_t>(n), 0);
}

} // namespace citrongap::testing
