// Requests and responses of HTTP, as values.
#ifndef CITRONGAP_NET_HTTP_MESSAGE_H
#define CITRONGAP_NET_HTTP_MESSAGE_H

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace citrongap {

/// Names as sent; lookups ignore case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The first value of header `name`; empty when absent.
std::string headerOf(const HttpHeaders &headers, const std::string &name);

struct HttpRequest {
  /// "GET", "POST", "PUT" or "DELETE".
  std::string Method = "GET";
  /// Path with query, as sent: "/streams/claims/records?from=4".
  std::string Target;
  std::string Body;
  /// IP number of the caller; set by the server.
  std::string Peer;
  /// Sent besides Content-Type, and Host unless it is given here.
  HttpHeaders Headers = {};
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  HttpHeaders Headers = {};
};

/// Why there is no response. The request may have taken effect in each case
/// but `NotSent`.
enum class HttpError { NotSent, Broken, TimedOut, Truncated };

const char *describe(HttpError error);

using HttpResult = std::variant<HttpResponse, HttpError>;

/// The value of a query parameter of `target`, percent-decoded; empty when
/// absent.
std::string queryParameter(const std::string &target, const std::string &name);
/// Percent-encodes any bytes as the value of a parameter.
std::string encodeQueryValue(const std::string &value);
/// `target` without its query.
std::string pathOf(const std::string &target);

} // namespace citrongap

#endif // CITRONGAP_NET_HTTP_MESSAGE_H
