// Measures the ledger at the two-year size: bytes a record, time to apply a
// day's records, memory of the state. Prints one figure a line.
#include "citrongap/ledger/claim_ledger.h"
#include "citrongap/ledger/configuration_log.h"

#include <chrono>
#include <fmt/format.h>
#include <malloc.h>

using namespace citrongap;

namespace {

constexpr int Accounts = 710;
constexpr int ChangesADay = 61'000;
/// Changes of guarantees that are timed.
constexpr int GuaranteeChanges = 100;
constexpr int JobsADay = 25'000;

std::size_t usedBytes() { return mallinfo2().uordblks; }

std::int64_t millisSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            start)
      .count();
}

EntryChange planChange(int i, std::uint32_t weight) {
  PlanEntry plan;
  plan.Plan = PlanId(fmt::format("plan-{:03}", i));
  plan.Guaranteed = {{Accelerators{16}, 1}, {Accelerators{8}, 3}};
  plan.Weight = weight;
  return {ConfigurationList::Plans, plan.Plan.str(), plan};
}

std::string change(std::uint64_t base, std::vector<EntryChange> changes) {
  return encodeChange({fmt::format("{:032x}", base), Revision(base),
                       "operator@site.example", std::move(changes)});
}

/// Each entry after those that it needs.
std::vector<EntryChange> wholeLists() {
  std::vector<EntryChange> out;
  for (int i = 0; i < 15; ++i) {
    const DataCentreId id(fmt::format("region-{}-dc-{}", i / 3, i % 3));
    out.push_back({ConfigurationList::DataCentres, id.str(),
                   DataCentreEntry{id, 312, 6, Accelerators{2}}});
  }
  for (int i = 0; i < Accounts; ++i) {
    out.push_back(planChange(i, 1));
    const ClientAccountId id(fmt::format("account-{:03}", i));
    out.push_back({ConfigurationList::Accounts, id.str(),
                   AccountEntry{id, PlanId(fmt::format("plan-{:03}", i))}});
  }
  return out;
}

void measureConfiguration() {
  const std::size_t before = usedBytes();
  ConfigurationLog log;
  std::uint64_t base = 0;
  for (const EntryChange &it : wholeLists()) {
    log.apply({log.next(), change(base, {it})});
    base = log.revision().value();
  }
  fmt::print("configuration of {} accounts: {} revisions, {} KB of memory\n",
             log.configuration().Accounts.size(), base,
             (usedBytes() - before) / 1024);
  std::size_t bytes = 0;
  std::vector<std::string> bodies;
  for (int i = 0; i < ChangesADay; ++i) {
    bodies.push_back(
        change(base + static_cast<std::uint64_t>(i),
               {planChange(i % Accounts, 2 + static_cast<std::uint32_t>(i))}));
    bytes += bodies.back().size();
  }
  const auto start = std::chrono::steady_clock::now();
  for (const auto &it : bodies)
    log.apply({log.next(), it});
  fmt::print("{} changes: {} accepted, {} bytes each, {} ms to apply\n",
             ChangesADay, log.revision().value() - base, bytes / ChangesADay,
             millisSince(start));
  const auto packing = std::chrono::steady_clock::now();
  for (int i = 0; i < GuaranteeChanges; ++i) {
    auto it = planChange(i, 1);
    std::get<PlanEntry>(*it.Value).Guaranteed[1].Count = 2;
    log.apply({log.next(), change(log.revision().value(), {it})});
  }
  fmt::print("{} changes of a guarantee: {} ms to apply\n", GuaranteeChanges,
             millisSince(packing));
  const auto encoding = std::chrono::steady_clock::now();
  const auto parts = encodeParts(log.snapshot(), "s");
  std::size_t size = 0;
  for (const auto &it : parts)
    size += it.size();
  fmt::print("snapshot: {} records, {} bytes, {} ms to encode\n", parts.size(),
             size, millisSince(encoding));
}

JobRecord accepted(int i, const JobId &job, WallTime at) {
  return {fmt::format("{:032x}", i), at,
          JobAccepted{job, at + Millis(3600'000), std::string(400, 'x')}};
}

void measureClaims() {
  const std::size_t before = usedBytes();
  const WallTime at = wallFromMillis(1'700'000'000'000);
  const PodHolding by{EntryVmId("region-1-dc-2-e7"), PodTerm(0)};
  ClaimLedger ledger;
  std::size_t bytes = 0;
  std::int64_t ms = 0;
  for (int i = 0; i < JobsADay; ++i) {
    const JobId job{ClientAccountId(fmt::format("account-{:03}", i % Accounts)),
                    RequestKey(fmt::format("{:032x}", i))};
    const ClaimId id(fmt::format("{:032x}", i));
    const PodId pod(fmt::format("region-1-dc-2-p{}", i % 15));
    const WallTime end = at + Millis(3600'000);
    const LogOffset order(static_cast<std::uint64_t>(i) * 3 + 1);
    for (const JobRecord &it :
         {accepted(i, job, at),
          JobRecord{id.str(), at, JobClaim{id, job, pod, by, at, end}},
          JobRecord{id.str(), at,
                    JobEnded{job, EndedClaim{id, pod, by.Term, order}, end,
                             Done{std::string(200, 'x')}}}}) {
      const std::string body = encodeJobRecord(it);
      bytes += body.size();
      const auto start = std::chrono::steady_clock::now();
      ledger.apply(ledger.next(), *decodeJobRecord(body));
      ms += std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now() - start)
                .count();
    }
  }
  fmt::print("{} jobs, accepted, claimed and ended: {} bytes of records each, "
             "{} ms to apply, {} bytes of memory each\n",
             ledger.jobs(), bytes / JobsADay, ms / 1000,
             (usedBytes() - before) / JobsADay);
}

} // namespace

int main() {
  measureConfiguration();
  measureClaims();
  return 0;
}
