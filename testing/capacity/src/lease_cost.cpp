// The owner's side of the leases, and the VM list: bytes as the kernel counts
// them, processor time of the client's thread with its system calls, memory.
#include "canned_server.h"
#include "measure.h"

#include "citrongap/daemon/job_json.h"
#include "citrongap/daemon/server_session.h"
#include "citrongap/platform/http_ports.h"

#include <memory>

namespace citrongap {

namespace {

constexpr int Renewals = 2000;
/// Answers are held for longer than the kernel holds an acknowledgement back,
/// as in a long poll: that is a packet more.
constexpr int HeldRenewals = 20;
constexpr Millis Hold{100};
constexpr int ListFetches = 5;
constexpr std::uint32_t TasksPerServer = 12;
constexpr std::size_t Accounts = 710;
constexpr Seconds Patience{20};

std::string attemptOf(std::size_t i, std::size_t servers) {
  AttemptRecord it;
  it.Job = sampleJob(i, Accounts);
  it.Attempt = fmt::format("{:032x}", i);
  std::vector<std::uint32_t> slots{0};
  if (servers > 1)
    for (std::uint32_t slot = 1; slot < TasksPerServer; ++slot)
      slots.push_back(slot);
  it.Job.Gang.Count = static_cast<std::uint32_t>(servers * slots.size());
  for (std::size_t s = 0; s < servers; ++s)
    it.Where.Parts.push_back(
        {BackendServerId(fmt::format("dc-server-{:05}", s)), slots});
  return encodeAttempt(it);
}

/// JSON text in quotes.
std::string quoted(const std::string &text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + '"';
}

std::string taskJson(std::uint32_t i) {
  const JobId job = sampleJob(i, Accounts).Id;
  return fmt::format(
      R"({{"task":"{:032x}-0","job":{{"account":"{}","key":"{}"}},"part":0,)"
      R"("parts":1,"slots":[{}],"request":{},"status":"running","ran":true,)"
      R"("ran_ms":1000,"result":"","version":7}})",
      i, job.Account.str(), job.Key.str(), i, quoted(attemptOf(i, 1)));
}

CannedAnswers leaseAnswers() {
  std::string tasks;
  for (std::uint32_t i = 0; i < TasksPerServer; ++i)
    tasks += (i == 0 ? "" : ",") + taskJson(i);
  return {R"({"token":7})",
          R"({"now_ms":1,"version":7,"tasks":[)" + tasks + "]}",
          R"({"now_ms":1,"version":7,"tasks":[]})",
          R"({"now_ms":1})",
          false,
          Millis(0)};
}

/// Calls `once(then)` so many times, one after the other.
void repeat(EventLoop &loop, int times,
            const std::function<void(std::function<void()>)> &once) {
  int left = times;
  std::function<void()> next = [&] {
    if (left-- == 0) {
      loop.stop();
      return;
    }
    once(next);
  };
  next();
  loop.runUntil(monoNow() + Patience);
  if (left >= 0)
    giveUp(fmt::format("fewer than {} calls were answered", times));
}

struct RenewalCost {
  Traffic Spent;
  double Micros = 0;
};

/// Of one renewal, in the mean of `times`.
RenewalCost renew(const CannedAnswers &answers, std::uint64_t since,
                  int times) {
  const CannedServer server(1, answers);
  EventLoop loop;
  HttpClient http(loop, "");
  HttpBackendPort port(http);
  const PodTerms terms;
  const SyncRequest request{FencingToken(7), terms.LeaseTerm, terms.TaskTerm,
                            since,           terms.SyncWait,  {},
                            std::nullopt};
  const auto once = [&](std::function<void()> then) {
    port.sync(server.endpoints()[0], request, monoNow() + Patience,
              [then = std::move(then)](const PortResult<SyncAnswer> &result) {
                if (std::holds_alternative<SyncAnswer>(result))
                  then();
              });
  };
  repeat(loop, 1, once);
  const Traffic before = trafficTo(server.endpoints());
  const double start = cpuMicros();
  repeat(loop, times, once);
  const double micros = cpuMicros() - start;
  const Traffic spent = trafficTo(server.endpoints()) - before;
  const auto n = static_cast<double>(times);
  return {{spent.Sent / n, spent.Received / n, spent.Packets / n}, micros / n};
}

void measureRenewals(const std::string &what, std::uint64_t since) {
  const RenewalCost it = renew(leaseAnswers(), since, Renewals);
  printFigure(what + ", request with HTTP head", it.Spent.Sent, "B");
  printFigure(what + ", answer with HTTP head", it.Spent.Received, "B");
  printFigure(what + ", both with TCP and IP heads", it.Spent.onWire(), "B");
  printFigure(what + ", processor time", it.Micros, "us");
}

void measureHeldRenewals() {
  CannedAnswers answers = leaseAnswers();
  answers.Delay = Hold;
  const RenewalCost it = renew(answers, 7, HeldRenewals);
  printFigure("renewal held as in a long poll, with TCP and IP heads",
              it.Spent.onWire(), "B");
  printFigure("renewal held as in a long poll, processor time", it.Micros,
              "us");
}

double bytesOfSessions(std::size_t servers) {
  CannedAnswers answers = leaseAnswers();
  answers.HoldSyncs = true;
  const CannedServer server(servers, answers);
  EventLoop loop;
  const double before = usedBytes();
  HttpClient http(loop, "");
  HttpBackendPort port(http);
  std::vector<std::unique_ptr<ServerSession>> sessions;
  std::size_t ready = 0;
  for (const Endpoint &at : server.endpoints()) {
    const BackendServer about{
        BackendServerId(fmt::format("dc-server-{:05}", sessions.size())),
        DataCentreId("dc"),
        RackId("dc-rack-0001"),
        at,
        Accelerators{TasksPerServer},
        false};
    sessions.push_back(std::make_unique<ServerSession>(
        loop, port, about, EntryVmId("dc-e1"), PodTerms{}, std::nullopt));
    sessions.back()->Ready.connect([&] {
      if (++ready == servers)
        loop.stop();
    });
  }
  loop.runUntil(monoNow() + Patience);
  if (ready != servers)
    giveUp(fmt::format("only {} of {} sessions are ready", ready, servers));
  // The next syncs go out, and are held.
  loop.runUntil(monoNow() + Millis(200));
  return usedBytes() - before;
}

std::string vmListOf(std::size_t servers) {
  std::string out = R"({"vms":[)";
  for (std::size_t i = 0; i < servers; ++i)
    out += fmt::format(
        R"({}{{"id":"region-1-dc-1-s{:05}","role":"backend",)"
        R"("data_centre":"region-1-dc-1","rack":"region-1-dc-1-r{:03}",)"
        R"("ip":"10.1.{}.{}","port":7000,"accelerators":8,"state":"live"}})",
        i == 0 ? "" : ",", i, i / 6, i / 250, i % 250);
  return out + "]}";
}

} // namespace

void measureLeases() {
  measureRenewals("renewal with no changed task", 7);
  measureHeldRenewals();
  measureRenewals("renewal with 12 running tasks told", 0);
  std::vector<Point> bytes;
  for (const std::size_t servers : {25U, 50U, 100U, 200U})
    bytes.push_back({static_cast<double>(servers), bytesOfSessions(servers)});
  printRow("sessions, bytes by servers, connection included", bytes, "B");
  printFigure("attempt record of one part",
              static_cast<double>(attemptOf(1, 1).size()), "B");
  constexpr std::size_t WideParts = 11;
  printFigure("attempt record of 11 parts of 12 slots, in each part",
              static_cast<double>(attemptOf(1, WideParts).size()), "B");
}

void measureVmList() {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const std::size_t servers : {500U, 1870U, 7000U, 28000U}) {
    CannedAnswers answers;
    answers.Document = vmListOf(servers);
    const CannedServer server(1, answers);
    EventLoop loop;
    HttpClient http(loop, "");
    HttpVmListPort port(http, server.endpoints()[0], DataCentreId("dc"));
    const auto size = static_cast<double>(servers);
    const double start = cpuMicros();
    repeat(loop, ListFetches, [&](std::function<void()> then) {
      port.fetch(monoNow() + Patience,
                 [then = std::move(then)](const PortResult<VmList> &result) {
                   if (std::holds_alternative<VmList>(result))
                     then();
                 });
    });
    micros.push_back({size, (cpuMicros() - start) / ListFetches});
    bytes.push_back({size, static_cast<double>(answers.Document.size())});
  }
  printRow("VM list, bytes by servers listed", bytes, "B");
  printRow("VM list, us a fetch by servers listed", micros, "us");
}

} // namespace citrongap
