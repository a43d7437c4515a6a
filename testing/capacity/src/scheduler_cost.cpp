// Memory and time of the scheduler of one pod, without I/O.
#include "measure.h"

#include "citrongap/policy/pod_scheduler.h"

namespace citrongap {

namespace {

constexpr std::uint32_t SlotsPerServer = 12;
constexpr std::uint32_t ServersPerRack = 6;
constexpr std::size_t Accounts = 100;
constexpr std::uint32_t NoQueueLimit = 1'000'000;
constexpr int Events = 1000;
const WallTime Wall = wallFromMillis(1'700'000'000'000);
const MonoTime Now = monoFromMillis(0);

Configuration listsOf(std::size_t accounts, std::size_t servers) {
  Configuration lists;
  PlanEntry plan;
  plan.Plan = PlanId("plan");
  plan.MaxQueued = NoQueueLimit;
  lists.Plans[plan.Plan] = plan;
  for (std::size_t i = 0; i < accounts; ++i)
    lists.Accounts[sampleAccount(i)] = {sampleAccount(i), plan.Plan};
  const auto racks = static_cast<std::uint32_t>(servers / ServersPerRack + 1);
  lists.DataCentres[DataCentreId("dc")] = {
      DataCentreId("dc"), racks, ServersPerRack, {SlotsPerServer}};
  return lists;
}

void addServers(PodScheduler &pod, std::size_t servers) {
  for (std::size_t i = 0; i < servers; ++i)
    pod.setServer({BackendServerId(fmt::format("dc-server-{:05}", i)),
                   RackId(fmt::format("dc-rack-{:04}", i / ServersPerRack)),
                   {SlotsPerServer},
                   ServerState::Live},
                  Now);
}

PodScheduler podOf(std::size_t accounts, std::size_t servers) {
  PodScheduler pod(PodId("dc"), DataCentreId("dc"));
  pod.configure(listsOf(accounts, servers), Now);
  addServers(pod, servers);
  return pod;
}

void submitJobs(PodScheduler &pod, std::size_t jobs) {
  for (std::size_t i = 0; i < jobs; ++i)
    pod.submit(sampleJob(i, Accounts), Wall, Now);
}

void measureServers() {
  // What is allocated once by the first pod of a process is no slope.
  podOf(Accounts, 250);
  std::vector<Point> bytes;
  for (const std::size_t servers : {250U, 500U, 1000U, 1870U}) {
    const double before = usedBytes();
    const PodScheduler pod = podOf(Accounts, servers);
    bytes.push_back({static_cast<double>(servers), usedBytes() - before});
  }
  printRow("scheduler, bytes by backend servers of 12 slots", bytes, "B");
}

void measureAccounts() {
  std::vector<Point> bytes;
  for (const std::size_t accounts : {100U, 300U, 710U}) {
    const double before = usedBytes();
    const PodScheduler pod = podOf(accounts, 1);
    bytes.push_back({static_cast<double>(accounts), usedBytes() - before});
  }
  printRow("scheduler, bytes by accounts that have no job", bytes, "B");
}

void measureQueue() {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const std::size_t jobs : {1000U, 4000U, 16000U}) {
    PodScheduler pod = podOf(Accounts, 1);
    const double before = usedBytes();
    const double start = cpuMicros();
    submitJobs(pod, jobs);
    const auto size = static_cast<double>(jobs);
    micros.push_back({size, (cpuMicros() - start) / size});
    bytes.push_back({size, usedBytes() - before});
  }
  printRow("scheduler, bytes by queued jobs of 400 B payload", bytes, "B");
  printRow("scheduler, us a submission by queued jobs", micros, "us");
}

/// An end, a submission and the pass that starts it, in a pod that is full.
double microsAnEvent(PodScheduler &pod, std::size_t running) {
  double sum = 0;
  for (int i = 0; i < Events; ++i) {
    const JobRequest next =
        sampleJob(running + static_cast<std::size_t>(i), Accounts);
    const JobId ended = sampleJob(static_cast<std::size_t>(i), Accounts).Id;
    const double start = cpuMicros();
    pod.jobEnded(ended, {true, 1000, {}}, Now);
    pod.submit(next, Wall, Now);
    pod.decide(Wall, Now);
    sum += cpuMicros() - start;
  }
  return sum / Events;
}

void measureRunning() {
  std::vector<Point> bytes;
  std::vector<Point> fill;
  std::vector<Point> micros;
  for (const std::size_t servers : {250U, 500U, 1000U, 1870U}) {
    PodScheduler pod = podOf(Accounts, servers);
    const std::size_t jobs = servers * SlotsPerServer;
    const auto size = static_cast<double>(jobs);
    const double before = usedBytes();
    submitJobs(pod, jobs);
    const double start = cpuMicros();
    const std::size_t decisions = pod.decide(Wall, Now).size();
    if (decisions != jobs)
      giveUp(fmt::format("{} of {} jobs started", decisions, jobs));
    fill.push_back(
        {size, (cpuMicros() - start) / static_cast<double>(decisions)});
    bytes.push_back({size, usedBytes() - before});
    micros.push_back({size, microsAnEvent(pod, jobs)});
  }
  printRow("scheduler, bytes by running jobs of one slot", bytes, "B");
  printRow("scheduler, us a start by running jobs, pod filled at once", fill,
           "us");
  printRow("scheduler, us an end, submission and start by running jobs", micros,
           "us");
}

} // namespace

void measureScheduler() {
  measureServers();
  measureAccounts();
  measureQueue();
  measureRunning();
}

} // namespace citrongap
