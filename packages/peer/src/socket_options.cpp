// Socket options of the connections between entry VMs.
#include "socket_options.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citrongap {

namespace {

constexpr int KeepAliveIdleSeconds = 30;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;
constexpr int UnacknowledgedMillis = 5000;

void setOption(int fd, int level, int name, int value) {
  // Without an option a dead peer is noticed later, by the deadline.
  setsockopt(fd, level, name, &value, sizeof value);
}

} // namespace

std::optional<sockaddr_in> toSocketAddress(const Endpoint &at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(at.Port);
  if (inet_pton(AF_INET, at.Ip.c_str(), &out.sin_addr) != 1)
    return std::nullopt;
  return out;
}

int openTcpSocket(const std::string &sourceIp) {
  const auto source = toSocketAddress({sourceIp, 0});
  const int fd =
      source ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
             : -1;
  if (fd < 0)
    return -1;
  setOption(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&*source), sizeof *source)) {
    evutil_closesocket(fd);
    return -1;
  }
  return fd;
}

void setTcpOptions(int fd) {
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMillis);
}

} // namespace citrongap
