// citrongap histogram: time to finish per account and class, as an entry VM
// saw it.
#include "call.h"
#include "histogram.h"

#include <fmt/format.h>

namespace citrongap::cli {

namespace {

constexpr Seconds AnswerPatience{5};
constexpr int Ok = 200;

int draw(const std::vector<Histogram> &histograms) {
  if (histograms.empty()) {
    fmt::print("no job has finished here within its caller's wait; submit one "
               "with a wait, or ask another entry VM\n");
    return ExitOk;
  }
  for (const auto &it : histograms)
    fmt::print("{}\n", drawHistogram(it));
  return ExitOk;
}

int histogram(const cxxopts::ParseResult &arguments) {
  const auto at = entryVmOf(arguments);
  if (!at)
    return ExitUsage;
  const auto result = call(*at, {"GET", "/metrics", "", ""}, AnswerPatience);
  if (const auto *error = std::get_if<HttpError>(&result))
    return reportNoAnswer(*at, *error);
  const auto &answer = std::get<HttpResponse>(result);
  if (answer.Status != Ok) {
    fmt::print(stderr,
               "citrongap: {} answered {} to /metrics; is it an entry VM?\n",
               at->str(), answer.Status);
    return ExitNoAnswer;
  }
  const std::string account = arguments.count("account") > 0
                                  ? arguments["account"].as<std::string>()
                                  : "";
  const auto histograms = parseHistograms(answer.Body, account);
  if (arguments.count("json") == 0)
    return draw(histograms);
  fmt::print("{}\n", histogramsJson(histograms));
  return ExitOk;
}

} // namespace

int runHistogram(const Arguments &arguments) {
  cxxopts::Options options(
      "citrongap histogram",
      "Draws how long jobs took from submission to outcome, per account and "
      "class.");
  auto add = options.add_options();
  add("at", "entry VM (IP:PORT)", cxxopts::value<std::string>());
  add("account", "only this client account", cxxopts::value<std::string>());
  add("json", "print the histograms as JSON");
  return withOptions(std::move(options), arguments, histogram);
}

} // namespace citrongap::cli
