// Reads answers of the callers' interface.
#include "caller_answer.h"

#include "citrongap/standins/json_fields.h"

namespace citrongap::scenario {

using nlohmann::json;
using namespace standins;

namespace {

constexpr int Accepted = 202;
constexpr int BadRequest = 400;
constexpr int NoOutcome = 504;

json objectOf(const HttpResponse &response) {
  return parseObject(response.Body).value_or(json::object());
}

json partsOf(const json &body) {
  return arrayField(objectField(body, "result"), "parts");
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
  const std::string outcome = textField(body, "outcome");
  const std::string reason = textField(body, "reason");
  if (outcome == "done")
    return {{"outcome", outcome}, {"results", partsOf(body)}};
  if (outcome == "failed" || outcome == "not_run" || outcome == "unknown")
    return {{"outcome", outcome}, {"reason", reason}};
  if (response.Status == Accepted)
    return {{"outcome", "accepted"}, {"reason", textField(body, "state")}};
  if (response.Status == BadRequest)
    return {{"outcome", "not_run"}, {"reason", response.Body}};
  return {{"outcome", "unknown"}, {"reason", response.Body}};
}

bool holds(const HttpResult &result) {
  const auto *response = std::get_if<HttpResponse>(&result);
  return response &&
         (response->Status == Accepted || response->Status == NoOutcome);
}

std::int64_t retryAfter(const HttpResult &result) {
  const auto *response = std::get_if<HttpResponse>(&result);
  if (!response)
    return 0;
  return numberField(objectOf(*response), "retry_after_ms", 0);
}

} // namespace citrongap::scenario
