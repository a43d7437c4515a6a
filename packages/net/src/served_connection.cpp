// Follows the buffers of one connection.
#include "served_connection.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>
#include <utility>

namespace citrongap {

namespace {

/// evhttp keeps a chunk in the input buffer until it is complete. Below the
/// largest chunk and what may stand around it, a legitimate caller would stall.
constexpr std::size_t ReadAhead = 64U << 10U;
/// While an answer is not taken, only so much of further requests is read.
constexpr std::size_t AnsweringReadAhead = 4096;
/// A header takes three allocations; 3,000 lines of 4 bytes took 330 KB.
constexpr std::size_t HeaderLineBytes = 128;
/// After an error is answered, so much is discarded before the end.
constexpr std::size_t MaxDiscardedBytes = 4U << 20U;
constexpr Seconds DiscardTimeout{2};
constexpr std::size_t StatusAt = sizeof "HTTP/1.1 " - 1;

} // namespace

ServedConnection::ServedConnection(bufferevent *events,
                                   const HttpLimits &limits,
                                   ConnectionBudget &budget,
                                   std::function<void()> onWork)
    : Limits(limits), Budget(budget), OnWork(std::move(onWork)), Events(events),
      InputEntry(
          evbuffer_add_cb(bufferevent_get_input(events), onInputChanged, this)),
      OutputEntry(evbuffer_add_cb(bufferevent_get_output(events),
                                  onOutputChanged, this)),
      Since(monoNow()), MaxBodyBytes(limits.MaxBodyBytes) {
  bufferevent_setwatermark(Events, EV_READ, 0, MaxBodyBytes + ReadAhead);
  Budget.add(*this);
}

ServedConnection::~ServedConnection() {
  Budget.remove(*this);
  evbuffer_remove_cb_entry(bufferevent_get_input(Events), InputEntry);
  evbuffer_remove_cb_entry(bufferevent_get_output(Events), OutputEntry);
}

void ServedConnection::setHandle(evhttp_connection *handle) {
  Handle = handle;
  setMaxBodyBytes(MaxBodyBytes);
}

void ServedConnection::setMaxBodyBytes(std::size_t bytes) {
  MaxBodyBytes = bytes;
  if (Handle)
    evhttp_connection_set_max_body_size(Handle, static_cast<ev_ssize_t>(bytes));
}

std::size_t ServedConnection::inputBytes() const {
  return evbuffer_get_length(bufferevent_get_input(Events));
}

std::size_t ServedConnection::outputBytes() const {
  return evbuffer_get_length(bufferevent_get_output(Events));
}

void ServedConnection::recount() {
  std::size_t now = outputBytes();
  const std::size_t request =
      2 * HeadBytes + HeadLines * HeaderLineBytes + BodyBytes;
  if (Now == Phase::Head || Now == Phase::Body)
    now += request;
  else if (Now == Phase::Handling)
    now += request + inputBytes();
  else
    now += inputBytes();
  Budget.adjust(std::exchange(Held, now), now);
}

void ServedConnection::enter(Phase phase) {
  Now = phase;
  Since = monoNow();
  Deadline.reset();
  if (phase == Phase::Head)
    Deadline = Since + Limits.HeadTimeout;
  else if (phase == Phase::Body)
    Deadline = Since + Limits.BodyTimeout;
  else if (phase == Phase::Answering)
    Deadline = Since + Limits.AnswerTimeout;
  else if (phase == Phase::Refused)
    Deadline = Since + DiscardTimeout;
  bufferevent_setwatermark(Events, EV_READ, 0,
                           phase == Phase::Answering
                               ? AnsweringReadAhead
                               : MaxBodyBytes + ReadAhead);
}

std::optional<RefusalCause> ServedConnection::overdue(MonoTime now) const {
  if (!Handle || !Deadline || now < *Deadline)
    return std::nullopt;
  switch (Now) {
  case Phase::Head:
    return RefusalCause::HeadTimeout;
  case Phase::Body:
    return RefusalCause::BodyTimeout;
  case Phase::Answering:
    return RefusalCause::AnswerTimeout;
  case Phase::Refused:
    return RefusalCause::BodySize;
  default:
    return std::nullopt;
  }
}

void ServedConnection::onInputChanged(evbuffer *, const evbuffer_cb_info *info,
                                      void *arg) {
  static_cast<ServedConnection *>(arg)->onInput(info->orig_size, info->n_added);
}

void ServedConnection::onOutputChanged(evbuffer *, const evbuffer_cb_info *info,
                                       void *arg) {
  static_cast<ServedConnection *>(arg)->onOutput(info->n_added);
}

void ServedConnection::onInput(std::size_t before, std::size_t added) {
  if (added > 0 &&
      (Now == Phase::Idle || Now == Phase::Head || Now == Phase::Body))
    readRequestBytes(before, added);
  recount();
  if (added > 0 && Budget.exceeded())
    OnWork();
}

void ServedConnection::readRequestBytes(std::size_t from, std::size_t bytes) {
  if (Now == Phase::Idle) {
    if (Limits.CurrentMaxBodyBytes)
      setMaxBodyBytes(Limits.CurrentMaxBodyBytes());
    HeadBytes = HeadLines = LineBytes = BodyBytes = 0;
    enter(Phase::Head);
  }
  evbuffer *input = bufferevent_get_input(Events);
  std::size_t left = bytes;
  while (Now == Phase::Head && left > 0) {
    evbuffer_ptr at{};
    evbuffer_iovec piece{};
    if (evbuffer_ptr_set(input, &at, from, EVBUFFER_PTR_SET) != 0 ||
        evbuffer_peek(input, static_cast<ev_ssize_t>(left), &at, &piece, 1) < 1)
      return;
    const std::size_t taken =
        scanHead(static_cast<const char *>(piece.iov_base),
                 std::min(left, piece.iov_len));
    from += taken;
    left -= taken;
  }
  // Framing of small chunks is not kept.
  BodyBytes = std::min(BodyBytes + left, 2 * MaxBodyBytes + ReadAhead);
}

std::size_t ServedConnection::scanHead(const char *bytes, std::size_t size) {
  for (std::size_t n = 0; n < size; ++n) {
    ++HeadBytes;
    if (bytes[n] != '\n') {
      LineBytes += bytes[n] == '\r' ? 0U : 1U;
      continue;
    }
    if (LineBytes == 0) {
      enter(Phase::Body);
      return n + 1;
    }
    ++HeadLines;
    LineBytes = 0;
  }
  return size;
}

void ServedConnection::onRequest(std::size_t bodyBytes) {
  Served = true;
  // The handler keeps a copy while it works on the request.
  BodyBytes = 2 * bodyBytes;
  enter(Phase::Handling);
  recount();
}

void ServedConnection::onAnswer() {
  if (Now == Phase::Handling)
    enter(Phase::Answering);
}

void ServedConnection::onOutput(std::size_t added) {
  if (added > 0 && (Now == Phase::Head || Now == Phase::Body)) {
    // evhttp answers by itself: an error, or 100 to a client that asked.
    std::array<char, StatusAt + 3> start{};
    evbuffer_copyout(bufferevent_get_output(Events), start.data(),
                     start.size());
    const std::string status(start.begin() + StatusAt, start.end());
    if (status != "100")
      enter(Phase::Answering);
    if (status == "413") {
      RefusalPending = true;
      OnWork();
    }
  }
  if (outputBytes() == 0 && Now == Phase::Answering && !RefusalPending) {
    enter(Phase::Idle);
    if (const std::size_t pipelined = inputBytes(); pipelined > 0)
      readRequestBytes(0, pipelined);
  }
  recount();
  if (added > 0 && Budget.exceeded())
    OnWork();
}

void ServedConnection::refuse(const std::string &answer) {
  RefusalPending = false;
  enter(Phase::Refused);
  bufferevent_setcb(
      Events,
      [](bufferevent *, void *arg) {
        static_cast<ServedConnection *>(arg)->discardInput();
      },
      [](bufferevent *events, void *) {
        ::shutdown(bufferevent_getfd(events), SHUT_WR);
      },
      [](bufferevent *, short, void *arg) {
        static_cast<ServedConnection *>(arg)->close();
      },
      this);
  evbuffer *output = bufferevent_get_output(Events);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_add(output, answer.data(), answer.size());
  bufferevent_enable(Events, EV_READ | EV_WRITE);
  discardInput();
}

void ServedConnection::discardInput() {
  evbuffer *input = bufferevent_get_input(Events);
  const std::size_t bytes = evbuffer_get_length(input);
  Discarded += bytes;
  evbuffer_drain(input, bytes);
  // The sweep of the server closes it.
  if (Discarded > MaxDiscardedBytes)
    bufferevent_disable(Events, EV_READ);
}

void ServedConnection::close() { evhttp_connection_free(Handle); }

} // namespace citrongap
