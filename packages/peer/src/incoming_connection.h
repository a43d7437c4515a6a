// A connection on which one peer sends requests and gets its answers.
#ifndef CITRONGAP_PEER_INCOMING_CONNECTION_H
#define CITRONGAP_PEER_INCOMING_CONNECTION_H

#include "citrongap/peer/tcp_peer_link.h"
#include "frame.h"

#include <memory>

struct bufferevent;

namespace citrongap {

class IncomingConnection
    : public std::enable_shared_from_this<IncomingConnection> {
public:
  using RequestHandler = std::function<void(
      const EntryVmId &from, const std::string &body, const PeerResponder &)>;

  /// `closed` is called once, when the connection ends; it may drop the owner's
  /// reference.
  IncomingConnection(EventLoop &loop, int fd, EntryVmId self,
                     PeerLinkLimits limits, const RequestHandler &handler,
                     std::function<void(IncomingConnection *)> closed);
  ~IncomingConnection();
  IncomingConnection(const IncomingConnection &) = delete;
  IncomingConnection &operator=(const IncomingConnection &) = delete;

  /// Asks the peer to send nothing more and to close.
  void goAway();

private:
  void onReadable();
  /// Limits the time for the frame of which the first bytes have been read.
  void awaitFrame();
  void onRequest(const Frame &frame);
  void send(const Frame &frame);
  void close(const std::string &reason);

  EventLoop &Loop;
  EntryVmId Self;
  PeerLinkLimits Limits;
  /// Belongs to the link; empty until it is set.
  const RequestHandler &Handle;
  std::function<void(IncomingConnection *)> Closed;
  bufferevent *Connection;
  /// Runs while a part of a frame is in the read buffer.
  Timer FrameDeadline;
  /// For the log, once the peer has named itself.
  EntryVmId Peer;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_INCOMING_CONNECTION_H
