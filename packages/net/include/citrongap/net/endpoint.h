// An address that a process listens on or connects to; always an IP number.
#ifndef CITRONGAP_NET_ENDPOINT_H
#define CITRONGAP_NET_ENDPOINT_H

#include <compare>
#include <cstdint>
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

} // namespace citrongap

#endif // CITRONGAP_NET_ENDPOINT_H
