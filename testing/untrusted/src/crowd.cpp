// Non-blocking sockets of the crowd.
#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citrongap::untrusted {

void Crowd::open(const Endpoint &to, std::size_t count, const Script &script) {
  What = script;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.Port);
  address.sin_addr.s_addr = inet_addr(to.Ip.c_str());
  for (std::size_t n = 0; n < count; ++n) {
    const int socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
      return;
    // Answers that are not read soon fill the sender's buffers.
    const int small = 4096;
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    (void)connect(socket, reinterpret_cast<const sockaddr *>(&address),
                  sizeof address);
    Clients.push_back({socket, 0});
  }
}

std::size_t Crowd::send() {
  std::size_t sent = 0;
  for (Client &it : Clients)
    sent += sendOne(it);
  Sent += sent;
  return sent;
}

std::size_t Crowd::sendOne(Client &client) {
  // Of one turn, so that all connections progress together.
  constexpr std::size_t MaxSends = 16;
  std::size_t sent = 0;
  for (std::size_t n = 0; n < MaxSends; ++n) {
    if (client.At >= What.First.size() + What.Total)
      break;
    const bool first = client.At < What.First.size();
    const std::string &from = first ? What.First : What.Repeated;
    const std::size_t at =
        first ? client.At : (client.At - What.First.size()) % from.size();
    const ssize_t taken =
        ::send(client.Socket, from.data() + at, from.size() - at, MSG_NOSIGNAL);
    if (taken <= 0)
      break;
    client.At += static_cast<std::size_t>(taken);
    sent += static_cast<std::size_t>(taken);
  }
  return sent;
}

void Crowd::drop() {
  for (const Client &it : Clients)
    close(it.Socket);
  Clients.clear();
}

} // namespace citrongap::untrusted
