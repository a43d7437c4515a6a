// citrongap check: settings or lists, by the same code as the daemon.
#include "call.h"
#include "citrongap/daemon/settings.h"
#include "citrongap/policy/configuration.h"

#include <fmt/format.h>

namespace citrongap::cli {

namespace {

template <typename T> int report(const Checked<T> &checked) {
  if (const auto *findings = std::get_if<Findings>(&checked)) {
    fmt::print(stderr, "{}", findings->text());
    return ExitFindings;
  }
  return ExitOk;
}

int check(const cxxopts::ParseResult &arguments) {
  const bool lists =
      arguments.count("plans") > 0 && arguments.count("entitlements") > 0;
  if (!lists && arguments.count("file") == 0) {
    fmt::print(stderr, "citrongap: name a settings file, or both --plans and "
                       "--entitlements\n");
    return ExitUsage;
  }
  int code = ExitOk;
  if (lists)
    code = report(
        readConfigurationFiles(arguments["plans"].as<std::string>(),
                               arguments["entitlements"].as<std::string>()));
  if (arguments.count("file") > 0)
    code = std::max(
        code, report(readSettingsFile(arguments["file"].as<std::string>())));
  if (code == ExitOk)
    fmt::print("no findings\n");
  return code;
}

} // namespace

int runCheck(const Arguments &arguments) {
  cxxopts::Options options(
      "citrongap check",
      "Reports every finding in a settings file or in the two lists.");
  options.add_options()("file", "settings file of an entry VM",
                        cxxopts::value<std::string>())(
      "plans", "list of customers' plans", cxxopts::value<std::string>())(
      "entitlements", "list of what each plan may use",
      cxxopts::value<std::string>());
  options.parse_positional({"file"});
  options.positional_help("[SETTINGS.ini]");
  return withOptions(std::move(options), arguments, check);
}

} // namespace citrongap::cli
