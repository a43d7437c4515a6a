// HTTP calls with a deadline each, over kept connections.
#ifndef CITRONGAP_NET_HTTP_CLIENT_H
#define CITRONGAP_NET_HTTP_CLIENT_H

#include "citrongap/net/call_deadline.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evbuffer;

namespace citrongap {

class HttpClient {
public:
  using Callback = std::function<void(HttpResult)>;

  /// `localIp` is the source address of its connections; empty for any.
  HttpClient(EventLoop &loop, std::string localIp);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Calls back exactly once, never before returning, and not after the client
  /// is destroyed. Refuses with `NotSent` past `MaxConnections` to `to`.
  void call(const Endpoint &to, HttpRequest request, CallDeadline deadline,
            Callback callback);

  /// Connections to one endpoint, at the most.
  static constexpr std::size_t MaxConnections = 64;

private:
  struct Connection;
  struct Pool;
  struct Call;

  static void readAvailable(evbuffer *input, std::size_t added,
                            Connection &over);
  Connection *idleConnection(const Endpoint &to);
  void finish(Call *call, HttpResult result);
  /// Ends the call when its deadline has passed, or moves the deadline on.
  void checkDeadline(Call *call);

  EventLoop &Loop;
  std::string LocalIp;
  std::map<Endpoint, std::unique_ptr<Pool>> Pools;
  /// Calls in flight, by address.
  std::map<Call *, std::unique_ptr<Call>> Calls;
};

} // namespace citrongap

#endif // CITRONGAP_NET_HTTP_CLIENT_H
