// Reads requests, hands them to the handler and writes its answers.
#include "incoming_connection.h"

#include "citrongap/base/log.h"
#include "socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace citrongap {

namespace {

constexpr Log PeerLog("peer");
/// Room in the read buffer beyond one whole frame.
constexpr std::size_t ReadAhead = 64U << 10U;

} // namespace

IncomingConnection::IncomingConnection(
    EventLoop &loop, int fd, EntryVmId self, PeerLinkLimits limits,
    const RequestHandler &handler,
    std::function<void(IncomingConnection *)> closed)
    : Loop(loop), Self(std::move(self)), Limits(limits), Handle(handler),
      Closed(std::move(closed)),
      Connection(bufferevent_socket_new(
          loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
  setTcpOptions(fd);
  bufferevent_setcb(
      Connection,
      [](bufferevent *, void *arg) {
        static_cast<IncomingConnection *>(arg)->onReadable();
      },
      nullptr,
      [](bufferevent *, short, void *arg) {
        static_cast<IncomingConnection *>(arg)->close({});
      },
      this);
  bufferevent_setwatermark(Connection, EV_READ, 0,
                           Limits.MaxFrameBytes + ReadAhead);
  bufferevent_enable(Connection, EV_READ | EV_WRITE);
}

IncomingConnection::~IncomingConnection() {
  if (Connection)
    bufferevent_free(Connection);
}

void IncomingConnection::goAway() { send({0, FrameKind::GoAway, Self, {}}); }

void IncomingConnection::onReadable() {
  const auto keep = shared_from_this();
  while (Connection) {
    const FrameResult result =
        takeFrame(bufferevent_get_input(Connection), Limits.MaxFrameBytes);
    if (std::holds_alternative<FrameIncomplete>(result))
      return awaitFrame();
    FrameDeadline.cancel();
    if (const auto *malformed = std::get_if<FrameMalformed>(&result))
      return close(malformed->Reason);
    const auto &frame = std::get<Frame>(result);
    if (frame.Kind != FrameKind::Request)
      return close("not a request");
    onRequest(frame);
  }
}

void IncomingConnection::awaitFrame() {
  if (evbuffer_get_length(bufferevent_get_input(Connection)) > 0 &&
      !FrameDeadline.pending())
    FrameDeadline = Loop.at(monoNow() + Limits.FrameTimeout,
                            [this] { close("a frame is not finished"); });
}

void IncomingConnection::onRequest(const Frame &frame) {
  Peer = frame.Sender;
  if (!Handle)
    return;
  auto answered = std::make_shared<bool>(false);
  Handle(frame.Sender, frame.Body,
         [weak = weak_from_this(), answered,
          id = frame.Correlation](std::string answer) {
           const auto self = weak.lock();
           if (std::exchange(*answered, true) || !self)
             return;
           self->send({id, FrameKind::Answer, self->Self, std::move(answer)});
         });
}

void IncomingConnection::send(const Frame &frame) {
  if (!Connection)
    return;
  const std::string bytes = packFrame(frame);
  if (bytes.size() > Limits.MaxFrameBytes)
    return close("answer beyond the frame limit");
  evbuffer *output = bufferevent_get_output(Connection);
  if (evbuffer_get_length(output) >= Limits.MaxBufferedBytes)
    return close("the peer reads too slowly");
  bufferevent_write(Connection, bytes.data(), bytes.size());
}

void IncomingConnection::close(const std::string &reason) {
  if (!Connection)
    return;
  // `Closed` drops the owner's reference while it runs.
  const auto keep = shared_from_this();
  if (!reason.empty())
    PeerLog("cut off '{}': {}", Peer.str(), reason);
  FrameDeadline.cancel();
  bufferevent_free(std::exchange(Connection, nullptr));
  Closed(this);
}

} // namespace citrongap
