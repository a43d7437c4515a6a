// evhttp server: turns requests into values and answers into replies.
#include "citrongap/net/http_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <utility>

namespace citrongap {

struct HttpResponder::State {
  evhttp_request *Request = nullptr;
  std::weak_ptr<int> Server;

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

HttpResponder::HttpResponder(evhttp_request *request, std::weak_ptr<int> server)
    : Shared(std::make_shared<State>()) {
  Shared->Request = request;
  Shared->Server = std::move(server);
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

/// Bodies up to so many times the limit are read and refused with a finding.
constexpr std::size_t ReadBeyondLimit = 4;

std::string tooLarge(std::size_t limit) {
  return R"({"error":"the request was not accepted; this call started nothing",)"
         R"("findings":[{"place":"/","message":"is larger than )" +
         std::to_string(limit) + R"( bytes"}]})";
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
    : Limits(limits), Handle(std::move(handler)),
      Http(evhttp_new(loop.base())) {
  // Somewhat larger bodies are read, so that their refusal can be explained.
  evhttp_set_max_body_size(
      Http, static_cast<ev_ssize_t>(Limits.MaxBodyBytes * ReadBeyondLimit));
  evhttp_set_max_headers_size(Http, 16 << 10);
  evhttp_set_timeout(Http, static_cast<int>(Limits.IdleTimeout.count()));
  evhttp_set_gencb(
      Http,
      [](evhttp_request *request, void *arg) {
        static_cast<HttpServer *>(arg)->onRequest(request);
      },
      this);
}

HttpServer::~HttpServer() {
  Alive.reset();
  for (auto *it : Open)
    evhttp_connection_set_closecb(it, nullptr, nullptr);
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

void HttpServer::onRequest(evhttp_request *request) {
  auto *connection = evhttp_request_get_connection(request);
  if (Open.insert(connection).second)
    evhttp_connection_set_closecb(connection, onClosed, this);
  const HttpResponder responder(request, Alive);
  if (Open.size() > Limits.MaxConnections) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    responder.send({503, R"({"error":"too many connections; not run"})"});
    return;
  }
  const HttpRequest read = readRequest(request);
  if (read.Body.size() > Limits.MaxBodyBytes)
    responder.send({413, tooLarge(Limits.MaxBodyBytes)});
  else
    Handle(read, responder);
}

void HttpServer::onClosed(evhttp_connection *connection, void *arg) {
  static_cast<HttpServer *>(arg)->Open.erase(connection);
}

} // namespace citrongap
