// A UDP socket on the loop.
#ifndef CITRONGAP_PEER_UDP_SOCKET_H
#define CITRONGAP_PEER_UDP_SOCKET_H

#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"

#include <functional>
#include <string>

struct event;

namespace citrongap {

class UdpSocket {
public:
  using Handler =
      std::function<void(const Endpoint &from, const std::string &bytes)>;

  UdpSocket(EventLoop &loop, const Endpoint &at, Handler handler);
  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  /// False when the address could not be bound.
  bool open() const { return Descriptor >= 0; }
  /// Drops the datagram when it can't be sent at once.
  void send(const Endpoint &to, const std::string &bytes) const;

private:
  void onReadable();

  Handler Handle;
  int Descriptor = -1;
  event *Readable = nullptr;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_UDP_SOCKET_H
