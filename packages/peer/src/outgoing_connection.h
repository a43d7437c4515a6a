// The connection that carries the requests to one peer, and their answers.
#ifndef CITRONGAP_PEER_OUTGOING_CONNECTION_H
#define CITRONGAP_PEER_OUTGOING_CONNECTION_H

#include "citrongap/peer/tcp_peer_link.h"
#include "frame.h"

#include <map>
#include <optional>

struct bufferevent;

namespace citrongap {

class OutgoingConnection {
public:
  using Callback = std::function<void(PeerResult)>;

  OutgoingConnection(EventLoop &loop, std::string sourceIp,
                     PeerLinkLimits limits, Random &jitter);
  ~OutgoingConnection();
  OutgoingConnection(const OutgoingConnection &) = delete;
  OutgoingConnection &operator=(const OutgoingConnection &) = delete;

  /// A change ends the connection to the earlier address.
  void setAddress(const Endpoint &at);
  /// False, with `callback` untouched, when the request can't be sent; else
  /// calls back once, after returning.
  bool send(const Frame &request, MonoTime deadline, Callback &callback);
  /// Ends the connection; open requests are told.
  void close();

private:
  enum class State { Idle, Connecting, Up, GoingAway };
  struct Open {
    Callback Then;
    Timer Deadline;
    /// The packed frame until the connection is up.
    std::string Unsent;
    /// Count of bytes written to the connection before this frame.
    std::optional<std::uint64_t> Start;
  };

  bool connect();
  void write(Open &open, const std::string &bytes);
  void onConnected();
  void onReadable();
  void onFrame(Frame frame);
  void onDeadline(std::uint64_t correlation);
  void finish(std::uint64_t correlation, PeerResult result);
  void closeWhenDone();
  /// Ends the connection, and tries no other before a jittered pause.
  void fail(const std::string &reason);
  std::size_t bufferedBytes() const;
  /// Count of bytes that the kernel took.
  std::uint64_t handedOver() const;

  EventLoop &Loop;
  std::string SourceIp;
  PeerLinkLimits Limits;
  Random &Jitter;
  Endpoint Address;
  State Now = State::Idle;
  bufferevent *Handle = nullptr;
  /// Counts connections, so that a loop over frames notices its own's end.
  std::uint64_t Generation = 0;
  /// Bytes written to the present connection.
  std::uint64_t Written = 0;
  std::size_t UnsentBytes = 0;
  std::map<std::uint64_t, Open> Requests;
  Timer ConnectDeadline;
  MonoTime RetryAt;
  /// The next pause; doubles until an answer arrives.
  Millis Backoff;
};

} // namespace citrongap

#endif // CITRONGAP_PEER_OUTGOING_CONNECTION_H
