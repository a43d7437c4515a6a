// Connects on demand and matches answers to open requests.
#include "outgoing_connection.h"

#include "citrongap/base/log.h"
#include "socket_options.h"

#include <algorithm>
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

OutgoingConnection::OutgoingConnection(EventLoop &loop, std::string sourceIp,
                                       PeerLinkLimits limits, Random &jitter)
    : Loop(loop), SourceIp(std::move(sourceIp)), Limits(limits), Jitter(jitter),
      Backoff(limits.MinBackoff) {}

OutgoingConnection::~OutgoingConnection() {
  if (Handle)
    bufferevent_free(Handle);
}

void OutgoingConnection::setAddress(const Endpoint &at) {
  if (at == Address)
    return;
  Address = at;
  RetryAt = MonoTime();
  Backoff = Limits.MinBackoff;
  close();
}

bool OutgoingConnection::send(const Frame &request, MonoTime deadline,
                              Callback &callback) {
  const std::string bytes = packFrame(request);
  if (bytes.size() > Limits.MaxFrameBytes || Now == State::GoingAway ||
      bufferedBytes() >= Limits.MaxBufferedBytes || deadline <= monoNow())
    return false;
  if (Now == State::Idle && !connect())
    return false;
  Open &open = Requests[request.Correlation];
  open.Then = std::move(callback);
  open.Deadline =
      Loop.at(deadline, [this, id = request.Correlation] { onDeadline(id); });
  if (Now == State::Up) {
    write(open, bytes);
  } else {
    open.Unsent = bytes;
    UnsentBytes += bytes.size();
  }
  return true;
}

bool OutgoingConnection::connect() {
  const auto address = toSocketAddress(Address);
  if (!address || monoNow() < RetryAt)
    return false;
  const int fd = openTcpSocket(SourceIp);
  if (fd < 0) {
    fail("no socket");
    return false;
  }
  setTcpOptions(fd);
  ++Generation;
  Written = 0;
  Now = State::Connecting;
  Handle = bufferevent_socket_new(
      Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(
      Handle,
      [](bufferevent *, void *arg) {
        static_cast<OutgoingConnection *>(arg)->onReadable();
      },
      nullptr,
      [](bufferevent *, short what, void *arg) {
        auto *self = static_cast<OutgoingConnection *>(arg);
        if (what & BEV_EVENT_CONNECTED)
          self->onConnected();
        else
          self->fail("connection ended");
      },
      this);
  bufferevent_setwatermark(Handle, EV_READ, 0,
                           Limits.MaxFrameBytes + ReadAhead);
  bufferevent_enable(Handle, EV_READ | EV_WRITE);
  ConnectDeadline = Loop.at(monoNow() + Limits.ConnectTimeout,
                            [this] { fail("connect timed out"); });
  if (bufferevent_socket_connect(Handle,
                                 reinterpret_cast<const sockaddr *>(&*address),
                                 sizeof *address) == 0)
    return true;
  fail("connect failed");
  return false;
}

void OutgoingConnection::write(Open &open, const std::string &bytes) {
  open.Start = Written;
  Written += bytes.size();
  bufferevent_write(Handle, bytes.data(), bytes.size());
}

void OutgoingConnection::onConnected() {
  ConnectDeadline.cancel();
  Now = State::Up;
  UnsentBytes = 0;
  for (auto &[id, open] : Requests)
    write(open, std::exchange(open.Unsent, {}));
}

void OutgoingConnection::onReadable() {
  const std::uint64_t generation = Generation;
  while (Handle && generation == Generation) {
    FrameResult result =
        takeFrame(bufferevent_get_input(Handle), Limits.MaxFrameBytes);
    if (std::holds_alternative<FrameIncomplete>(result))
      return;
    if (const auto *malformed = std::get_if<FrameMalformed>(&result))
      return fail(malformed->Reason);
    onFrame(std::get<Frame>(std::move(result)));
  }
}

void OutgoingConnection::onFrame(Frame frame) {
  Backoff = Limits.MinBackoff;
  if (frame.Kind == FrameKind::GoAway)
    Now = State::GoingAway;
  else if (frame.Kind == FrameKind::Answer)
    finish(frame.Correlation, std::move(frame.Body));
  closeWhenDone();
}

void OutgoingConnection::onDeadline(std::uint64_t correlation) {
  const auto it = Requests.find(correlation);
  const bool sent = it->second.Start.has_value();
  UnsentBytes -= it->second.Unsent.size();
  finish(correlation, sent ? PeerError::NoAnswer : PeerError::NotSent);
  closeWhenDone();
}

void OutgoingConnection::closeWhenDone() {
  if (Now == State::GoingAway && Requests.empty())
    fail("the peer is going away");
}

void OutgoingConnection::finish(std::uint64_t correlation, PeerResult result) {
  // A late answer finds nothing: its request was finished at its deadline.
  auto node = Requests.extract(correlation);
  if (node.empty())
    return;
  node.mapped().Deadline.cancel();
  node.mapped().Then(std::move(result));
}

void OutgoingConnection::fail(const std::string &reason) {
  PeerLog("{}: {}", Address.str(), reason);
  const auto half = static_cast<std::uint64_t>(Backoff.count()) / 2;
  RetryAt = monoNow() + Millis(half + Jitter.between(0, half));
  Backoff = std::min(Backoff * 2, Limits.MaxBackoff);
  close();
}

void OutgoingConnection::close() {
  const std::uint64_t taken = handedOver();
  if (Handle)
    bufferevent_free(std::exchange(Handle, nullptr));
  ++Generation;
  Now = State::Idle;
  UnsentBytes = 0;
  ConnectDeadline.cancel();
  auto ended = std::exchange(Requests, {});
  for (auto &[id, open] : ended) {
    open.Deadline.cancel();
    const bool sent = open.Start && *open.Start < taken;
    open.Then(sent ? PeerError::NoAnswer : PeerError::NotSent);
  }
}

std::size_t OutgoingConnection::bufferedBytes() const {
  return Handle
             ? UnsentBytes + evbuffer_get_length(bufferevent_get_output(Handle))
             : 0;
}

std::uint64_t OutgoingConnection::handedOver() const {
  return Handle ? Written - evbuffer_get_length(bufferevent_get_output(Handle))
                : 0;
}

} // namespace citrongap
