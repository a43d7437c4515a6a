// An answer of the callers' interface (docs/API.md) as a history line.
#ifndef CITRONGAP_SCENARIO_SRC_CALLER_ANSWER_H
#define CITRONGAP_SCENARIO_SRC_CALLER_ANSWER_H

#include "citrongap/net/http_message.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace citrongap::scenario {

/// The members "outcome", "results" and "reason" of an `answered` line.
nlohmann::json answerOf(const HttpResult &result);

/// True when the system says that it has the job, so that it may be asked for.
bool holds(const HttpResult &result);

/// Milliseconds after which a refused call may be made again; 0 for never.
std::int64_t retryAfter(const HttpResult &result);

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_CALLER_ANSWER_H
