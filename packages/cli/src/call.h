// One HTTP call at a time to an entry VM, and the options that every command
// shares.
#ifndef CITRONGAP_CLI_SRC_CALL_H
#define CITRONGAP_CLI_SRC_CALL_H

#include "citrongap/base/time.h"
#include "citrongap/cli/commands.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/net/http_message.h"

#include <cxxopts.hpp>
#include <functional>
#include <optional>
#include <string>

namespace citrongap::cli {

/// Asks `to` and waits for the answer.
HttpResult call(const Endpoint &to, const HttpRequest &request,
                Millis patience);

/// Parses arguments and runs `body`; usage errors and --help end here.
int withOptions(cxxopts::Options options, const Arguments &arguments,
                const std::function<int(const cxxopts::ParseResult &)> &body);

/// The entry VM from --at, or an error line on standard error.
std::optional<Endpoint> entryVmOf(const cxxopts::ParseResult &arguments);

/// Prints why there was no answer and what to do next.
int reportNoAnswer(const Endpoint &to, HttpError error);

/// Prints the findings of a 4xx answer.
void printFindings(const std::string &body);

} // namespace citrongap::cli

#endif // CITRONGAP_CLI_SRC_CALL_H
