// Arguments and files of the stand-ins' programs.
#include "program.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>

namespace citrongap::standins {

std::optional<nlohmann::json> readJsonArray(const std::string &path) {
  std::ifstream file(path);
  auto value = nlohmann::json::parse(file, nullptr, false);
  if (value.is_discarded() || !value.is_array())
    return std::nullopt;
  return value;
}

int runProgram(int argc, char **argv, cxxopts::Options options,
               const std::vector<std::string> &required,
               const std::function<int(const cxxopts::ParseResult &)> &body) {
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      fmt::print("{}", options.help());
      return 0;
    }
    for (const auto &it : required) {
      if (arguments.count(it) != 0)
        continue;
      fmt::print(stderr, "missing --{}\n{}", it, options.help());
      return ExitUsage;
    }
    return body(arguments);
  } catch (const cxxopts::exceptions::exception &wrong) {
    fmt::print(stderr, "{}\n", wrong.what());
    return ExitUsage;
  }
}

} // namespace citrongap::standins
