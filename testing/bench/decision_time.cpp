// Time of one decision of a pod (an event and the pass that follows it) against
// the number of servers, in a pod that is full and has jobs of every account
// waiting. Prints one line for each size and the slopes between sizes.
#include "citrongap/base/random.h"
#include "citrongap/policy/guarantee_packing.h"
#include "citrongap/policy/pod_scheduler.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <string>
#include <vector>

using namespace citrongap;

namespace {

constexpr std::uint32_t ServersPerRack = 6;
constexpr std::uint32_t PerServer = 8;
constexpr std::uint32_t ServersPerAccount = 12;
constexpr std::uint32_t Events = 20000;
constexpr std::uint32_t WaitingPerAccount = 4;
constexpr std::uint32_t FailureEvery = 1000;
constexpr std::array<std::uint32_t, 12> Gangs{1, 1, 1,  2,  2,  4,
                                              4, 8, 16, 16, 64, 128};

/// Microseconds of each decision.
struct Sample {
  double Median = 0;
  double P99 = 0;
  double Max = 0;
};

class LoadedPod {
public:
  explicit LoadedPod(std::uint32_t servers)
      : Servers(servers), Draw(servers),
        AccountCount(std::max(4U, servers / ServersPerAccount)) {
    Configuration lists;
    lists.DataCentres[DataCentreId("dc")] = {DataCentreId("dc"),
                                             (servers + ServersPerRack - 1) /
                                                 ServersPerRack,
                                             ServersPerRack,
                                             {PerServer}};
    PlanEntry plan;
    plan.Plan = PlanId("plan");
    // Half of the capacity is guaranteed, or what four accounts can have.
    plan.Guaranteed = {{{PerServer}, std::max(1U, servers / AccountCount / 2)}};
    lists.Plans[plan.Plan] = plan;
    for (std::uint32_t i = 0; i < AccountCount; ++i)
      lists.Accounts[account(i)] = {account(i), plan.Plan};
    Pod.configure(lists, Now);
    for (std::uint32_t i = 0; i < servers; ++i)
      setServer(i, ServerState::Live);
    while (Pod.summary(Now).QueuedJobs < WaitingPerAccount * AccountCount) {
      submit();
      decide();
    }
  }

  Sample measure() {
    std::vector<double> micros;
    for (std::uint32_t i = 0; i < Events; ++i) {
      Now += Millis(100);
      Wall += Millis(100);
      const bool fail = i % FailureEvery == FailureEvery - 1;
      const auto begin = std::chrono::steady_clock::now();
      event(fail);
      auto decisions = Pod.decide(Wall, Now);
      const auto end = std::chrono::steady_clock::now();
      micros.push_back(
          std::chrono::duration<double, std::micro>(end - begin).count());
      apply(decisions);
    }
    std::sort(micros.begin(), micros.end());
    return {micros[micros.size() / 2], micros[micros.size() * 99 / 100],
            micros.back()};
  }

private:
  static ClientAccountId account(std::uint32_t i) {
    return ClientAccountId("account-" + std::to_string(i));
  }

  void setServer(std::uint32_t i, ServerState state) {
    Pod.setServer({BackendServerId(fmt::format("server-{:05}", i)),
                   RackId(fmt::format("rack-{:05}", i / ServersPerRack)),
                   {PerServer},
                   state},
                  Now);
  }

  void submit() {
    JobRequest job;
    const auto who = Draw.between(0, AccountCount - 1);
    job.Id = {account(static_cast<std::uint32_t>(who)),
              RequestKey(std::to_string(NextKey++))};
    job.Gang.Count =
        std::min(Gangs[Draw.between(0, Gangs.size() - 1)], Servers * 2);
    job.Repeatable = Draw.between(0, 9) > 0;
    job.DeclaredRunMs = 3600000;
    job.Deadline = Wall + Seconds(1000000);
    Pod.submit(job, Wall, Now);
  }

  /// One thing that happens to the pod.
  void event(bool fail) {
    if (!Revoked.empty()) {
      Pod.jobRevoked(Revoked.back(), Now);
      Revoked.pop_back();
    } else if (fail) {
      Failed = static_cast<std::uint32_t>(Draw.between(0, Servers - 1));
      setServer(Failed, ServerState::Lost);
    } else if (Draw.between(0, 1) == 0 || Running.empty()) {
      submit();
    } else {
      std::swap(Running[Draw.between(0, Running.size() - 1)], Running.back());
      Pod.jobEnded(Running.back(), {true, 1000000, {}}, Now);
      Running.pop_back();
    }
  }

  void apply(const std::vector<Decision> &decisions) {
    note(decisions);
    if (Failed < Servers) {
      setServer(Failed, ServerState::Live);
      Failed = Servers;
    }
    // Keeps the queue at its length.
    while (Pod.summary(Now).QueuedJobs > WaitingPerAccount * AccountCount &&
           !Running.empty()) {
      Pod.jobEnded(Running.back(), {true, 1000000, {}}, Now);
      Running.pop_back();
      decide();
    }
  }

  void decide() { note(Pod.decide(Wall, Now)); }

  void note(const std::vector<Decision> &decisions) {
    for (const Decision &it : decisions) {
      if (const auto *start = std::get_if<StartJob>(&it))
        Running.push_back(start->Job.Id);
      if (const auto *revoke = std::get_if<RevokeJob>(&it)) {
        std::erase(Running, revoke->Job);
        Revoked.push_back(revoke->Job);
      }
    }
  }

  std::uint32_t Servers;
  Random Draw;
  std::uint32_t AccountCount;
  PodScheduler Pod{PodId("pod"), DataCentreId("dc")};
  MonoTime Now = monoFromMillis(0);
  WallTime Wall = wallFromMillis(0);
  std::uint64_t NextKey = 0;
  std::vector<JobId> Running;
  std::vector<JobId> Revoked;
  /// The server that failed in the last event; `Servers` when none did.
  std::uint32_t Failed = Servers;
};

/// Milliseconds to check that the guarantees of 710 accounts pack on 15 data
/// centres with 51,120 accelerators: the price of accepting a configuration.
double packingMillis() {
  Configuration lists;
  for (std::uint32_t i = 0; i < 15; ++i) {
    const DataCentreId id("dc-" + std::to_string(i));
    lists.DataCentres[id] = {id, 71, ServersPerRack, {PerServer}};
  }
  PlanEntry plan;
  plan.Plan = PlanId("plan");
  plan.Guaranteed = {{{8}, 4}, {{4}, 4}, {{1}, 8}};
  lists.Plans[plan.Plan] = plan;
  for (std::uint32_t i = 0; i < 710; ++i) {
    const ClientAccountId id("account-" + std::to_string(i));
    lists.Accounts[id] = {id, plan.Plan};
  }
  const auto begin = std::chrono::steady_clock::now();
  const bool packs = packGuarantees(lists).PackingFindings.empty();
  const auto end = std::chrono::steady_clock::now();
  if (!packs)
    fmt::print("the guarantees do not pack\n");
  return std::chrono::duration<double, std::milli>(end - begin).count();
}

} // namespace

int main() {
  constexpr std::array<std::uint32_t, 5> Sizes{6, 12, 48, 128, 1900};
  std::vector<Sample> samples;
  fmt::print("servers  p50 us  p99 us  max us\n");
  for (const std::uint32_t size : Sizes) {
    samples.push_back(LoadedPod(size).measure());
    const Sample &it = samples.back();
    fmt::print("{:7}  {:6.2f}  {:6.2f}  {:6.1f}\n", size, it.Median, it.P99,
               it.Max);
  }
  const auto slope = [&](double Sample::*figure, std::size_t from) {
    return std::log(samples.back().*figure / samples[from].*figure) /
           std::log(static_cast<double>(Sizes.back()) / Sizes[from]);
  };
  fmt::print("growth exponent from 48 to 1900 servers: p50 {:.2f}, p99 {:.2f} "
             "(1 is linear)\n",
             slope(&Sample::Median, 2), slope(&Sample::P99, 2));
  fmt::print("packing 710 accounts on 15 data centres: {:.1f} ms\n",
             packingMillis());
  return 0;
}
