// A bounded crowd of raw sockets that sends fixed bytes and never reads.
#ifndef CITRONGAP_UNTRUSTED_CROWD_H
#define CITRONGAP_UNTRUSTED_CROWD_H

#include "citrongap/net/endpoint.h"

#include <cstddef>
#include <string>
#include <vector>

namespace citrongap::untrusted {

/// What each connection sends: `First` once, then `Repeated` until `Total`
/// bytes of it are sent.
struct Script {
  std::string First;
  std::string Repeated;
  std::size_t Total = 0;
};

class Crowd {
public:
  Crowd() = default;
  ~Crowd() { drop(); }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Opens `count` connections without waiting for them.
  void open(const Endpoint &to, std::size_t count, const Script &script);
  /// Sends what the sockets take now; returns the bytes sent.
  std::size_t send();
  /// Closes all connections.
  void drop();
  std::size_t sent() const { return Sent; }

private:
  struct Client {
    int Socket = -1;
    /// Position in the script's bytes.
    std::size_t At = 0;
  };

  std::size_t sendOne(Client &client);

  Script What;
  std::vector<Client> Clients;
  std::size_t Sent = 0;
};

} // namespace citrongap::untrusted

#endif // CITRONGAP_UNTRUSTED_CROWD_H
