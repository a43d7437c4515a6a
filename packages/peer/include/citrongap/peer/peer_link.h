// Requests and answers between entry VMs over TCP, matched by correlation id.
#ifndef CITRONGAP_PEER_PEER_LINK_H
#define CITRONGAP_PEER_PEER_LINK_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"

#include <functional>
#include <string>
#include <variant>

namespace citrongap {

/// Why a request to a peer has no answer.
enum class PeerError {
  /// It never left this process.
  NotSent,
  /// The connection ended or the deadline passed; the peer may have acted.
  NoAnswer
};

using PeerResult = std::variant<std::string, PeerError>;

/// Answers one request, once; later calls do nothing.
using PeerResponder = std::function<void(std::string answer)>;

/// Port to the other entry VMs; `TcpPeerLink` in the daemon, mocks in tests.
class PeerLink {
public:
  virtual ~PeerLink() = default;

  /// Calls back exactly once, never before returning.
  virtual void request(const EntryVmId &to, std::string body, MonoTime deadline,
                       std::function<void(PeerResult)> callback) = 0;
  /// Takes the requests of others.
  virtual void
  setHandler(std::function<void(const EntryVmId &from, const std::string &body,
                                const PeerResponder &respond)>
                 handler) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_PEER_LINK_H
