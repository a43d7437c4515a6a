// Seeded draws of jobs, cancellations and faults.
#include "workload_builder.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace citrongap::bench {

namespace {

constexpr double MsPerMinute = 60.0 * 1000;
constexpr double MsPerHour = 60 * MsPerMinute;

double normal(Random &random) {
  return std::normal_distribution<double>(0, 1)(random.engine());
}

} // namespace

MonoTime hour(double hours) {
  return monoFromMillis(std::llround(hours * MsPerHour));
}

std::vector<ServerDescription> serversOf(const DataCentreEntry &site) {
  std::vector<ServerDescription> out;
  for (std::uint32_t r = 0; r < site.Racks; ++r)
    for (std::uint32_t i = 0; i < site.ServersPerRack; ++i)
      out.push_back({BackendServerId(fmt::format("s{:03}-{:02}", r, i)),
                     RackId(fmt::format("r{:03}", r)), site.PerServer,
                     ServerState::Live});
  return out;
}

WorkloadBuilder::WorkloadBuilder(std::string name, DataCentreEntry site,
                                 std::uint64_t seed)
    : Seeded(seed) {
  Out.Name = std::move(name);
  Out.Site = std::move(site);
  Out.Lists.DataCentres[Out.Site.DataCentre] = Out.Site;
}

WorkloadBuilder &WorkloadBuilder::account(const std::string &name,
                                          const PlanEntry &plan) {
  const ClientAccountId id(name);
  PlanEntry own = plan;
  own.Plan = PlanId("plan-" + name);
  Out.Lists.Accounts[id] = {id, own.Plan};
  Out.Lists.Plans[own.Plan] = own;
  return *this;
}

BenchJob WorkloadBuilder::draw(const JobFamily &family, double fromHour,
                               double untilHour) {
  BenchJob it;
  it.Request.Id = {ClientAccountId(family.Account),
                   RequestKey(fmt::format("{}-{:05}", family.Kind, Next++))};
  it.Request.Class = family.Class;
  it.Request.Gang.Count =
      family.Gangs[Seeded.between(0, family.Gangs.size() - 1)];
  it.Request.Kind = family.Kind;
  it.Request.Repeatable = family.Repeatable;
  const double run = family.MedianMinutes * MsPerMinute *
                     std::exp(family.Spread * normal(Seeded));
  const double error =
      std::exp((2 * Seeded.unit() - 1) * std::log(family.DeclaredError));
  it.RunMs = std::max<std::int64_t>(1000, std::llround(run));
  it.Request.DeclaredRunMs =
      std::max<std::int64_t>(1000, std::llround(run * error));
  it.Arrival = hour(fromHour + (untilHour - fromHour) * Seeded.unit());
  it.Checkpointable = Seeded.unit() < family.CheckpointableShare;
  return it;
}

WorkloadBuilder &WorkloadBuilder::jobs(const JobFamily &family,
                                       std::size_t count, double fromHour,
                                       double untilHour) {
  for (std::size_t i = 0; i < count; ++i)
    Out.Jobs.push_back(draw(family, fromHour, untilHour));
  return *this;
}

WorkloadBuilder &WorkloadBuilder::load(const JobFamily &family, double load,
                                       double fromHour, double untilHour) {
  double left =
      load * Out.Site.total().Count * (untilHour - fromHour) * MsPerHour;
  while (left > 0) {
    Out.Jobs.push_back(draw(family, fromHour, untilHour));
    left -= static_cast<double>(Out.Jobs.back().RunMs) *
            Out.Jobs.back().Request.Gang.Count;
  }
  return *this;
}

WorkloadBuilder &WorkloadBuilder::cancelWaves(const std::string &account,
                                              double share,
                                              double afterMinutes) {
  const auto wave = static_cast<std::int64_t>(afterMinutes * MsPerMinute);
  const auto period = static_cast<std::int64_t>(MsPerHour);
  for (auto &it : Out.Jobs) {
    if (it.Request.Id.Account.str() != account || Seeded.unit() >= share)
      continue;
    const std::int64_t at = toMillis(it.Arrival);
    std::int64_t cancel = at / period * period + wave;
    if (cancel <= at)
      cancel += period;
    it.CancelAt = monoFromMillis(cancel);
  }
  return *this;
}

WorkloadBuilder &WorkloadBuilder::faultyJobs(double share) {
  for (auto &it : Out.Jobs)
    it.AlwaysFails = Seeded.unit() < share;
  return *this;
}

WorkloadBuilder &WorkloadBuilder::impossibleJobs(double share) {
  for (auto &it : Out.Jobs)
    if (Seeded.unit() < share) {
      it.Impossible = true;
      it.Request.Gang.Count = Out.Site.total().Count + 1;
    }
  return *this;
}

WorkloadBuilder &WorkloadBuilder::faultyServers(std::uint32_t count,
                                                double fromHour,
                                                double untilHour) {
  const auto servers = serversOf(Out.Site);
  const std::size_t step = servers.size() / count;
  for (std::uint32_t i = 0; i < count; ++i)
    Out.Faults.push_back(
        {servers[i * step].Server, hour(fromHour), hour(untilHour)});
  return *this;
}

WorkloadBuilder &WorkloadBuilder::aggressor(const std::string &account) {
  Out.Aggressors.insert(ClientAccountId(account));
  return *this;
}

Workload WorkloadBuilder::build(double morningHour, double horizonHour) {
  Out.Morning = hour(morningHour);
  Out.Horizon = hour(horizonHour);
  for (auto &it : Out.Jobs)
    it.Request.Deadline = wallAt(Out.Horizon);
  std::stable_sort(Out.Jobs.begin(), Out.Jobs.end(),
                   [](const auto &lhs, const auto &rhs) {
                     return lhs.Arrival < rhs.Arrival;
                   });
  return Out;
}

} // namespace citrongap::bench
