// What the stand-ins' programs share: arguments and files.
#ifndef CITRONGAP_STANDINS_SRC_PROGRAM_H
#define CITRONGAP_STANDINS_SRC_PROGRAM_H

#include "citrongap/net/endpoint.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cxxopts {
class Options;
class ParseResult;
} // namespace cxxopts

namespace citrongap::standins {

inline constexpr int ExitFailure = 1;
inline constexpr int ExitUsage = 2;

/// Null unless the file holds a JSON array.
std::optional<nlohmann::json> readJsonArray(const std::string &path);

/// Parses the arguments, answers --help, and calls `body` when all `required`
/// ones are there. Gives the exit code.
int runProgram(int argc, char **argv, cxxopts::Options options,
               const std::vector<std::string> &required,
               const std::function<int(const cxxopts::ParseResult &)> &body);

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_SRC_PROGRAM_H
