// One entry VM: wires the parts together and follows the configuration, the
// members and the VM list.
#ifndef CITRONGAP_DAEMON_NODE_H
#define CITRONGAP_DAEMON_NODE_H

#include "citrongap/daemon/http_api.h"
#include "citrongap/daemon/ledger_claims.h"
#include "citrongap/daemon/metrics.h"
#include "citrongap/daemon/peer_directory.h"
#include "citrongap/daemon/settings.h"
#include "citrongap/daemon/take_over_wait.h"
#include "citrongap/ledger/configuration_follower.h"
#include "citrongap/peer/swim_membership.h"
#include "citrongap/peer/tcp_peer_link.h"
#include "citrongap/platform/http_ports.h"

#include <memory>
#include <string>

namespace citrongap {

class Node final : public NodeServices {
public:
  Node(EventLoop &loop, Settings settings);
  ~Node() override;

  /// False, after a log line, when an address can't be bound.
  bool start();
  /// Leaves by plan: hands over the pod, answers every open request, then stops
  /// the loop.
  void drain();

  const Configuration &configuration() const override;
  Revision revision() const override;
  PodId homeOf(const JobId &job) const override;
  bool fitsSomePod(Accelerators gang) const override;
  std::string statusJson() const override;
  std::string configurationJson() const override;
  std::string metricsText() const override;
  void publish(const std::string &body,
               std::function<void(HttpResponse)> callback) override;
  bool leaving() const override { return Leaving; }

private:
  void fetchVmList();
  void onVmList(const VmList &list);
  void onMemberChanged(const Member &member);
  void fetchConfigurationFrom(const Member &member);
  void checkOwnership();
  void onPeerRequest(const EntryVmId &from, const std::string &body,
                     const PeerResponder &respond);
  void takeHandOver(const HandOverPod &message);
  void handOverPod();
  void reportPod();
  void finishDrain();

  EventLoop &Loop;
  Settings Config;
  HttpClient Http;
  HttpLogPort LogService;
  HttpVmListPort VmService;
  HttpBackendPort Backends;
  TcpPeerLink Link;
  SwimMembership Members;
  ConfigurationFollower Follower;
  LedgerClaims Claims;
  /// Outlives what calls back into it.
  Metrics Counted;
  PeerDirectory Directory;
  PeerBroker Broker;
  PodOwner Owner;
  JobFront Front;
  HttpApi Api;
  HttpServer Server;
  bool Leaving = false;
  bool VmListKnown = false;
  MonoTime DrainUntil;
  TakeOverWait Wait;
  bool FetchInFlight = false;
  Timer VmTimer;
  Timer OwnershipTimer;
  Timer ReportTimer;
  Timer DrainTimer;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_NODE_H
