// Forwards TCP and UDP from one address to another and can be cut: then
// nothing passes and nothing is closed, as in a network partition.
#ifndef CITRONGAP_SCENARIO_SRC_RELAY_H
#define CITRONGAP_SCENARIO_SRC_RELAY_H

#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"

#include <map>
#include <memory>
#include <set>

struct bufferevent;
struct event;
struct evconnlistener;

namespace citrongap::scenario {

class Relay {
public:
  Relay(EventLoop &loop, Endpoint listen, Endpoint target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// False when the address could not be bound.
  bool ok() const { return Listener && Inbound; }
  void setCut(bool cut);

private:
  struct Pipe;
  struct UdpSession;

  void onAccept(int fd);
  void onDatagram();
  void close(Pipe *pipe);

  EventLoop &Loop;
  Endpoint Listen;
  Endpoint Target;
  bool Cut = false;
  evconnlistener *Listener = nullptr;
  int Socket = -1;
  event *Inbound = nullptr;
  std::set<std::unique_ptr<Pipe>> Pipes;
  /// By the sender's address, so that replies find their way back.
  std::map<Endpoint, std::unique_ptr<UdpSession>> Sessions;
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_RELAY_H
