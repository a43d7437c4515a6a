// Sockets between entry VMs: addresses and options.
#ifndef CITRONGAP_PEER_SOCKET_OPTIONS_H
#define CITRONGAP_PEER_SOCKET_OPTIONS_H

#include "citrongap/net/endpoint.h"

#include <netinet/in.h>
#include <optional>

namespace citrongap {

/// Nothing when the address isn't an IP number.
std::optional<sockaddr_in> toSocketAddress(const Endpoint &at);
/// A non-blocking TCP socket bound to `sourceIp`, or -1.
int openTcpSocket(const std::string &sourceIp);
/// Sends small frames at once, probes idle connections, and ends those whose
/// peer acknowledges nothing.
void setTcpOptions(int fd);

} // namespace citrongap

#endif // CITRONGAP_PEER_SOCKET_OPTIONS_H
