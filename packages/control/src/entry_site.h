// A site of entry VMs with a shared store and fleet, for tests of the owner.
#ifndef CITRONGAP_CONTROL_ENTRY_SITE_H
#define CITRONGAP_CONTROL_ENTRY_SITE_H

#include "citrongap/control/entry_node.h"
#include "citrongap/store/memory_store.h"
#include "fake_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <sstream>

namespace citrongap::testing {

inline const TopicId Configuration("configuration");
inline const TopicId Servers("servers");
inline const std::string Key = "key-1";

inline Checked<SiteConfiguration> readConfiguration(const std::string &value) {
  SiteConfiguration out;
  out.InForce = Revision(std::stoul(value));
  QueueRules queue;
  queue.Id = QueueId("q");
  queue.Host = "host";
  queue.PathPrefix = "/q/";
  queue.Service = "render";
  queue.Priority = 1;
  queue.MaxAttempts = 2;
  out.Queues.push_back(queue);
  out.Accounts[ClientAccountId("quetta")] = {ClientAccountId("quetta"), 8};
  // Revision 3 adds a service.
  if (out.InForce >= Revision(3))
    out.Services.insert("proof");
  out.AccountByKey["key-2"] = ClientAccountId("multan");
  // Revision 2 revokes the key.
  if (out.InForce != Revision(2))
    out.AccountByKey[Key] = ClientAccountId("quetta");
  return out;
}

inline Checked<ServerEntry> readServer(const KeyedRecord &record) {
  // "STATE", "STATE START", "STATE START MACHINE" or with a service after
  // these.
  if (record.Value == "odd") {
    Findings findings;
    findings.add("/", "of another writer");
    return findings;
  }
  std::istringstream value(record.Value.value_or(""));
  std::string state;
  std::int64_t startedAt = 1;
  ServerEntry entry;
  std::string service = "render";
  value >> state >> startedAt >> entry.Machine >> service;
  entry.Incarnation = {BackendServerId(record.Key), startedAt};
  entry.Service = service;
  entry.Rack = RackId("r1");
  // "i-1" is in "dc-1".
  entry.DataCentre = DataCentreId("dc-" + record.Key.substr(2));
  entry.Capacity = {128000, 512000, 8};
  entry.Draining = state == "draining";
  return entry;
}

inline Checked<WorkSpec> readSubmission(const std::string &body) {
  Findings findings;
  if (body == "bad")
    findings.add("/", "bad");
  if (!findings.empty())
    return findings;
  WorkSpec spec;
  spec.Payload = body;
  StepSpec step;
  step.Requested = {1000, 1000, 8};
  if (body.starts_with("tasks="))
    step.Count =
        static_cast<std::uint32_t>(std::stoul(body.substr(body.find('=') + 1)));
  // So many occurrences, all due.
  if (body.starts_with("due="))
    spec.Repetitions = static_cast<std::uint32_t>(std::stoul(body.substr(4)));
  if (body.starts_with("label="))
    step.RequiredLabel = body.substr(body.find('=') + 1);
  spec.Steps.push_back(step);
  return spec;
}

/// Entry VMs "vm-1" and "vm-2"; "vm-1" owns the pod. Server "i-1" is listed.
struct EntrySite {
  EventLoop Loop;
  MemoryStore Store{Loop};
  FakeFleet Fleet{Loop};
  EventLog Log{"test", -1};

  struct Vm {
    Vm(EntrySite &site, const std::string &id)
        : View(site.Store),
          Node(site.Loop, View, site.Fleet, site.Log, settings(site, id),
               {readSubmission, readServer, readConfiguration},
               site.peerTransport()) {
      View.Faults.LargestLatestPage = site.LatestValuesLimit;
      Node.start();
    }
    static EntryNodeSettings settings(const EntrySite &site,
                                      const std::string &id) {
      EntryNodeSettings out;
      out.Self = EntryVmId(id);
      out.IncarnationId = "1";
      // "vm-1" is at port 1.
      out.PeerAddress = "10.0.0.1:" + id.substr(id.find('-') + 1);
      out.JobsLoadTimeout = Millis(40);
      out.LoadJobsAfter = Millis(20);
      out.Configuration = Configuration;
      out.ConfigurationKey = "config";
      out.Servers = Servers;
      out.EvacuationPrefix = "evacuate/";
      out.FollowerPollWait = Millis(30);
      out.FollowerAnswerTimeout = Millis(40);
      out.FollowerReadInterval = site.ReaderInterval;
      out.Front.MaxReadAge = Millis(200);
      out.Front.MaxConfigurationAge = Millis(400);
      out.Front.AnswerMargin = Millis(20);
      out.Election = {Millis(150), Millis(30), Millis(40), Millis(10),
                      false,       Millis(20), Millis(5)};
      out.Appender.AnswerTimeout = Millis(40);
      out.Appender.RetryDelay = Millis(10);
      out.Appender.MaxBatchBytes = site.MaxBatchBytes;
      out.Controller.Appender = out.Appender;
      out.Controller.TickInterval = Millis(10);
      out.Controller.ServerListInterval = Millis(20);
      out.Controller.EndedJobCleanupInterval = site.CleanupInterval;
      out.Controller.EarlyCancellationRetention =
          site.EarlyCancellationRetention;
      out.Controller.Planner.BeginRecordDelay = site.BeginRecordDelay;
      out.Controller.Planner.SpeedUpdateInterval = Millis(50);
      out.Controller.SpeedRecordInterval = Millis(20);
      out.Controller.OwnershipTimeout = Millis(150);
      out.Controller.WaitReviewInterval = Millis(10);
      out.Controller.LateOrderAge = Millis(200);
      out.Controller.ReportTimeout = site.ReportTimeout;
      out.Controller.MaxReadGap = site.MaxReadGap;
      out.Controller.MaxListAge = Millis(200);
      out.Controller.Link.AnswerTimeout = Millis(40);
      out.Controller.Link.RetryDelay = Millis(10);
      out.Controller.Link.MaxLease = site.MaxLease;
      out.Controller.Link.MaxOrderDelay = Millis(400);
      out.Controller.Link.LeaseEndMargin = Millis(20);
      out.Controller.Link.MaxClockAge = site.MaxClockAge;
      return out;
    }
    MemoryStoreView View;
    EntryNode Node;
  };

  std::map<std::string, std::unique_ptr<Vm>> Vms;
  /// Longest lease that the entry VMs request.
  Millis MaxLease;
  /// The owner records that a job has begun after this time.
  Millis BeginRecordDelay;
  /// For entry VMs that are added later.
  Millis MaxClockAge{10000};
  /// Silence after which a server's entry is removed, for entry VMs that are
  /// added later.
  Millis ReportTimeout{100};
  /// Longest gap between their reads of the server list that hides no outage.
  Millis MaxReadGap{100};
  /// Interval of reads of the jobs topic, for entry VMs that are added later.
  Millis ReaderInterval{5};
  /// Interval in which an owner removes ended jobs, for entry VMs that are
  /// added later.
  Millis CleanupInterval{10000};
  /// Time for which they keep cancellations without a submission.
  Millis EarlyCancellationRetention{10000};
  /// Largest batch of several appends, for entry VMs that are added later.
  std::size_t MaxBatchBytes = AppenderOptions().MaxBatchBytes;
  /// Entry VMs that are added later get no pages of more than this many bytes.
  std::size_t LatestValuesLimit = 1U << 20U;

  explicit EntrySite(Millis maxLease = Millis(300),
                     Millis beginRecordDelay = Millis(10))
      : MaxLease(maxLease), BeginRecordDelay(beginRecordDelay) {
    Store.put(Configuration, {"config", "1"});
    Store.put(Servers, {"i-1", "ready"});
    add("vm-1");
    runFor(Millis(30));
    add("vm-2");
    runFor(Millis(60));
  }
  /// Questions reach the addressed entry VM at once.
  PeerTransport peerTransport() {
    return [this](const Endpoint &peer, const std::string &bytes, CallDeadline,
                  const std::function<void(std::optional<std::string>)> &done) {
      const auto vm = Vms.find("vm-" + std::to_string(peer.Port));
      if (vm == Vms.end() || !vm->second)
        done(std::nullopt);
      else
        vm->second->Node.answerForPeer(bytes, done);
    };
  }
  void add(const std::string &id) { Vms[id] = std::make_unique<Vm>(*this, id); }
  void kill(const std::string &id) {
    Vms.erase(id);
    Store.lapse(id + "/1");
  }
  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }

  /// describe() of the answer, or of the job's phase; "none" without an answer.
  std::string call(const std::string &vm, CallerVerb verb, const WorkId &id,
                   const std::string &body = "x", const std::string &key = Key,
                   Millis limit = Millis(150)) {
    auto answer = std::make_shared<std::string>("none");
    CallerRequest request;
    request.Verb = verb;
    request.Host = "host:80";
    request.Path = "/q/" + id.str();
    request.ApiKey = key;
    request.Body = body;
    request.Deadline = monoNow() + limit;
    Vms.at(vm)->Node.handle(request, [answer](const CallerAnswer &it) {
      *answer = describe(it);
      if (const auto *state = std::get_if<AnswerState>(&it))
        *answer = describe(state->Phase);
    });
    const MonoTime end = request.Deadline + Millis(100);
    while (monoNow() < end && *answer == "none")
      runFor(Millis(10));
    return *answer;
  }
  /// The job runs on "i-1", which is draining; "i-2" is free.
  void startOnDrainingServer() {
    BOOST_TEST(submit("vm-1") == "accepted");
    runFor(Millis(60));
    Store.put(Servers, {"i-1", "draining"});
    Store.put(Servers, {"i-2", "ready"});
    runFor(Millis(60));
    BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  }
  std::string submit(const std::string &vm) {
    return call(vm, CallerVerb::Submit, Job);
  }
  std::string state(const std::string &vm) {
    return call(vm, CallerVerb::Query, Job);
  }

  WorkId Job{"5c0e7a21d94b36f8"};
};

/// The same, with servers that grant leases.
struct LeaseSite : EntrySite {
  explicit LeaseSite(Millis maxLease = Millis(300)) : EntrySite(maxLease) {
    Fleet.MaxLease = maxLease;
  }

  /// Runs the loop and returns the most runs that were in progress at once.
  std::size_t mostRunsWithin(Millis span) {
    std::size_t most = 0;
    for (const MonoTime end = monoNow() + span; monoNow() < end;) {
      runFor(Millis(2));
      Fleet.expireLeases();
      most = std::max(most, Fleet.running());
    }
    return most;
  }
  /// The job runs on "i-1", which is cut off; "i-2" is free.
  void cutOffServer() {
    BOOST_TEST(submit("vm-2") == "accepted");
    runFor(Millis(60));
    BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
    Store.put(Servers, {"i-2", "ready"});
    Fleet.at("i-1").Unreachable = true;
  }
  /// The same, and somewhat later the owner is lost. Returns after the next one
  /// has taken over.
  void loseServerAndOwner() {
    cutOffServer();
    runFor(Millis(250));
    Store.put(Servers, {"i-1", std::nullopt});
    kill("vm-1");
    runFor(Millis(100));
    BOOST_REQUIRE(Fleet.started() == 1U);
  }
  /// A start of the job was sent to "i-1", which delays it; "i-2" is free.
  void sendDelayedStart() {
    Fleet.at("i-1").DelayStarts = true;
    BOOST_TEST(submit("vm-1") == "accepted");
    for (int n = 0; n < 50 && Fleet.at("i-1").DelayedStarts.empty(); ++n)
      runFor(Millis(2));
    BOOST_REQUIRE(!Fleet.at("i-1").DelayedStarts.empty());
    Store.put(Servers, {"i-2", "ready"});
  }
};

} // namespace citrongap::testing

#endif // CITRONGAP_CONTROL_ENTRY_SITE_H
