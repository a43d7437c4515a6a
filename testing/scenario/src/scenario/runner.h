// Runs a scenario: starts the processes, waits until they serve, drives load
// and faults, ends everything and judges the history.
#ifndef CITRONGAP_SCENARIO_SRC_RUNNER_H
#define CITRONGAP_SCENARIO_SRC_RUNNER_H

#include "caller.h"
#include "citrongap/ledger/configuration_change.h"
#include "citrongap/net/http_client.h"
#include "citrongap/testing/process.h"
#include "citrongap/testing/relay.h"
#include "site.h"

#include <functional>

namespace citrongap::scenario {

struct RunOptions {
  std::uint64_t Seed = 1;
  /// The build tree with the programs.
  std::string Build = "build";
  /// The daemon's program.
  std::string Daemon = "build/packages/daemon/citrongapd";
  /// Settings, logs and history of the run.
  std::string Directory;
};

class Runner {
public:
  Runner(EventLoop &loop, Scenario scenario, RunOptions options);
  ~Runner();

  /// Empty when the scenario held; else what went wrong.
  std::vector<std::string> run();

private:
  struct NodeRun;

  bool startSite();
  /// Entry VMs that start before the platform answers lose their first calls.
  bool awaitStandins();
  bool startNode(NodeRun &node);
  std::string path(const std::string &file) const;
  bool publishFirst();
  /// Each data centre has one owner, with all its servers, and all lists.
  bool allServe() const;
  bool serveSteadily();
  bool await(Millis patience, const std::function<bool()> &done);
  HttpResult callNow(const Endpoint &to, const HttpRequest &request);

  void schedule();
  void begin(const TimedAction &action);
  void perform(const KillNode &it);
  void perform(const StartNode &it);
  void perform(const DrainNode &it);
  void perform(const FreezeNode &it);
  void perform(const CutPlatform &it);
  void perform(const CutCentres &it);
  void perform(const CutServers &it);
  void perform(const PlatformFault &it);
  void perform(const ServerFault &it);
  void perform(const LeaveServer &it);
  void perform(const Submit &it);
  void perform(const Flood &it);
  void perform(const Publish &it);

  void publishOne(const Site::Node &node, Revision base, std::uint32_t weight,
                  const std::shared_ptr<int> &accepted);
  void mustConverge(Revision revision);
  /// The balancer follows the list of VMs, as late as the list is.
  void offerLater(const EntryVmId &node, bool offered);
  void post(const Endpoint &to, const std::string &body);
  void sendVmList();
  void sendCuts();
  void later(Millis after, std::function<void()> action);
  NodeRun *nodeRun(const EntryVmId &id);
  void impair(const EntryVmId &id);
  void impairAll();
  void poll();
  void onStatus(NodeRun &node, const HttpResult &result);
  void watchProcesses();
  void judge();
  void judgeExpectations(const history::Counts &counts);
  void judgeStarts(const history::History &history);
  void fail(std::string what);

  EventLoop &Loop;
  Scenario Story;
  RunOptions Options;
  Random Draw;
  Site Where;
  HttpClient Http;
  standins::HistoryFile History;
  Configuration Lists;
  std::vector<std::unique_ptr<NodeRun>> Nodes;
  std::unique_ptr<testing::Process> Platform;
  std::unique_ptr<testing::Process> Backends;
  std::vector<std::unique_ptr<testing::Relay>> Relays;
  std::unique_ptr<Caller> Callers;
  /// The true list of VMs.
  nlohmann::json Vms;
  /// Source addresses cut off from the platform, with a count each.
  std::map<std::string, int> CutFromPlatform;
  std::vector<Timer> Timers;
  /// Actions that are still to begin.
  std::size_t Pending = 0;
  std::vector<std::string> Faults;
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_RUNNER_H
