// The workloads of the policy bench.
#include "workload_builder.h"

#include <fmt/format.h>

namespace citrongap::bench {

namespace {

constexpr std::uint64_t SeedStep = 1000;

const DataCentreEntry Lahore{DataCentreId("lahore-1"), 2, 6, {8}};
const DataCentreEntry Pwani{DataCentreId("pwani-1"), 2, 8, {8}};
const DataCentreEntry TwoYears{DataCentreId("region-1"), 238, 8, {2}};

PlanEntry plan(std::uint32_t weight, std::vector<GuaranteedShape> guaranteed,
               std::uint32_t urgentPerHour = 0) {
  PlanEntry it;
  it.Weight = weight;
  it.Guaranteed = std::move(guaranteed);
  it.UrgentPerHour = urgentPerHour;
  it.MaxQueued = 1000;
  return it;
}

JobFamily family(std::string account, std::string kind,
                 std::vector<std::uint32_t> gangs, double medianMinutes,
                 ServiceClass cls = ServiceClass::Standard) {
  JobFamily it;
  it.Account = std::move(account);
  it.Kind = std::move(kind);
  it.Gangs = std::move(gangs);
  it.MedianMinutes = medianMinutes;
  it.Class = cls;
  return it;
}

JobFamily unrepeatable(JobFamily it) {
  it.Repeatable = false;
  return it;
}

/// The four accounts of the Lahore site; hour 0 is 16:00.
WorkloadBuilder lahoreSite(const std::string &name, std::uint64_t seed) {
  WorkloadBuilder builder(name, Lahore, seed);
  builder.account("mixing", plan(4, {{{16}, 2}}))
      .account("heat", plan(2, {{{8}, 1}}))
      .account("labels", plan(2, {{{2}, 4}}, 120))
      .account("clerk", plan(1, {{{1}, 4}}, 60));
  return builder;
}

Workload duskRush(std::uint64_t seed) {
  WorkloadBuilder builder = lahoreSite("dusk rush (Lahore)", seed);
  builder.jobs(family("mixing", "mix", {4, 8, 8, 8, 16, 16}, 18), 180, 0, 2.5)
      .jobs(family("mixing", "plan", {48}, 55), 4, 0.5, 2)
      .jobs(family("heat", "curve", {2, 4, 8}, 18), 120, 0, 2.5)
      .jobs(unrepeatable(
                family("labels", "label", {1, 2}, 3, ServiceClass::Urgent)),
            350, 1, 2.5)
      .jobs(family("clerk", "order", {1}, 3, ServiceClass::Urgent), 150, 0.5,
            2.5);
  return builder.build(14, 24);
}

Workload mintDeadline(std::uint64_t seed) {
  WorkloadBuilder builder("mint deadline (Pwani)", Pwani, seed);
  builder.account("mint-a", plan(4, {{{32}, 1}}))
      .account("mint-b", plan(4, {{{32}, 1}}))
      .account("workshop-a", plan(1, {{{2}, 3}}, 30))
      .account("workshop-b", plan(1, {{{2}, 3}}, 30));
  for (const std::string it : {"mint-a", "mint-b"})
    builder.jobs(family(it, "relief", {8, 8, 16, 16, 32, 64}, 22), 130, 0, 3)
        .aggressor(it);
  for (const std::string it : {"workshop-a", "workshop-b"})
    builder.jobs(family(it, "proof", {1, 1, 2}, 5), 150, 0, 10);
  return builder.build(16, 30);
}

Workload wrongSizes(std::uint64_t seed) {
  WorkloadBuilder builder("wrong sizes and run times", Lahore, seed);
  for (const std::string it : {"a", "b", "c", "d"}) {
    builder.account(it, plan(1, {{{8}, 2}}, 10));
    JobFamily mixed =
        family(it, "mixed", {1, 1, 2, 4, 8, 8, 16, 32, 64, 96}, 12);
    mixed.Spread = 1.2;
    mixed.DeclaredError = 30;
    builder.load(mixed, 0.2, 0, 12);
  }
  builder.impossibleJobs(0.05).faultyJobs(0.03);
  return builder.build(16, 30);
}

/// Three accounts at 60% of the pod, and a fourth that sends ten times that.
Workload flood(std::uint64_t seed, ServiceClass cls) {
  WorkloadBuilder builder(fmt::format("tenfold {} flood", toString(cls)),
                          Lahore, seed);
  for (const std::string it : {"a", "b", "c"}) {
    builder.account(it, plan(2, {{{8}, 2}}, 20));
    builder.load(family(it, "base", {1, 2, 4, 8, 8}, 15), 0.2, 0, 8);
  }
  builder.account("flood", plan(2, {{{8}, 2}}, 20)).aggressor("flood");
  builder.load(family("flood", "flood", {1, 2, 4, 8}, 10, cls), 6, 2, 5);
  return builder.build(10, 16);
}

Workload cancelWaves(std::uint64_t seed) {
  WorkloadBuilder builder("cancel waves", Lahore, seed);
  for (const std::string it : {"a", "b"}) {
    builder.account(it, plan(1, {{{8}, 2}}, 10));
    builder.load(family(it, "base", {1, 2, 4, 8, 16}, 15), 0.3, 0, 8);
  }
  builder.account("waves", plan(1, {{{8}, 2}}, 10));
  builder.load(family("waves", "waves", {1, 2, 4, 8, 16}, 15), 1.0, 0, 8)
      .cancelWaves("waves", 0.8, 20);
  return builder.build(10, 20);
}

Workload failingServers(std::uint64_t seed) {
  WorkloadBuilder builder("servers that fail all they start", Lahore, seed);
  for (const std::string it : {"a", "b", "c"}) {
    builder.account(it, plan(1, {{{8}, 2}}, 10));
    builder.load(family(it, "base", {1, 2, 4, 8}, 12), 0.17, 0, 8);
  }
  builder.faultyJobs(0.03).faultyServers(2, 1, 4);
  return builder.build(10, 16);
}

Workload twoYearPod(std::uint64_t seed) {
  WorkloadBuilder builder("one pod at the two-year size", TwoYears, seed);
  constexpr int AccountCount = 47;
  for (int i = 0; i < AccountCount; ++i) {
    const std::string it = fmt::format("team-{:02}", i);
    builder.account(it, plan(1 + static_cast<std::uint32_t>(i % 4),
                             {{{16}, 1}, {{4}, 4}}, 10));
    builder.load(
        family(it, "train", {1, 1, 2, 2, 4, 4, 8, 8, 16, 16, 32, 64, 128}, 150),
        0.85 / AccountCount, 0, 24);
  }
  builder.faultyServers(10, 2, 20);
  return builder.build(36, 60);
}

} // namespace

std::vector<Workload> allWorkloads(std::uint64_t seed) {
  const std::uint64_t base = seed * SeedStep;
  return {duskRush(base + 1),
          mintDeadline(base + 2),
          wrongSizes(base + 3),
          flood(base + 4, ServiceClass::Background),
          flood(base + 4, ServiceClass::Urgent),
          cancelWaves(base + 6),
          failingServers(base + 7),
          twoYearPod(base + 8)};
}

} // namespace citrongap::bench
