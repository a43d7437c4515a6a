// Memory and time of the readers of the log: configuration and claims.
#include "measure.h"

#include "citrongap/ledger/claim_ledger.h"
#include "citrongap/ledger/configuration_log.h"

#include <array>

namespace citrongap {

namespace {

constexpr std::size_t Changes = 200;
/// Entries set by one change while the lists are built.
constexpr std::size_t Batch = 100;
constexpr std::size_t ResultBytes = 200;
constexpr std::size_t Accounts = 710;
/// 15 data centres of 1,872 servers with 2 accelerators each.
constexpr std::size_t DataCentres = 15;
constexpr std::uint32_t Racks = 312;
constexpr std::uint32_t ServersPerRack = 6;
constexpr Accelerators PerServer{2};

EntryChange planChange(std::size_t i, std::size_t weight) {
  PlanEntry plan;
  plan.Plan = PlanId(fmt::format("plan-{:03}", i));
  plan.Guaranteed = {{Accelerators{16}, 1}, {Accelerators{8}, 3}};
  plan.Weight = static_cast<std::uint32_t>(weight);
  return {ConfigurationList::Plans, plan.Plan.str(), plan};
}

std::string changeText(Revision base, std::vector<EntryChange> changes) {
  return encodeChange({fmt::format("{:032x}", base.value()), base,
                       "operator@site.example", std::move(changes)});
}

/// Capacity for all guarantees, then a plan and its account for each.
std::vector<EntryChange> listsOf(std::size_t accounts) {
  std::vector<EntryChange> out;
  for (std::size_t i = 0; i < DataCentres; ++i) {
    const DataCentreId id(fmt::format("region-{}-dc-{}", i / 3, i % 3));
    out.push_back({ConfigurationList::DataCentres, id.str(),
                   DataCentreEntry{id, Racks, ServersPerRack, PerServer}});
  }
  for (std::size_t i = 0; i < accounts; ++i) {
    const PlanId plan(fmt::format("plan-{:03}", i));
    out.push_back(planChange(i, 1));
    out.push_back({ConfigurationList::Accounts, sampleAccount(i).str(),
                   AccountEntry{sampleAccount(i), plan}});
  }
  return out;
}

void addLists(ConfigurationLog &log, std::size_t accounts) {
  const std::vector<EntryChange> all = listsOf(accounts);
  std::vector<EntryChange> batch;
  for (const EntryChange &it : all) {
    batch.push_back(it);
    if (batch.size() < Batch && &it != &all.back())
      continue;
    log.apply({log.next(), changeText(log.revision(), batch)});
    batch.clear();
  }
}

double microsAChange(ConfigurationLog &log, std::size_t accounts) {
  double sum = 0;
  for (std::size_t i = 0; i < Changes; ++i) {
    const std::string text =
        changeText(log.revision(), {planChange(i % accounts, 2 + i)});
    const double start = cpuMicros();
    log.apply({log.next(), text});
    sum += cpuMicros() - start;
  }
  return sum / static_cast<double>(Changes);
}

/// Sums over the jobs, for each kind of record.
struct ClaimCost {
  std::array<double, 3> Bytes{};
  std::array<double, 3> Micros{};
};

std::array<JobRecord, 3> recordsOf(std::size_t i) {
  const WallTime at = wallFromMillis(1'700'000'000'000);
  const WallTime end = at + Millis(4 * 3600 * 1000);
  const JobId job = sampleJob(i, Accounts).Id;
  const ClaimId id(fmt::format("{:032x}", i));
  const PodId pod("region-1-dc-1");
  const PodHolding by{EntryVmId("region-1-dc-1-e7"), PodTerm(0)};
  const LogOffset order(i * 3 + 1);
  return {JobRecord{fmt::format("{:032x}", i + 1), at,
                    JobAccepted{job, end, std::string(PayloadBytes, 'x')}},
          JobRecord{id.str(), at, JobClaim{id, job, pod, by, at, end}},
          JobRecord{id.str(), at,
                    JobEnded{job, EndedClaim{id, pod, by.Term, order}, end,
                             Done{std::string(ResultBytes, 'x')}}}};
}

void applyJob(ClaimLedger &ledger, std::size_t i, ClaimCost &cost) {
  const auto records = recordsOf(i);
  for (std::size_t kind = 0; kind < records.size(); ++kind) {
    const std::string text = encodeJobRecord(records[kind]);
    cost.Bytes[kind] += static_cast<double>(text.size());
    const double start = cpuMicros();
    ledger.apply(ledger.next(), *decodeJobRecord(text));
    cost.Micros[kind] += cpuMicros() - start;
  }
}

} // namespace

void measureConfigurationLog() {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  std::vector<Point> snapshot;
  for (const std::size_t accounts : {100U, 300U, 710U}) {
    const auto size = static_cast<double>(accounts);
    const double before = usedBytes();
    ConfigurationLog log;
    addLists(log, accounts);
    bytes.push_back({size, usedBytes() - before});
    const Revision base = log.revision();
    if (log.configuration().Accounts.size() != accounts)
      giveUp("not all accounts were accepted");
    micros.push_back({size, microsAChange(log, accounts)});
    if (log.revision().value() - base.value() != Changes)
      giveUp("not all changes were accepted");
    snapshot.push_back(
        {size, static_cast<double>(encodeSnapshot(log.snapshot()).size())});
  }
  printRow("configuration, bytes held by accounts with a plan each", bytes,
           "B");
  printRow("configuration, us a change applied by accounts", micros, "us");
  printRow("configuration, bytes of a snapshot by accounts", snapshot, "B");
  printFigure("configuration, a change of one plan encoded",
              static_cast<double>(
                  changeText(Revision(60'000), {planChange(1, 1)}).size()),
              "B");
}

void measureClaimLedger() {
  constexpr std::array<const char *, 3> Kinds{"accepted", "claim", "ended"};
  std::vector<Point> bytes;
  std::array<std::vector<Point>, 3> micros;
  ClaimCost cost;
  for (const std::size_t jobs : {1000U, 5000U, 25000U}) {
    const auto size = static_cast<double>(jobs);
    const double before = usedBytes();
    ClaimLedger ledger;
    cost = {};
    for (std::size_t i = 0; i < jobs; ++i)
      applyJob(ledger, i, cost);
    bytes.push_back({size, usedBytes() - before});
    for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
      micros[kind].push_back({size, cost.Micros[kind] / size});
      cost.Bytes[kind] /= size;
    }
  }
  printRow("claims, bytes held by jobs that ended (200 B result)", bytes, "B");
  for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
    printRow(fmt::format("claims, us to decode and apply '{}' by jobs held",
                         Kinds[kind]),
             micros[kind], "us");
    printFigure(fmt::format("claims, '{}' encoded", Kinds[kind]),
                cost.Bytes[kind], "B");
  }
}

} // namespace citrongap
