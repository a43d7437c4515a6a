// Reads answers of the callers' interface.
#include "caller_answer.h"

namespace citrongap::scenario {

using nlohmann::json;

namespace {

constexpr int Accepted = 202;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;

json objectOf(const HttpResponse &response) {
  auto body = json::parse(response.Body, nullptr, false);
  return body.is_object() ? body : json::object();
}

std::string textOf(const json &object, const char *name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

json partsOf(const json &body) {
  const auto result = body.find("result");
  if (result == body.end() || !result->is_object() ||
      !result->contains("parts") || !(*result)["parts"].is_array())
    return json::array();
  return (*result)["parts"];
}

const char *nameOf(HttpError error) {
  switch (error) {
  case HttpError::NotSent:
    return "not_sent";
  case HttpError::TimedOut:
    return "timed_out";
  case HttpError::Broken:
  case HttpError::Truncated:
    return "cut";
  }
  return "cut";
}

} // namespace

json answerOf(const HttpResult &result) {
  if (const auto *error = std::get_if<HttpError>(&result))
    return {{"outcome", nameOf(*error)}};
  const auto &response = std::get<HttpResponse>(result);
  const json body = objectOf(response);
  const std::string outcome = textOf(body, "outcome");
  const std::string reason = textOf(body, "reason");
  if (outcome == "done")
    return {{"outcome", outcome}, {"results", partsOf(body)}};
  if (outcome == "failed" || outcome == "not_run" || outcome == "unknown")
    return {{"outcome", outcome}, {"reason", reason}};
  if (response.Status == Accepted || response.Status == NotFound)
    return {{"outcome", "accepted"}, {"reason", textOf(body, "state")}};
  if (response.Status == BadRequest)
    return {{"outcome", "not_run"}, {"reason", response.Body}};
  return {{"outcome", "unknown"}, {"reason", response.Body}};
}

std::int64_t retryAfter(const HttpResult &result) {
  const auto *response = std::get_if<HttpResponse>(&result);
  if (!response)
    return 0;
  const json body = objectOf(*response);
  const auto it = body.find("retry_after_ms");
  return it != body.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                     : 0;
}

} // namespace citrongap::scenario
