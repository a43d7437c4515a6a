// Starts, stops and disturbs the parts of the site.
#include "soak_site.h"

#include "citrongap/testing/loopback.h"
#include "site_messages.h"
#include "wire_json.h"

#include <array>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <utility>

namespace citrongap::soak {

namespace {

constexpr std::uint16_t CallersPort = 8521;
constexpr std::uint16_t ReadinessPort = 8523;
constexpr std::uint16_t PeersPort = 8526;
constexpr std::uint16_t MetricsPort = 7001;
constexpr std::uint16_t StandinPort = 9000;
constexpr std::uint16_t RelayPort = 9500;
constexpr unsigned StoreHost = 1;
constexpr unsigned ServersHost = 2;
constexpr unsigned FirstVmHost = 10;
/// A server that leaves is there so long after it said so.
constexpr Millis LeavesAfter{3000};
/// Until a process has read the jobs and the list of servers, and its peers
/// have noticed its end.
constexpr Millis SettlesWithin{4000};
/// Clocks of backend servers may be 2% slow.
constexpr double SlowClock = 0.98;
/// A third of the servers of a mixed site are slower.
constexpr unsigned SlowShare = 3;
constexpr double SlowSpeed = 1 / 1.3;
constexpr unsigned RareShare = 4;
/// Of the queue that only a mixed site has.
constexpr unsigned LowestPriority = 2;

std::uint16_t port(std::uint16_t base, unsigned n) {
  return static_cast<std::uint16_t>(base + n);
}

std::string dataCentreName(std::size_t n) {
  return fmt::format("dc-{}", n + 1);
}

} // namespace

SiteShape guildSite() {
  SiteShape out;
  out.EntryVms = 7;
  out.Servers = 48;
  out.ServersPerRack = 8;
  out.DataCentres = 3;
  out.Mixed = true;
  out.MaxLease = Millis(3000);
  return out;
}

SoakSite::SoakSite(EventLoop &loop, SiteShape shape,
                   std::function<void(const wire::RunEvent &)> onRun)
    : Loop(loop), Shape(std::move(shape)), Store(loop),
      Model({.MaxLease = Shape.MaxLease}, std::move(onRun)) {
  for (const auto &[name, priority] : {std::pair("urgent", 0U),
                                       {"batch", 1U},
                                       {"preview", LowestPriority},
                                       {"extra", 1U}}) {
    if (priority == LowestPriority && !Shape.Mixed)
      continue;
    QueueRules queue;
    queue.Id = QueueId(name);
    queue.Host = "soak.example";
    queue.PathPrefix = fmt::format("/{}/", name);
    queue.Service = "render";
    queue.Priority = priority;
    queue.MaxAttempts = 3;
    Published.Queues.push_back(queue);
  }
  const ClientAccountId account("quetta");
  Published.Accounts[account] = {account, Shape.Mixed ? 128 : 16};
  Published.AccountByKey["key-quetta"] = account;
  if (Shape.Mixed) {
    const ClientAccountId other("multan");
    Published.Accounts[other] = {other, 0};
    Published.AccountByKey["key-multan"] = other;
  }
}

bool SoakSite::start() {
  publish(true);
  for (unsigned n = 0; n < Shape.Servers; ++n)
    addServer(n);
  for (unsigned n = 0; n < Shape.EntryVms; ++n)
    addVm(n);
  for (SoakServer &it : Servers)
    if (!it.Standin->listen(it.At) || !it.Relay->ok())
      return false;
  for (SoakVm &it : Vms) {
    if (!it.ToStore->ok())
      return false;
    startVm(it);
  }
  return true;
}

void SoakSite::addServer(unsigned n) {
  SoakServer &it = Servers.emplace_back();
  it.Entry.Incarnation = {BackendServerId(fmt::format("i-{}", n)),
                          toMillis(wallNow())};
  it.Entry.Machine = fmt::format("m-{}", n);
  it.Entry.Service = "render";
  it.Entry.Ip = testing::loopbackIp(ServersHost);
  it.Entry.Port = port(RelayPort, n);
  const unsigned rack = n / Shape.ServersPerRack;
  it.DataCentre = rack % Shape.DataCentres;
  it.Entry.DataCentre = DataCentreId(dataCentreName(it.DataCentre));
  it.Entry.Rack = RackId(fmt::format("r-{}", rack));
  it.Entry.Capacity = {128000, Shape.Mixed ? 262144 : 512000, 8};
  if (Shape.Mixed && n % SlowShare == 0)
    it.Speed = SlowSpeed;
  if (Shape.Mixed && n % RareShare == 0)
    it.Entry.Labels = {"a", it.Entry.Rack.str(), RareLabel};
  it.At = {it.Entry.Ip, port(StandinPort, n)};
  it.Standin = std::make_unique<wire::BackendStandin>(Loop, Model,
                                                      it.Entry.Incarnation.Id);
  it.Relay = std::make_unique<testing::Relay>(
      Loop, Endpoint{it.Entry.Ip, it.Entry.Port}, it.At);
  Model.add(it.Entry.Incarnation, n % 2 == 0 ? SlowClock : 1, monoNow(),
            it.Speed);
  put(it);
}

void SoakSite::addVm(unsigned n) {
  SoakVm &it = Vms.emplace_back();
  it.Name = fmt::format("vm-{}", n);
  it.DataCentre = n % Shape.DataCentres;
  const std::string ip = testing::loopbackIp(FirstVmHost + n);
  const std::string storeIp = testing::loopbackIp(StoreHost);
  it.Callers = {ip, CallersPort};
  it.Readiness = {ip, ReadinessPort};
  it.Settings = fmt::format("{}/{}.ini", Shape.Directory, it.Name);
  it.Log = fmt::format("{}/{}.log", Shape.Directory, it.Name);
  const Endpoint standin{storeIp, port(StandinPort, n)};
  const Endpoint relay{storeIp, port(RelayPort, n)};
  it.Store = std::make_unique<wire::StoreStandin>(
      Loop, Store,
      std::set<TopicId>{TopicId(wire::OperatorTopic),
                        TopicId(wire::ServersTopic)});
  // A port that is taken shows as a relay whose calls fail.
  (void)it.Store->listen(standin);
  it.ToStore = std::make_unique<testing::Relay>(Loop, relay, standin);
  it.Peers = {ip, PeersPort};
  it.StoreAt = relay;
  writeSettings(it, "");
}

void SoakSite::writeSettings(const SoakVm &vm, const std::string &seeds) const {
  std::ofstream(vm.Settings) << fmt::format(
      "[entry_vm]\nid = {}\ndata_centre = {}\nip = {}\n"
      "callers = {}\nreadiness = {}\npeers = {}\nseeds = {}\n"
      "metrics_port = {}\n[store]\naddress = {}\n"
      "shortest_membership_ms = 1000\n[bounds]\n"
      "longest_lease_ms = {}\n",
      vm.Name, dataCentreName(vm.DataCentre), vm.Peers.Ip, vm.Callers.str(),
      vm.Readiness.str(), vm.Peers.str(), seeds, MetricsPort, vm.StoreAt.str(),
      Shape.MaxLease.count());
}

void SoakSite::reload(SoakVm &vm) {
  std::string seeds;
  for (const SoakVm &it : Vms)
    seeds += (seeds.empty() ? "" : ",") + it.Peers.str();
  writeSettings(vm, seeds);
  vm.Child->signal(SIGHUP);
}

void SoakSite::startVm(SoakVm &vm) {
  // A process that has outstayed its grace time is killed first.
  vm.Child.reset();
  vm.Child = std::make_unique<testing::Process>(
      std::vector<std::string>{Shape.Program, "--settings", vm.Settings},
      vm.Log);
  vm.StoppedAt.reset();
  vm.EndNoticed = false;
  vm.StartAt.reset();
}

void SoakSite::kill(SoakVm &vm, Millis away) {
  vm.Child->signal(SIGKILL);
  vm.DisturbedUntil = monoNow() + away + SettlesWithin;
  vm.StartAt = monoNow() + away;
}

void SoakSite::stop(SoakVm &vm, Millis away) {
  if (!vm.StoppedAt && vm.Child->running())
    vm.StoppedAt = monoNow();
  vm.Child->signal(SIGTERM);
  // As the platform does after the grace time.
  constexpr Millis Grace{6000};
  vm.StartAt = monoNow() + Grace + away;
}

void SoakSite::pause(SoakVm &vm, Millis span) {
  vm.Child->signal(SIGSTOP);
  vm.DisturbedUntil = monoNow() + span + SettlesWithin;
  Pauses.push_back(
      Loop.at(monoNow() + span, [&vm] { vm.Child->signal(SIGCONT); }));
}

void SoakSite::put(const SoakServer &server) {
  Store.put(TopicId(wire::ServersTopic),
            {server.Entry.Incarnation.Id.str(),
             wire::encodeServerEntry(server.Entry)});
}

void SoakSite::crash(SoakServer &server, Millis away) {
  const MonoTime now = monoNow();
  Model.crash(server.Entry.Incarnation.Id, now);
  Store.put(TopicId(wire::ServersTopic),
            {server.Entry.Incarnation.Id.str(), std::nullopt});
  server.DrainingSince.reset();
  server.ReturnsAt = now + away;
}

void SoakSite::drain(SoakServer &server) {
  if (server.DrainingSince || server.ReturnsAt)
    return;
  server.DrainingSince = monoNow();
  server.Entry.Draining = true;
  server.Entry.DrainRemainingMs = LeavesAfter.count();
  put(server);
}

void SoakSite::putOddEntry(const SoakServer &server, unsigned n) {
  static constexpr std::array<const char *, 8> Fields{
      "machine",           "version", "slots",  "sequence",
      "cold_remaining_ms", "born",    "labels", "zone"};
  wire::Json entry = wire::Json::parse(wire::encodeServerEntry(server.Entry));
  entry.erase(Fields.at(n % Fields.size()));
  Store.put(TopicId(wire::ServersTopic),
            {fmt::format("odd-{}", n), entry.dump()});
}

void SoakSite::publish(bool withExtra) {
  Published.InForce = Published.InForce.next();
  SiteConfiguration shown = Published;
  if (!withExtra)
    shown.Queues.pop_back();
  Store.put(TopicId(wire::OperatorTopic),
            {wire::OperatorKey, wire::encodeConfiguration(shown)});
}

void SoakSite::heal() {
  for (SoakVm &it : Vms) {
    it.Store->faults() = {};
    it.ToStore->setCut(false);
    it.ToStore->setDelay(Millis(0));
    it.Child->signal(SIGCONT);
    if (it.StartAt && !it.Child->running())
      it.StartAt = std::min(*it.StartAt, monoNow() + Seconds(1));
  }
  for (SoakServer &it : Servers) {
    it.Relay->setCut(false);
    it.Relay->setDelay(Millis(0));
    it.Standin->setLate({});
  }
}

void SoakSite::tend() {
  const MonoTime now = monoNow();
  for (SoakVm &it : Vms) {
    const bool running = it.Child->running();
    if (!running && !it.EndNoticed) {
      it.EndNoticed = true;
      it.EndedAt = now;
    }
    const bool due = it.StartAt && now >= *it.StartAt;
    if (due || (!running && it.StoppedAt))
      startVm(it);
  }
  for (SoakServer &it : Servers) {
    if (it.DrainingSince && now >= *it.DrainingSince + LeavesAfter)
      crash(it, Millis(1000));
    if (!it.ReturnsAt || now < *it.ReturnsAt)
      continue;
    it.ReturnsAt.reset();
    it.Entry.Incarnation.StartedAtMs = toMillis(wallNow());
    it.Entry.Draining = false;
    it.Entry.DrainRemainingMs = 0;
    Model.add(it.Entry.Incarnation, 1, now, it.Speed);
    put(it);
  }
}

} // namespace citrongap::soak
