// HTTP server with limits; a handler may answer at once or later.
#ifndef CITRONGAP_NET_HTTP_SERVER_H
#define CITRONGAP_NET_HTTP_SERVER_H

#include "citrongap/base/time.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_message.h"

#include <functional>
#include <memory>
#include <set>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace citrongap {

struct HttpLimits {
  std::size_t MaxBodyBytes = 1U << 20U;
  std::size_t MaxConnections = 1024;
  /// A connection that sends or takes nothing for so long is closed.
  Seconds IdleTimeout{30};
};

/// Answers one request, once; later calls do nothing. Copies share the request.
/// A request that is never answered gets 500 when the last copy goes. After the
/// server is gone, nothing is sent.
class HttpResponder {
public:
  HttpResponder(evhttp_request *request, std::weak_ptr<int> server);
  void send(const HttpResponse &response) const;
  bool sent() const;
  /// Has the connection closed after the answer.
  void closeAfter() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

class HttpServer {
public:
  using Handler =
      std::function<void(const HttpRequest &, const HttpResponder &)>;

  HttpServer(EventLoop &loop, HttpLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// False when the address can't be bound.
  bool listen(const Endpoint &at);
  /// Stops accepting connections; open ones go on.
  void stopAccepting();
  std::size_t connections() const { return Open.size(); }

private:
  void onRequest(evhttp_request *request);
  static void onClosed(evhttp_connection *connection, void *arg);

  HttpLimits Limits;
  Handler Handle;
  evhttp *Http;
  /// The bound sockets, as libevent's handles.
  std::set<void *> Sockets;
  std::set<evhttp_connection *> Open;
  /// Responders may outlive the server, whose end frees their requests.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_NET_HTTP_SERVER_H
