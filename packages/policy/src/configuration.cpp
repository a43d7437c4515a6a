// Parsing and validation of the two configuration lists.
#include "citrongap/policy/configuration.h"

#include "citrongap/policy/guarantee_packing.h"
#include "citrongap/policy/job.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <sstream>

namespace citrongap {

namespace {

constexpr std::uint32_t MaxRacks = 10000;
constexpr std::uint32_t MaxServersPerRack = 64;
constexpr std::uint32_t MaxPerServer = 16;
constexpr std::uint32_t MaxWeight = 1000000;
constexpr std::uint32_t MaxRate = 1000000;

std::string trimmed(const std::string &text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::optional<std::uint32_t> wholeNumber(const std::string &text) {
  std::uint32_t n = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || ptr != end)
    return std::nullopt;
  return n;
}

/// Returns "x" for section "account x" and prefix "account"; empty for another
/// prefix.
std::string sectionName(const std::string &section, const std::string &prefix) {
  if (!section.starts_with(prefix + " "))
    return {};
  return trimmed(section.substr(prefix.size() + 1));
}

std::uint32_t readCount(IniDocument &doc, const std::string &section,
                        const std::string &key, std::uint32_t high,
                        std::optional<std::uint32_t> fallback,
                        Findings &findings) {
  return static_cast<std::uint32_t>(
      doc.number(section, key, 1, high, fallback, findings));
}

PlanEntry readPlan(IniDocument &doc, const std::string &section,
                   const std::string &name, Findings &findings) {
  PlanEntry plan;
  plan.Plan = PlanId(name);
  const auto shapes = doc.optionalText(section, "guaranteed");
  if (shapes)
    plan.Guaranteed =
        parseShapes(*shapes, doc.locationOf(section, "guaranteed"), findings);
  plan.Weight =
      readCount(doc, section, "weight", MaxWeight, plan.Weight, findings);
  plan.UrgentPerHour = static_cast<std::uint32_t>(
      doc.number(section, "urgent_per_hour", 0, MaxRate, 0, findings));
  plan.MaxQueued =
      readCount(doc, section, "max_queued", MaxRate, plan.MaxQueued, findings);
  plan.RequestsPerSecond = readCount(doc, section, "requests_per_second",
                                     MaxRate, plan.RequestsPerSecond, findings);
  plan.LargestGang.Count = readCount(doc, section, "largest_gang",
                                     MaxGang.Count, MaxGang.Count, findings);
  return plan;
}

DataCentreEntry readDataCentre(IniDocument &doc, const std::string &section,
                               const std::string &name, Findings &findings) {
  DataCentreEntry entry;
  entry.DataCentre = DataCentreId(name);
  entry.Racks =
      readCount(doc, section, "racks", MaxRacks, std::nullopt, findings);
  entry.ServersPerRack = readCount(doc, section, "servers_per_rack",
                                   MaxServersPerRack, std::nullopt, findings);
  entry.PerServer.Count = readCount(doc, section, "accelerators_per_server",
                                    MaxPerServer, std::nullopt, findings);
  return entry;
}

void readPlanList(IniDocument &doc, Configuration &out, Findings &findings) {
  for (const auto &section : doc.sections()) {
    const std::string name = sectionName(section, "account");
    if (name.empty()) {
      findings.add(fmt::format("{} [{}]", doc.name(), section),
                   "is not an [account NAME] section");
      continue;
    }
    const ClientAccountId account(name);
    out.Accounts[account] = {account,
                             PlanId(doc.text(section, "plan", findings))};
  }
}

void readEntitlementList(IniDocument &doc, Configuration &out,
                         Findings &findings) {
  for (const auto &section : doc.sections()) {
    const std::string plan = sectionName(section, "plan");
    const std::string dataCentre = sectionName(section, "data_centre");
    if (!plan.empty())
      out.Plans[PlanId(plan)] = readPlan(doc, section, plan, findings);
    else if (!dataCentre.empty())
      out.DataCentres[DataCentreId(dataCentre)] =
          readDataCentre(doc, section, dataCentre, findings);
    else
      findings.add(fmt::format("{} [{}]", doc.name(), section),
                   "is neither a [plan NAME] nor a [data_centre NAME] section");
  }
}

} // namespace

const PlanEntry *Configuration::planOf(const ClientAccountId &account) const {
  const auto entry = Accounts.find(account);
  if (entry == Accounts.end())
    return nullptr;
  const auto plan = Plans.find(entry->second.Plan);
  return plan == Plans.end() ? nullptr : &plan->second;
}

Checked<Configuration> parseConfiguration(IniDocument plans,
                                          IniDocument entitlements) {
  Findings findings;
  Configuration out;
  readPlanList(plans, out, findings);
  readEntitlementList(entitlements, out, findings);
  plans.reportUnknown(findings);
  entitlements.reportUnknown(findings);
  findings.append(validate(out));
  if (!findings.empty())
    return findings;
  return out;
}

Checked<Configuration>
readConfigurationFiles(const std::string &plansPath,
                       const std::string &entitlementsPath) {
  Findings findings;
  IniDocument plans = IniDocument::fromFile(plansPath, findings);
  IniDocument entitlements = IniDocument::fromFile(entitlementsPath, findings);
  if (!findings.empty())
    return findings;
  return parseConfiguration(std::move(plans), std::move(entitlements));
}

Findings validate(const Configuration &configuration) {
  Findings findings;
  for (const auto &[id, entry] : configuration.Accounts)
    if (!configuration.Plans.contains(entry.Plan))
      findings.add(fmt::format("account {}", id.str()),
                   fmt::format("has the unknown plan '{}'", entry.Plan.str()));
  for (const auto &[id, plan] : configuration.Plans)
    for (const auto &shape : plan.Guaranteed)
      if (shape.Gang > plan.LargestGang)
        findings.add(fmt::format("plan {}", id.str()),
                     fmt::format("guarantees {} adjacent accelerators but "
                                 "allows gangs of at most {}",
                                 shape.Gang.Count, plan.LargestGang.Count));
  if (findings.empty())
    findings.append(packGuarantees(configuration).PackingFindings);
  return findings;
}

std::vector<GuaranteedShape> parseShapes(const std::string &text,
                                         const std::string &location,
                                         Findings &findings) {
  std::vector<GuaranteedShape> shapes;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    item = trimmed(item);
    const auto cross = item.find('x');
    const auto gang = wholeNumber(item.substr(0, cross));
    const auto count = cross == std::string::npos
                           ? std::optional<std::uint32_t>(1)
                           : wholeNumber(item.substr(cross + 1));
    const bool valid = gang && count && *gang >= 1 && *gang <= MaxGang.Count &&
                       *count >= 1 && *count <= MaxRate;
    if (!valid) {
      findings.add(
          location,
          fmt::format("'{}' is not GANGxCOUNT with a gang from 1 to {}", item,
                      MaxGang.Count));
      continue;
    }
    shapes.push_back({Accelerators{*gang}, *count});
  }
  std::stable_sort(
      shapes.begin(), shapes.end(),
      [](const auto &lhs, const auto &rhs) { return lhs.Gang > rhs.Gang; });
  return shapes;
}

std::string formatShapes(const std::vector<GuaranteedShape> &shapes) {
  std::string buf;
  for (const auto &it : shapes)
    buf += fmt::format("{}{}x{}", buf.empty() ? "" : ", ", it.Gang.Count,
                       it.Count);
  return buf;
}

} // namespace citrongap
