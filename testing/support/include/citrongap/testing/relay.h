// Forwards TCP and UDP from one address to another and can be cut, as a whole
// or one way: then nothing passes and nothing is closed, as in a network
// partition. TCP can be delayed and its connections reset.
#ifndef CITRONGAP_TESTING_RELAY_H
#define CITRONGAP_TESTING_RELAY_H

#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"

#include <list>
#include <map>
#include <memory>
#include <set>

struct bufferevent;
struct event;
struct evconnlistener;

namespace citrongap::testing {

class Relay {
public:
  Relay(EventLoop &loop, Endpoint listen, Endpoint target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// False when the address could not be bound.
  bool ok() const { return Listener && Inbound; }
  void setCut(bool cut) { setCut(cut, cut); }
  void setCut(bool toTarget, bool fromTarget);
  /// Of TCP, each way. Bytes that are on their way arrive even if the sender
  /// closes meanwhile, as an order that is carried out late.
  void setDelay(Millis delay) { Delay = delay; }
  /// Resets all connections.
  void reset();

private:
  struct Pipe;
  struct UdpSession;

  void onAccept(int fd);
  void onDatagram();
  void close(Pipe *pipe);

  EventLoop &Loop;
  Endpoint Listen;
  Endpoint Target;
  bool CutTo = false;
  bool CutFrom = false;
  Millis Delay{0};
  evconnlistener *Listener = nullptr;
  int Socket = -1;
  event *Inbound = nullptr;
  std::set<std::unique_ptr<Pipe>> Pipes;
  /// By the sender's address, so that replies find their way back.
  std::map<Endpoint, std::unique_ptr<UdpSession>> Sessions;
};

} // namespace citrongap::testing

#endif // CITRONGAP_TESTING_RELAY_H
