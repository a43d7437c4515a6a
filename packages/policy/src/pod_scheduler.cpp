// First whole version: class order, then arrival; a gang takes the free slots
// of as few adjacent servers of one rack as possible, else of adjacent racks.
#include "citrongap/policy/pod_scheduler.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <utility>

namespace citrongap {

namespace {

struct Server {
  ServerDescription About;
  std::set<std::uint32_t> FreeSlots;
};

struct Waiting {
  JobRequest Job;
  std::uint64_t Order = 0;
};

} // namespace

struct PodScheduler::State {
  PodId Pod;
  DataCentreId DataCentre;
  Configuration Lists;
  std::map<std::pair<RackId, BackendServerId>, Server> Servers;
  std::map<JobId, Waiting> Queue;
  std::map<JobId, std::pair<JobRequest, Placement>> Running;
  std::uint64_t NextOrder = 0;

  Server *find(const BackendServerId &id) {
    const auto it =
        std::find_if(Servers.begin(), Servers.end(),
                     [&](const auto &at) { return at.first.second == id; });
    return it == Servers.end() ? nullptr : &it->second;
  }

  void giveBack(const Placement &where) {
    for (const auto &part : where.Parts)
      if (Server *server = find(part.Server))
        server->FreeSlots.insert(part.Slots.begin(), part.Slots.end());
  }

  void take(const Placement &where) {
    for (const auto &part : where.Parts)
      if (Server *server = find(part.Server))
        for (const auto slot : part.Slots)
          server->FreeSlots.erase(slot);
  }

  /// The tightest run of adjacent servers that holds the gang.
  std::optional<Placement> place(Accelerators gang) const {
    std::vector<const Server *> order;
    for (const auto &[key, server] : Servers)
      if (server.About.State == ServerState::Live)
        order.push_back(&server);
    for (std::size_t width = 1; width <= order.size(); ++width)
      for (std::size_t begin = 0; begin + width <= order.size(); ++begin)
        if (auto found = fill(order, begin, width, gang))
          return found;
    return std::nullopt;
  }

  static std::optional<Placement> fill(const std::vector<const Server *> &order,
                                       std::size_t begin, std::size_t width,
                                       Accelerators gang) {
    Placement where;
    std::size_t left = gang.Count;
    for (std::size_t i = begin; i < begin + width; ++i) {
      PlacementPart part{order[i]->About.Server, {}};
      for (const auto slot : order[i]->FreeSlots)
        if (left > 0) {
          part.Slots.push_back(slot);
          --left;
        }
      if (!part.Slots.empty())
        where.Parts.push_back(std::move(part));
    }
    if (left > 0)
      return std::nullopt;
    return where;
  }
};

PodScheduler::PodScheduler(PodId pod, DataCentreId dataCentre)
    : Self(std::make_unique<State>()) {
  Self->Pod = std::move(pod);
  Self->DataCentre = std::move(dataCentre);
}
PodScheduler::~PodScheduler() = default;
PodScheduler::PodScheduler(PodScheduler &&) noexcept = default;
PodScheduler &PodScheduler::operator=(PodScheduler &&) noexcept = default;

void PodScheduler::configure(const Configuration &configuration, MonoTime) {
  Self->Lists = configuration;
}

void PodScheduler::setServer(const ServerDescription &server, MonoTime) {
  auto [it, added] = Self->Servers.try_emplace({server.Rack, server.Server});
  it->second.About = server;
  if (added)
    for (std::uint32_t i = 0; i < server.Total.Count; ++i)
      it->second.FreeSlots.insert(i);
}

void PodScheduler::removeServer(const BackendServerId &server, MonoTime) {
  std::erase_if(Self->Servers,
                [&](const auto &it) { return it.first.second == server; });
}

std::variant<std::monostate, NotRun>
PodScheduler::submit(const JobRequest &job, WallTime wall, MonoTime) {
  if (waiting(job.Id) || running(job.Id))
    return std::monostate{};
  if (job.Deadline <= wall)
    return NotRun{"its deadline has passed", 0};
  const PlanEntry *plan = Self->Lists.planOf(job.Id.Account);
  if (!plan)
    return NotRun{
        fmt::format("the account '{}' has no plan", job.Id.Account.str()), 0};
  if (job.Gang > plan->LargestGang)
    return NotRun{fmt::format("the plan allows gangs of at most {}",
                              plan->LargestGang.Count),
                  0};
  Self->Queue[job.Id] = {job, Self->NextOrder++};
  return std::monostate{};
}

std::vector<Decision> PodScheduler::decide(WallTime wall, MonoTime) {
  std::vector<Waiting> order;
  for (const auto &[id, it] : Self->Queue)
    order.push_back(it);
  std::sort(order.begin(), order.end(), [](const auto &lhs, const auto &rhs) {
    return std::pair(lhs.Job.Class, lhs.Order) <
           std::pair(rhs.Job.Class, rhs.Order);
  });
  std::vector<Decision> decisions;
  for (const auto &it : order) {
    if (it.Job.Deadline <= wall) {
      Self->Queue.erase(it.Job.Id);
      decisions.emplace_back(RefuseJob{
          it.Job.Id, NotRun{"its deadline passed while it waited", 0}});
      continue;
    }
    auto where = Self->place(it.Job.Gang);
    if (!where)
      continue;
    Self->Queue.erase(it.Job.Id);
    Self->take(*where);
    Self->Running[it.Job.Id] = {it.Job, *where};
    decisions.emplace_back(StartJob{it.Job, std::move(*where)});
  }
  return decisions;
}

void PodScheduler::adopt(const JobRequest &job, const Placement &where,
                         MonoTime) {
  Self->Queue.erase(job.Id);
  Self->take(where);
  Self->Running[job.Id] = {job, where};
}

void PodScheduler::jobEnded(const JobId &job, const RunReport &, MonoTime) {
  const auto it = Self->Running.find(job);
  if (it == Self->Running.end())
    return;
  Self->giveBack(it->second.second);
  Self->Running.erase(it);
}

void PodScheduler::jobRevoked(const JobId &job, MonoTime) {
  const auto it = Self->Running.find(job);
  if (it == Self->Running.end())
    return;
  Self->giveBack(it->second.second);
  Self->Queue[job] = {it->second.first, Self->NextOrder++};
  Self->Running.erase(it);
}

void PodScheduler::startFailed(const JobId &job,
                               const std::vector<BackendServerId> &,
                               MonoTime now) {
  jobRevoked(job, now);
}

bool PodScheduler::cancelQueued(const JobId &job) {
  return Self->Queue.erase(job) > 0;
}

bool PodScheduler::waiting(const JobId &job) const {
  return Self->Queue.contains(job);
}

bool PodScheduler::running(const JobId &job) const {
  return Self->Running.contains(job);
}

PodSummary PodScheduler::summary(MonoTime) const {
  PodSummary out;
  for (const auto &[key, server] : Self->Servers) {
    out.Total += server.About.Total;
    if (server.About.State == ServerState::Live)
      out.Free.Count += static_cast<std::uint32_t>(server.FreeSlots.size());
  }
  out.LargestFree = out.Free;
  out.QueuedJobs = static_cast<std::uint32_t>(Self->Queue.size());
  out.RunningJobs = static_cast<std::uint32_t>(Self->Running.size());
  return out;
}

std::map<ClientAccountId, std::uint32_t> PodScheduler::queueLengths() const {
  std::map<ClientAccountId, std::uint32_t> out;
  for (const auto &[id, it] : Self->Queue)
    ++out[id.Account];
  return out;
}

} // namespace citrongap
