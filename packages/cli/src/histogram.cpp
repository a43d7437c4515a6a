// Reads sample lines such as `NAME_bucket{account="a",le="1"} 3` and draws.
#include "histogram.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace citrongap::cli {

namespace {

using nlohmann::json;

constexpr std::string_view Family = "citrongap_job_finish_seconds";
constexpr std::size_t BarWidth = 40;
constexpr double Infinite = std::numeric_limits<double>::infinity();

struct Sample {
  std::string_view Name;
  std::map<std::string, std::string, std::less<>> Labels;
  double Value = 0;

  std::string label(std::string_view name) const {
    const auto it = Labels.find(name);
    return it == Labels.end() ? "" : it->second;
  }
};

std::optional<double> numberOf(std::string_view text) {
  if (text == "+Inf")
    return Infinite;
  double value = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || ptr != end || !std::isfinite(value))
    return std::nullopt;
  return value;
}

/// Takes a quoted and escaped value, with its end quote, off `rest`.
std::optional<std::string> takeValue(std::string_view &rest) {
  std::string out;
  for (std::size_t n = 0; n < rest.size(); ++n) {
    if (rest[n] == '"') {
      rest.remove_prefix(n + 1);
      return out;
    }
    if (rest[n] != '\\') {
      out += rest[n];
      continue;
    }
    if (++n == rest.size())
      break;
    out += rest[n] == 'n' ? '\n' : rest[n];
  }
  return std::nullopt;
}

/// Takes `a="b",c="d"}` off `rest`; false when it is not so.
bool takeLabels(std::string_view &rest, Sample &out) {
  while (!rest.empty() && rest.front() != '}') {
    const auto equals = rest.find("=\"");
    if (equals == std::string_view::npos)
      return false;
    const std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 2);
    auto value = takeValue(rest);
    if (!value)
      return false;
    out.Labels[name] = std::move(*value);
    if (rest.starts_with(','))
      rest.remove_prefix(1);
  }
  if (rest.empty())
    return false;
  rest.remove_prefix(1);
  return true;
}

std::optional<Sample> sampleOf(std::string_view line) {
  const auto brace = line.find('{');
  if (brace == std::string_view::npos || !line.starts_with(Family))
    return std::nullopt;
  Sample out;
  out.Name = line.substr(Family.size(), brace - Family.size());
  std::string_view rest = line.substr(brace + 1);
  if (!takeLabels(rest, out) || !rest.starts_with(' '))
    return std::nullopt;
  const auto value = numberOf(rest.substr(1));
  if (!value || *value < 0)
    return std::nullopt;
  out.Value = *value;
  return out;
}

std::uint64_t countOf(double value) {
  // What is larger than a double counts exactly is no count.
  constexpr double Largest = 9007199254740992.0;
  return static_cast<std::uint64_t>(std::min(value, Largest));
}

void addSample(const Sample &sample, Histogram &out) {
  if (sample.Name == "_sum")
    out.SumSeconds = sample.Value;
  if (sample.Name == "_count")
    out.Count = countOf(sample.Value);
  if (sample.Name != "_bucket")
    return;
  const auto upTo = numberOf(sample.label("le"));
  if (upTo)
    out.Buckets.push_back({*upTo, countOf(sample.Value)});
}

/// The text's buckets are cumulative.
void makeSeparate(std::vector<Bucket> &buckets) {
  std::uint64_t below = 0;
  for (auto &it : buckets) {
    const std::uint64_t all = std::max(it.Count, below);
    it.Count = all - below;
    below = all;
  }
}

std::string boundText(double upTo) {
  return std::isinf(upTo) ? "longer" : fmt::format("{} s", upTo);
}

} // namespace

std::vector<Histogram> parseHistograms(std::string_view text,
                                       std::string_view account) {
  std::vector<Histogram> out;
  std::map<std::pair<std::string, std::string>, std::size_t> places;
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    const auto sample = sampleOf(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!sample || (!account.empty() && sample->label("account") != account))
      continue;
    const std::pair key{sample->label("account"), sample->label("class")};
    const auto [it, added] = places.try_emplace(key, out.size());
    if (added)
      out.push_back({key.first, key.second, {}, 0, 0});
    addSample(*sample, out[it->second]);
  }
  for (auto &it : out)
    makeSeparate(it.Buckets);
  return out;
}

std::string drawHistogram(const Histogram &it) {
  const double mean =
      it.Count > 0 ? it.SumSeconds / static_cast<double>(it.Count) : 0;
  std::string out = fmt::format("{} {}: {} finished, mean {:.3g} s\n",
                                it.Account, it.Class, it.Count, mean);
  const auto holds = [](const Bucket &bucket) { return bucket.Count > 0; };
  const auto first = std::find_if(it.Buckets.begin(), it.Buckets.end(), holds);
  const auto last =
      std::find_if(it.Buckets.rbegin(), it.Buckets.rend(), holds).base();
  if (first == it.Buckets.end())
    return out;
  const auto most =
      std::max_element(first, last, [](const Bucket &lhs, const Bucket &rhs) {
        return lhs.Count < rhs.Count;
      });
  for (auto bucket = first; bucket != last; ++bucket) {
    // A bucket that holds any job has a bar.
    const auto width = static_cast<std::size_t>(
        std::ceil(static_cast<double>(bucket->Count) * BarWidth /
                  static_cast<double>(most->Count)));
    out += fmt::format("  {:>8} {:>8} {}", boundText(bucket->UpTo),
                       bucket->Count, std::string(width, '#'));
    out.erase(out.find_last_not_of(' ') + 1);
    out += '\n';
  }
  return out;
}

std::string histogramsJson(const std::vector<Histogram> &histograms) {
  json out = json::array();
  for (const auto &it : histograms) {
    json buckets = json::array();
    for (const auto &bucket : it.Buckets) {
      const json upTo =
          std::isinf(bucket.UpTo) ? json(nullptr) : json(bucket.UpTo);
      buckets.push_back({{"up_to_seconds", upTo}, {"count", bucket.Count}});
    }
    out.push_back({{"account", it.Account},
                   {"class", it.Class},
                   {"count", it.Count},
                   {"sum_seconds", it.SumSeconds},
                   {"buckets", buckets}});
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace citrongap::cli
