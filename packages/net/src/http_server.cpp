// evhttp server: turns requests into values and answers into replies.
#include "citrongap/net/http_server.h"

#include "served_connection.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <limits>
#include <strings.h>
#include <tuple>
#include <utility>

namespace citrongap {

struct HttpResponder::State {
  evhttp_request *Request = nullptr;
  std::weak_ptr<int> Server;
  std::weak_ptr<ServedConnection> Connection;

  void send(const HttpResponse &response) {
    evhttp_request *request = std::exchange(Request, nullptr);
    if (!request || Server.expired())
      return;
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, response.Body.data(), response.Body.size());
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", response.ContentType.c_str());
    for (const auto &[name, value] : response.Headers)
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        name.c_str(), value.c_str());
    if (const auto connection = Connection.lock())
      connection->onAnswer();
    // libevent frees the request by itself when the caller has gone.
    evhttp_send_reply(request, response.Status, nullptr, body);
    evbuffer_free(body);
  }

  ~State() { send({500, R"({"error":"no answer was given"})"}); }
};

std::string headerOf(const HttpHeaders &headers, const std::string &name) {
  for (const auto &[key, value] : headers)
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  return {};
}

HttpResponder::HttpResponder(evhttp_request *request, std::weak_ptr<int> server,
                             std::weak_ptr<ServedConnection> connection)
    : Shared(std::make_shared<State>()) {
  Shared->Request = request;
  Shared->Server = std::move(server);
  Shared->Connection = std::move(connection);
}

void HttpResponder::send(const HttpResponse &response) const {
  Shared->send(response);
}

void HttpResponder::closeAfter() const {
  if (Shared->Request && !Shared->Server.expired())
    evhttp_add_header(evhttp_request_get_output_headers(Shared->Request),
                      "Connection", "close");
}

bool HttpResponder::sent() const { return Shared->Request == nullptr; }

namespace {

const char *methodOf(evhttp_request *request) {
  switch (evhttp_request_get_command(request)) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "OTHER";
  }
}

constexpr std::size_t MaxHeadBytes = 16U << 10U;
constexpr Millis SweepInterval{500};
/// At the connection limit, one in so many connections is closed at once, so
/// that not every accept searches all of them.
constexpr std::size_t ClosedShare = 32;

/// The answer to a body over the limit.
std::string tooLarge(std::size_t limit) {
  const std::string body = fmt::format(
      R"({{"error":"not run: the request was not accepted; this call started )"
      R"(nothing","findings":[{{"place":"/","message":"is larger than {} )"
      R"(bytes"}}]}})",
      limit);
  return fmt::format("HTTP/1.1 413 Request Entity Too Large\r\n"
                     "Content-Type: application/json\r\n"
                     "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                     body.size(), body);
}

evhttp_connection *connectionOf(bufferevent *events) {
  void *arg = nullptr;
  bufferevent_getcb(events, nullptr, nullptr, nullptr, &arg);
  return static_cast<evhttp_connection *>(arg);
}

HttpRequest readRequest(evhttp_request *request) {
  HttpRequest out;
  out.Method = methodOf(request);
  out.Target = evhttp_request_get_uri(request);
  evbuffer *body = evhttp_request_get_input_buffer(request);
  out.Body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, out.Body.data(), out.Body.size());
  char *ip = nullptr;
  std::uint16_t port = 0;
  if (auto *connection = evhttp_request_get_connection(request))
    evhttp_connection_get_peer(connection, &ip, &port);
  out.Peer = ip ? ip : "";
  const evkeyvalq *headers = evhttp_request_get_input_headers(request);
  for (const evkeyval *it = headers->tqh_first; it; it = it->next.tqe_next)
    out.Headers.emplace_back(it->key, it->value);
  return out;
}

} // namespace

HttpServer::HttpServer(EventLoop &loop, HttpLimits limits, Handler handler)
    : Limits(std::move(limits)), Handle(std::move(handler)),
      Http(evhttp_new(loop.base())),
      Work(event_new(
          loop.base(), -1, 0,
          [](evutil_socket_t, short, void *arg) {
            static_cast<HttpServer *>(arg)->work();
          },
          this)),
      Sweep(loop.every(SweepInterval, [this] { closeOverdue(); })) {
  if (!Limits.Budget)
    Limits.Budget = std::make_shared<ConnectionBudget>(
        std::numeric_limits<std::size_t>::max());
  evhttp_set_max_body_size(Http, static_cast<ev_ssize_t>(Limits.MaxBodyBytes));
  evhttp_set_max_headers_size(Http, MaxHeadBytes);
  evhttp_set_timeout(Http, static_cast<int>(Limits.IdleTimeout.count()));
  evhttp_set_bevcb(Http, onAccept, this);
  evhttp_set_gencb(
      Http,
      [](evhttp_request *request, void *arg) {
        static_cast<HttpServer *>(arg)->onRequest(request);
      },
      this);
}

HttpServer::~HttpServer() {
  Alive.reset();
  for (const auto &[events, it] : Open)
    if (it->handle())
      evhttp_connection_set_closecb(it->handle(), nullptr, nullptr);
  Open.clear();
  event_free(Work);
  evhttp_free(Http);
}

bool HttpServer::listen(const Endpoint &at) {
  auto *socket = evhttp_bind_socket_with_handle(Http, at.Ip.c_str(), at.Port);
  if (socket)
    Sockets.insert(socket);
  return socket != nullptr;
}

void HttpServer::stopAccepting() {
  for (void *it : Sockets)
    evhttp_del_accept_socket(Http, static_cast<evhttp_bound_socket *>(it));
  Sockets.clear();
}

bufferevent *HttpServer::onAccept(event_base *base, void *arg) {
  auto *self = static_cast<HttpServer *>(arg);
  // Only the listener is on the stack, so that others can be closed here: one
  // call of libevent accepts all connections that wait.
  self->adoptAccepted();
  if (self->Open.size() >= self->Limits.MaxConnections)
    self->makeRoom();
  bufferevent *events = bufferevent_socket_new(base, -1, 0);
  if (!events)
    return nullptr;
  self->Open.emplace(events,
                     std::make_shared<ServedConnection>(
                         events, self->Limits, *self->Limits.Budget,
                         [self] { event_active(self->Work, EV_TIMEOUT, 0); }));
  self->Accepted.push_back(events);
  event_active(self->Work, EV_TIMEOUT, 0);
  return events;
}

void HttpServer::adoptAccepted() {
  for (bufferevent *events : std::exchange(Accepted, {})) {
    const auto found = Open.find(events);
    evhttp_connection *handle = connectionOf(events);
    if (found == Open.end() || !handle)
      continue;
    found->second->setHandle(handle);
    evhttp_connection_set_closecb(handle, onClosed, this);
    // Nothing else could be closed.
    if (Open.size() > Limits.MaxConnections) {
      Limits.Budget->count(RefusalCause::Connections);
      found->second->close();
    }
  }
}

void HttpServer::makeRoom() {
  std::vector<ServedConnection *> order;
  for (const auto &[events, it] : Open)
    if (it->closable())
      order.push_back(it.get());
  const auto rank = [](const ServedConnection &it) {
    const bool answering = it.phase() == ServedConnection::Phase::Answering;
    return std::tuple(!it.incomplete(), answering, it.since());
  };
  const std::size_t count =
      std::min(order.size(),
               std::max<std::size_t>(Limits.MaxConnections / ClosedShare, 1));
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
      order.end(),
      [&](const auto *a, const auto *b) { return rank(*a) < rank(*b); });
  order.resize(count);
  for (ServedConnection *it : order) {
    Limits.Budget->count(RefusalCause::Connections);
    it->close();
  }
}

void HttpServer::closeOverdue() {
  const MonoTime now = monoNow();
  std::vector<std::shared_ptr<ServedConnection>> overdue;
  for (const auto &[events, it] : Open)
    if (it->overdue(now))
      overdue.push_back(it);
  for (const auto &it : overdue) {
    if (it->phase() != ServedConnection::Phase::Refused)
      Limits.Budget->count(*it->overdue(now));
    it->close();
  }
}

void HttpServer::work() {
  adoptAccepted();
  for (const auto &[events, it] : Open)
    if (it->refusalPending()) {
      Limits.Budget->count(RefusalCause::BodySize);
      it->refuse(tooLarge(it->maxBodyBytes()));
    }
  Limits.Budget->relieve();
}

void HttpServer::onRequest(evhttp_request *request) {
  const auto found = Open.find(evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(request)));
  if (found == Open.end()) {
    HttpResponder(request, Alive, {}).send({503, R"({"error":"not run"})"});
    return;
  }
  const std::shared_ptr<ServedConnection> connection = found->second;
  const HttpResponder responder(request, Alive, connection);
  connection->onRequest(
      evbuffer_get_length(evhttp_request_get_input_buffer(request)));
  Limits.Budget->relieve();
  if (Limits.Budget->exceeded()) {
    Limits.Budget->count(RefusalCause::Memory);
    responder.closeAfter();
    responder.send({503,
                    R"({"error":"not run: too many requests at once"})",
                    "application/json",
                    {{"Retry-After", "1"}}});
    return;
  }
  Handle(readRequest(request), responder);
}

void HttpServer::onClosed(evhttp_connection *connection, void *arg) {
  static_cast<HttpServer *>(arg)->Open.erase(
      evhttp_connection_get_bufferevent(connection));
}

} // namespace citrongap
