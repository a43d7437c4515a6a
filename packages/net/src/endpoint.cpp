// Reads addresses as settings and records hold them.
#include "citrongap/net/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace citrongap {

std::optional<Endpoint> parseEndpoint(const std::string &text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  Endpoint out{text.substr(0, colon), 0};
  const char *end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data() + colon + 1, end, out.Port);
  in_addr parsed{};
  if (ec != std::errc() || at != end || out.Port == 0 ||
      inet_pton(AF_INET, out.Ip.c_str(), &parsed) != 1)
    return std::nullopt;
  return out;
}

} // namespace citrongap
