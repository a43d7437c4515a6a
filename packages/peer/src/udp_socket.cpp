// Sends and receives datagrams without blocking.
#include "citrongap/peer/udp_socket.h"

#include "socket_options.h"

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <utility>

namespace citrongap {

namespace {

constexpr std::size_t MaxReceiveBytes = 2048;
/// Bounds the time that one call may keep the loop.
constexpr int MaxReceivesPerCall = 256;

} // namespace

UdpSocket::UdpSocket(EventLoop &loop, const Endpoint &at, Handler handler)
    : Handle(std::move(handler)) {
  const auto address = toSocketAddress(at);
  const int fd =
      address ? socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
              : -1;
  if (fd < 0)
    return;
  if (bind(fd, reinterpret_cast<const sockaddr *>(&*address),
           sizeof *address) != 0) {
    evutil_closesocket(fd);
    return;
  }
  Descriptor = fd;
  Readable = event_new(
      loop.base(), fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        static_cast<UdpSocket *>(arg)->onReadable();
      },
      this);
  event_add(Readable, nullptr);
}

UdpSocket::~UdpSocket() {
  if (!open())
    return;
  event_free(Readable);
  evutil_closesocket(Descriptor);
}

void UdpSocket::send(const Endpoint &to, const std::string &bytes) const {
  const auto address = toSocketAddress(to);
  if (open() && address)
    sendto(Descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&*address), sizeof *address);
}

void UdpSocket::onReadable() {
  std::array<char, MaxReceiveBytes> buf{};
  for (int i = 0; i < MaxReceivesPerCall; ++i) {
    sockaddr_in from{};
    socklen_t length = sizeof from;
    const ssize_t n = recvfrom(Descriptor, buf.data(), buf.size(), 0,
                               reinterpret_cast<sockaddr *>(&from), &length);
    if (n < 0)
      return;
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
    Handle({ip.data(), ntohs(from.sin_port)},
           std::string(buf.data(), static_cast<std::size_t>(n)));
  }
}

} // namespace citrongap
