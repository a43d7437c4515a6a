// An address that a process listens on or connects to; always an IP number.
#ifndef CITRONGAP_NET_ENDPOINT_H
#define CITRONGAP_NET_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace citrongap {

struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  std::string str() const { return Ip + ":" + std::to_string(Port); }
  auto operator<=>(const Endpoint &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Ip, Port); }
};

/// Reads "IP:PORT"; nothing when the IP is no IPv4 number or the port is not
/// from 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string &text);

} // namespace citrongap

#endif // CITRONGAP_NET_ENDPOINT_H
