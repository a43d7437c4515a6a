// Calls between entry VMs: cereal bytes over HTTP, one path.
#ifndef CITRONGAP_CONTROL_PEER_HTTP_H
#define CITRONGAP_CONTROL_PEER_HTTP_H

#include "citrongap/net/http_client.h"
#include "citrongap/net/http_server.h"
#include "citrongap/store/store_relay.h"

namespace citrongap {

PeerTransport peerTransport(HttpClient &http);
/// Answers peers' calls at `store`. A peer whose own way to the store fails,
/// as `relayed` knows, refuses at once.
HttpServer::Handler peerHandler(const RelayedStore &relayed, StorePort &store);

} // namespace citrongap

#endif // CITRONGAP_CONTROL_PEER_HTTP_H
