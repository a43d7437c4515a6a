// Relayed calls over persistent HTTP connections.
#include "citrongap/control/peer_http.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace citrongap {

namespace {

constexpr const char *RelayPath = "/relay";
constexpr const char *QuestionPath = "/question";
constexpr const char *WaitHeader = "Wait-Ms";
/// Upper bound on a relayed call: the longest poll and its answer.
constexpr Millis LongestWait{15000};

Millis waitOf(const HttpRequest &request) {
  const std::string text = headerOf(request.Headers, WaitHeader);
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::clamp(Millis(ms), Millis(0), LongestWait);
}

PeerTransport postTo(HttpClient &http, const char *path) {
  return [&http, path](const Endpoint &peer, std::string bytes,
                       CallDeadline deadline,
                       std::function<void(std::optional<std::string>)> done) {
    HttpRequest request;
    request.Method = "POST";
    request.Target = path;
    request.Body = std::move(bytes);
    request.Headers.emplace_back("Content-Type", "application/octet-stream");
    request.Headers.emplace_back(
        WaitHeader, std::to_string((deadline.At - monoNow()).count()));
    http.call(peer, std::move(request), deadline,
              [done = std::move(done)](HttpResult result) {
                auto *response = std::get_if<HttpResponse>(&result);
                if (response && response->Status == 200)
                  done(std::move(response->Body));
                else
                  done(std::nullopt);
              });
  };
}

} // namespace

PeerTransport peerTransport(HttpClient &http) {
  return postTo(http, RelayPath);
}

PeerTransport questionTransport(HttpClient &http) {
  return postTo(http, QuestionPath);
}

HttpServer::Handler peerHandler(RelayedStore &store, EntryNode &node) {
  return [&store, &node](const HttpRequest &request,
                         const HttpResponder &responder) {
    const std::string path = pathOf(request.Target);
    if (request.Method != "POST" ||
        (path != RelayPath && path != QuestionPath)) {
      responder.send({404, R"({"error":"no such path"})"});
      return;
    }
    const auto reply = [responder](std::string bytes) {
      responder.send({200, std::move(bytes), "application/octet-stream"});
    };
    if (path == QuestionPath) {
      node.answerForPeer(request.Body, reply);
      return;
    }
    const Millis wait = waitOf(request);
    store.serve(request.Body, CallDeadline(monoNow() + wait, wait), reply);
  };
}

} // namespace citrongap
