// Calls between entry VMs, as cereal archives over HTTP: relayed store calls
// and questions about jobs, with one path each.
#ifndef CITRONGAP_CONTROL_PEER_HTTP_H
#define CITRONGAP_CONTROL_PEER_HTTP_H

#include "citrongap/control/entry_node.h"
#include "citrongap/net/http_client.h"
#include "citrongap/net/http_server.h"
#include "citrongap/store/store_relay.h"

namespace citrongap {

/// Sends calls to peers. The reply is std::nullopt if the call failed.
PeerTransport peerTransport(HttpClient &http);
/// Carries questions about jobs to peers, in the same way.
PeerTransport questionTransport(HttpClient &http);
/// Makes peers' calls at `store` and answers their questions from `node`.
HttpServer::Handler peerHandler(RelayedStore &store, EntryNode &node);

} // namespace citrongap

#endif // CITRONGAP_CONTROL_PEER_HTTP_H
