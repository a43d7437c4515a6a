// HTTP server with limits; a handler may answer at once or later.
#ifndef CITRONGAP_NET_HTTP_SERVER_H
#define CITRONGAP_NET_HTTP_SERVER_H

#include "citrongap/base/time.h"
#include "citrongap/net/connection_budget.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_message.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

struct bufferevent;
struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace citrongap {

struct HttpLimits {
  std::size_t MaxBodyBytes = 1U << 20U;
  /// Connections that have sent nothing count too. At the limit, connections
  /// are closed to accept others, those without a complete request first.
  std::size_t MaxConnections = 1024;
  /// A connection that sends or takes nothing for so long is closed.
  Seconds IdleTimeout{30};
  /// From the first byte of a request to the end of its head.
  Seconds HeadTimeout{30};
  /// From the end of the head to the end of the body.
  Seconds BodyTimeout{60};
  /// From an answer until the client has taken it.
  Seconds AnswerTimeout{60};
  /// Shared by the servers of a process; without it, memory has no limit.
  std::shared_ptr<ConnectionBudget> Budget = nullptr;
  /// Asked at the start of a request; replaces `MaxBodyBytes` if set.
  std::function<std::size_t()> CurrentMaxBodyBytes = nullptr;
  /// When the budget is exceeded, connections of other servers are closed
  /// before those of this one.
  bool ClosedLast = false;
};

/// Answers one request, once; later calls do nothing. Copies share the request.
/// A request that is never answered gets 500 when the last copy goes. After the
/// server is gone, nothing is sent.
class HttpResponder {
public:
  HttpResponder(evhttp_request *request, std::weak_ptr<int> server,
                std::weak_ptr<ServedConnection> connection);
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

  const ConnectionBudget &budget() const { return *Limits.Budget; }

private:
  static bufferevent *onAccept(event_base *base, void *arg);
  static void onClosed(evhttp_connection *connection, void *arg);
  void onRequest(evhttp_request *request);
  /// Work that is not possible within callbacks of a connection.
  void work();
  /// Learns evhttp's connections of those accepted since the last call.
  void adoptAccepted();
  void makeRoom();
  void closeOverdue();

  HttpLimits Limits;
  Handler Handle;
  evhttp *Http;
  /// The bound sockets, as libevent's handles.
  std::set<void *> Sockets;
  std::map<bufferevent *, std::shared_ptr<ServedConnection>> Open;
  std::vector<bufferevent *> Accepted;
  event *Work;
  Timer Sweep;
  /// Responders may outlive the server, whose end frees their requests.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_NET_HTTP_SERVER_H
