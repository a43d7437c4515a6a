// The log service over HTTP.
#include "citrongap/platform/http_ports.h"
#include "json.h"

#include <fmt/format.h>

namespace citrongap {

namespace {

constexpr std::size_t MaxRecordsPerRead = 1000;

LogPage readPage(const nlohmann::json &json, bool &ok) {
  LogPage page;
  page.FirstRetained =
      LogOffset(field<std::uint64_t>(json, "first_retained", ok));
  page.End = LogOffset(field<std::uint64_t>(json, "end", ok));
  const auto records = json.find("records");
  if (records == json.end() || !records->is_array()) {
    ok = false;
    return page;
  }
  for (const auto &it : *records) {
    if (!it.is_object() || !it.contains("record")) {
      ok = false;
      return page;
    }
    page.Records.push_back({LogOffset(field<std::uint64_t>(it, "offset", ok)),
                            it["record"].dump()});
  }
  return page;
}

} // namespace

HttpLogPort::HttpLogPort(HttpClient &http, Endpoint platform)
    : Http(http), Platform(std::move(platform)) {}

void HttpLogPort::append(const std::string &stream,
                         std::vector<std::string> bodies, MonoTime deadline,
                         PortCallback<LogOffset> callback) {
  std::string body = R"({"records":[)";
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    body += i == 0 ? "" : ",";
    body += bodies[i];
  }
  body += "]}";
  Http.call(
      Platform,
      {"POST", fmt::format("/streams/{}/records", stream), std::move(body), ""},
      deadline, [callback = std::move(callback)](const HttpResult &result) {
        callback(readAnswer<LogOffset>(
            result, [](const nlohmann::json &json, bool &ok) {
              return LogOffset(field<std::uint64_t>(json, "first", ok));
            }));
      });
}

void HttpLogPort::read(const std::string &stream, LogOffset from, Millis wait,
                       MonoTime deadline, PortCallback<LogPage> callback) {
  const std::string target =
      fmt::format("/streams/{}/records?from={}&max={}&wait_ms={}", stream,
                  from.value(), MaxRecordsPerRead, wait.count());
  Http.call(Platform, {"GET", target, "", ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<LogPage>(result, readPage));
            });
}

} // namespace citrongap
