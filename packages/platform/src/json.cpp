// JSON answers of the platform and of backend servers.
#include "json.h"

namespace citrongap {

namespace {
constexpr int HttpOk = 200;
constexpr int FirstServerError = 500;
constexpr int TakesNoWork = 503;
} // namespace

std::optional<nlohmann::json> parseObject(const std::string &text) {
  auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    return std::nullopt;
  return json;
}

PortResult<nlohmann::json> jsonAnswer(const HttpResult &result) {
  if (const auto *error = std::get_if<HttpError>(&result))
    return NoAnswer{describe(*error)};
  const auto &response = std::get<HttpResponse>(result);
  const auto body = parseObject(response.Body);
  if (response.Status == HttpOk) {
    if (!body)
      return NoAnswer{"the answer is not a JSON object"};
    return *body;
  }
  Rejected rejected{
      response.Status, body ? body->value("error", "") : "", {}, 0};
  if (response.Status >= FirstServerError && response.Status != TakesNoWork)
    return NoAnswer{"status " + std::to_string(response.Status) + ": " +
                    rejected.Reason};
  bool ok = true;
  if (body) {
    rejected.CurrentToken =
        FencingToken(field<std::uint64_t>(*body, "token", ok));
    rejected.RemainingMs = field<std::int64_t>(*body, "remaining_ms", ok);
  }
  return rejected;
}

} // namespace citrongap
