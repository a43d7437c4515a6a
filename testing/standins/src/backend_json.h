// JSON of the backend server's calls and answers.
#ifndef CITRONGAP_STANDINS_SRC_BACKEND_JSON_H
#define CITRONGAP_STANDINS_SRC_BACKEND_JSON_H

#include "citrongap/net/http_message.h"
#include "citrongap/standins/backend_server_model.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace citrongap::standins {

/// The member "payload" of `request` as a program; what is missing keeps its
/// default.
Program programOf(const std::string &request);

/// Null when a member is missing or malformed.
std::optional<PrepareTask> prepareOf(const nlohmann::json &body);
/// Null for callers whose terms count from the receipt.
std::optional<ServerTime> fromOf(const nlohmann::json &body);
SyncRequest syncOf(const nlohmann::json &body);

nlohmann::json stateJson(const TaskState &state, std::uint64_t version);
HttpResponse refusalResponse(const Refusal &refusal);
nlohmann::json eventJson(const BackendServerId &server,
                         const BackendEvent &event);

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_SRC_BACKEND_JSON_H
