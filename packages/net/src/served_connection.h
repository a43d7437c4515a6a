// One accepted connection of an HTTP server: what it holds in memory, which
// part of a request it is in, and the deadline of that part. evhttp does not
// expose this, so it follows the bytes added to and removed from the buffers.
#ifndef CITRONGAP_NET_SERVED_CONNECTION_H
#define CITRONGAP_NET_SERVED_CONNECTION_H

#include "citrongap/net/connection_budget.h"
#include "citrongap/net/http_server.h"

#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace citrongap {

class ServedConnection {
public:
  enum class Phase : std::uint8_t {
    Idle,      ///< Nothing of a request has arrived.
    Head,      ///< Part of a request's head has arrived.
    Body,      ///< The head is complete, the body is not.
    Handling,  ///< The request is complete and has no answer yet.
    Answering, ///< The answer is not taken yet.
    Refused    ///< An error was answered; what still arrives is discarded.
  };

  /// `onWork` is called when `refusalPending()` or the budget needs attention,
  /// which is not possible from within a callback of a buffer.
  ServedConnection(bufferevent *events, const HttpLimits &limits,
                   ConnectionBudget &budget, std::function<void()> onWork);
  ~ServedConnection();
  ServedConnection(const ServedConnection &) = delete;
  ServedConnection &operator=(const ServedConnection &) = delete;

  /// evhttp's connection is known only after it took over the bufferevent.
  void setHandle(evhttp_connection *handle);
  evhttp_connection *handle() const { return Handle; }
  /// The body limit of the next request.
  void setMaxBodyBytes(std::size_t bytes);
  std::size_t maxBodyBytes() const { return MaxBodyBytes; }

  void onRequest(std::size_t bodyBytes);
  void onAnswer();
  /// evhttp refuses a body by its size with a page of its own.
  bool refusalPending() const { return RefusalPending; }
  /// Replaces that page by `answer`, a whole HTTP response. What the client
  /// still sends is then discarded for a bounded time: closing a socket with
  /// unread bytes resets it, and the client could lose the answer.
  void refuse(const std::string &answer);
  /// Frees evhttp's connection, whose close callback ends this object.
  void close();

  Phase phase() const { return Now; }
  bool closable() const { return Handle && Now != Phase::Handling; }
  bool incomplete() const {
    return Now == Phase::Head || Now == Phase::Body || Now == Phase::Refused ||
           (Now == Phase::Idle && !Served);
  }
  std::size_t held() const { return Held; }
  MonoTime since() const { return Since; }
  bool protectedServer() const { return Limits.ClosedLast; }
  /// The cause if the deadline of the present part has passed.
  std::optional<RefusalCause> overdue(MonoTime now) const;

private:
  static void onInputChanged(evbuffer *, const evbuffer_cb_info *, void *);
  static void onOutputChanged(evbuffer *, const evbuffer_cb_info *, void *);
  void onInput(std::size_t before, std::size_t added);
  void onOutput(std::size_t added);
  void enter(Phase phase);
  /// Takes `bytes` of the input from `from` on as part of the request.
  void readRequestBytes(std::size_t from, std::size_t bytes);
  /// Returns how many of them belong to the head.
  std::size_t scanHead(const char *bytes, std::size_t size);
  void discardInput();
  void recount();
  std::size_t inputBytes() const;
  std::size_t outputBytes() const;

  const HttpLimits &Limits;
  ConnectionBudget &Budget;
  std::function<void()> OnWork;
  bufferevent *Events;
  evhttp_connection *Handle = nullptr;
  evbuffer_cb_entry *InputEntry;
  evbuffer_cb_entry *OutputEntry;
  Phase Now = Phase::Idle;
  /// Start of the present phase.
  MonoTime Since;
  std::optional<MonoTime> Deadline;
  /// A request was complete on this connection.
  bool Served = false;
  bool RefusalPending = false;
  std::size_t MaxBodyBytes;
  /// Of the request being read or handled.
  std::size_t HeadBytes = 0;
  std::size_t HeadLines = 0;
  std::size_t LineBytes = 0;
  std::size_t BodyBytes = 0;
  std::size_t Discarded = 0;
  /// As counted in the budget.
  std::size_t Held = 0;
};

} // namespace citrongap

#endif // CITRONGAP_NET_SERVED_CONNECTION_H
