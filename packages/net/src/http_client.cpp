// evhttp client: a pool of kept connections for each endpoint, one request at
// a time on each. A connection whose request failed is not used again.
#include "citrongap/net/http_client.h"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <optional>
#include <utility>

namespace citrongap {

struct HttpClient::Connection {
  evhttp_connection *Handle = nullptr;
  bool Busy = false;
  /// Set when a request failed; the connection is freed once unused.
  bool Spoilt = false;
  /// readAvailable() is on the stack.
  bool Reading = false;

  ~Connection() {
    if (Handle)
      evhttp_connection_free(Handle);
  }
};

struct HttpClient::Pool {
  std::vector<std::unique_ptr<Connection>> Connections;
};

struct HttpClient::Call {
  HttpClient *Owner = nullptr;
  Connection *Over = nullptr;
  evhttp_request *Request = nullptr;
  Callback Then;
  std::optional<HttpError> Error;
  Millis ProgressTimeout{0};
  /// Bytes of the answer at the last check of the deadline.
  std::size_t BytesSeen = 0;
  Timer Deadline;

  /// Bytes of the answer that have arrived so far.
  std::size_t bytesReceived() const {
    if (!Request)
      return 0;
    const std::size_t parsed =
        evbuffer_get_length(evhttp_request_get_input_buffer(Request));
    bufferevent *raw = evhttp_connection_get_bufferevent(Over->Handle);
    return parsed + (raw ? evbuffer_get_length(bufferevent_get_input(raw)) : 0);
  }
};

namespace {

constexpr std::size_t MaxResponseBytes = 64U << 20U;

/// libevent reads a connection in pieces of this size, one in a pass of the
/// event loop.
constexpr std::size_t PieceBytes = 4096;
/// Limit of one pass, so that one large answer does not hold up the others.
constexpr std::size_t MaxBytesPerPass = 1U << 20U;

std::string drain(evbuffer *buffer) {
  std::string buf(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, buf.data(), buf.size());
  return buf;
}

evhttp_cmd_type commandOf(const std::string &method) {
  if (method == "POST")
    return EVHTTP_REQ_POST;
  if (method == "PUT")
    return EVHTTP_REQ_PUT;
  if (method == "DELETE")
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

/// A response counts as whole only when its declared length arrived.
HttpResult readResponse(evhttp_request *request) {
  const int status = evhttp_request_get_response_code(request);
  // Without an error of its own: the connection could not be opened.
  if (status == 0)
    return HttpError::NotSent;
  const char *length = evhttp_find_header(
      evhttp_request_get_input_headers(request), "Content-Length");
  HttpResponse response;
  response.Status = status;
  response.Body = drain(evhttp_request_get_input_buffer(request));
  if (!length || std::to_string(response.Body.size()) != length)
    return HttpError::Truncated;
  const char *type = evhttp_find_header(
      evhttp_request_get_input_headers(request), "Content-Type");
  response.ContentType = type ? type : "";
  const evkeyvalq *headers = evhttp_request_get_input_headers(request);
  for (const evkeyval *it = headers->tqh_first; it; it = it->next.tqe_next)
    response.Headers.emplace_back(it->key, it->value);
  return response;
}

HttpError errorOf(evhttp_request_error error) {
  switch (error) {
  case EVREQ_HTTP_TIMEOUT:
    return HttpError::TimedOut;
  case EVREQ_HTTP_EOF:
  case EVREQ_HTTP_BUFFER_ERROR:
    return HttpError::Broken;
  default:
    return HttpError::Truncated;
  }
}

} // namespace

/// Reads what else has arrived, after a whole piece. In a busy process, whose
/// passes are long, an answer of many pieces would miss its deadline.
void HttpClient::readAvailable(evbuffer *input, std::size_t added,
                               Connection &over) {
  if (over.Reading || added < PieceBytes)
    return;
  over.Reading = true;
  const evutil_socket_t socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(over.Handle));
  int count = static_cast<int>(PieceBytes);
  // An end or error of the connection is found by libevent's own next read.
  for (std::size_t total = added;
       count >= static_cast<int>(PieceBytes) && total < MaxBytesPerPass;
       total += static_cast<std::size_t>(std::max(count, 0)))
    count = evbuffer_read(input, socket, -1);
  over.Reading = false;
}

HttpClient::HttpClient(EventLoop &loop, std::string localIp)
    : Loop(loop), LocalIp(std::move(localIp)) {}

HttpClient::~HttpClient() {
  // Freed first, so that libevent's late callbacks find no call.
  for (auto &[handle, call] : Calls)
    call->Then = nullptr;
  Pools.clear();
}

HttpClient::Connection *HttpClient::idleConnection(const Endpoint &to) {
  auto &pool = Pools[to];
  if (!pool)
    pool = std::make_unique<Pool>();
  auto &all = pool->Connections;
  std::erase_if(all, [](const auto &it) { return it->Spoilt && !it->Busy; });
  const auto found = std::find_if(all.begin(), all.end(),
                                  [](const auto &it) { return !it->Busy; });
  if (found != all.end())
    return found->get();
  if (all.size() >= MaxConnections)
    return nullptr;
  auto added = std::make_unique<Connection>();
  added->Handle =
      evhttp_connection_base_new(Loop.base(), nullptr, to.Ip.c_str(), to.Port);
  if (!added->Handle)
    return nullptr;
  if (!LocalIp.empty())
    evhttp_connection_set_local_address(added->Handle, LocalIp.c_str());
  evhttp_connection_set_max_body_size(
      added->Handle, static_cast<ev_ssize_t>(MaxResponseBytes));
  evbuffer_add_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(added->Handle)),
      [](evbuffer *input, const evbuffer_cb_info *info, void *arg) {
        readAvailable(input, info->n_added, *static_cast<Connection *>(arg));
      },
      added.get());
  all.push_back(std::move(added));
  return all.back().get();
}

void HttpClient::call(const Endpoint &to, HttpRequest request,
                      CallDeadline deadline, Callback callback) {
  auto owned = std::make_unique<Call>();
  Call *call = owned.get();
  call->Owner = this;
  call->Then = std::move(callback);
  Calls.emplace(call, std::move(owned));
  call->Over = idleConnection(to);
  if (!call->Over) {
    call->Deadline =
        Loop.at(monoNow(), [this, call] { finish(call, HttpError::NotSent); });
    return;
  }
  call->Over->Busy = true;
  const auto onDone = [](evhttp_request *done, void *arg) {
    auto *self = static_cast<Call *>(arg);
    self->Request = nullptr;
    if (self->Error || !done) {
      self->Over->Spoilt = true;
      self->Owner->finish(self, self->Error.value_or(HttpError::Broken));
      return;
    }
    HttpResult result = readResponse(done);
    self->Over->Spoilt = !std::holds_alternative<HttpResponse>(result);
    self->Owner->finish(self, std::move(result));
  };
  call->Request = evhttp_request_new(onDone, call);
  evhttp_request_set_error_cb(call->Request,
                              [](evhttp_request_error error, void *arg) {
                                auto *self = static_cast<Call *>(arg);
                                if (!self->Error)
                                  self->Error = errorOf(error);
                              });
  auto *headers = evhttp_request_get_output_headers(call->Request);
  if (headerOf(request.Headers, "Host").empty())
    evhttp_add_header(headers, "Host", to.str().c_str());
  for (const auto &[name, value] : request.Headers)
    evhttp_add_header(headers, name.c_str(), value.c_str());
  if (!request.Body.empty() &&
      headerOf(request.Headers, "Content-Type").empty())
    evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(call->Request),
               request.Body.data(), request.Body.size());
  call->ProgressTimeout = deadline.ProgressTimeout;
  call->Deadline = Loop.at(deadline.At, [this, call] { checkDeadline(call); });
  evhttp_make_request(call->Over->Handle, call->Request,
                      commandOf(request.Method), request.Target.c_str());
}

void HttpClient::checkDeadline(Call *call) {
  const std::size_t received = call->bytesReceived();
  if (call->ProgressTimeout > Millis(0) && received > call->BytesSeen) {
    call->BytesSeen = received;
    call->Deadline = Loop.at(monoNow() + call->ProgressTimeout,
                             [this, call] { checkDeadline(call); });
    return;
  }
  call->Error = HttpError::TimedOut;
  call->Over->Spoilt = true;
  evhttp_request *pending = std::exchange(call->Request, nullptr);
  if (pending)
    evhttp_cancel_request(pending);
  finish(call, HttpError::TimedOut);
}

void HttpClient::finish(Call *call, HttpResult result) {
  const auto it = Calls.find(call);
  if (it == Calls.end())
    return;
  const std::unique_ptr<Call> owned = std::move(it->second);
  Calls.erase(it);
  if (owned->Over)
    owned->Over->Busy = false;
  owned->Deadline.cancel();
  if (owned->Then)
    owned->Then(std::move(result));
}

const char *describe(HttpError error) {
  switch (error) {
  case HttpError::NotSent:
    return "the request was not sent";
  case HttpError::Broken:
    return "the connection broke";
  case HttpError::TimedOut:
    return "no answer before the deadline";
  case HttpError::Truncated:
    return "the answer was not whole";
  }
  return "unknown error";
}

std::string queryParameter(const std::string &target, const std::string &name) {
  const char *query = nullptr;
  evhttp_uri *uri = evhttp_uri_parse(target.c_str());
  if (uri)
    query = evhttp_uri_get_query(uri);
  std::string value;
  evkeyvalq parameters{};
  if (query && evhttp_parse_query_str(query, &parameters) == 0) {
    const char *found = evhttp_find_header(&parameters, name.c_str());
    value = found ? found : "";
    evhttp_clear_headers(&parameters);
  }
  if (uri)
    evhttp_uri_free(uri);
  return value;
}

std::string encodeQueryValue(const std::string &value) {
  char *encoded =
      evhttp_uriencode(value.data(), static_cast<ev_ssize_t>(value.size()), 0);
  std::string out = encoded ? encoded : "";
  std::free(encoded);
  return out;
}

std::string pathOf(const std::string &target) {
  return target.substr(0, target.find('?'));
}

} // namespace citrongap
