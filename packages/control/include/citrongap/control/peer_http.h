// Relayed store calls between entry VMs: cereal archives over HTTP, one path.
#ifndef CITRONGAP_CONTROL_PEER_HTTP_H
#define CITRONGAP_CONTROL_PEER_HTTP_H

#include "citrongap/net/http_client.h"
#include "citrongap/net/http_server.h"
#include "citrongap/store/store_relay.h"

namespace citrongap {

/// Sends calls to peers. The reply is std::nullopt if the call failed.
PeerTransport peerTransport(HttpClient &http);
/// Executes calls from peers against `store`. They are refused at once while
/// `relayed` reports that the direct connection to the store fails.
HttpServer::Handler peerHandler(const RelayedStore &relayed, StorePort &store);

} // namespace citrongap

#endif // CITRONGAP_CONTROL_PEER_HTTP_H
