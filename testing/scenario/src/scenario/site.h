// The site of a scenario: ids, loopback addresses of this run's own, and the
// files that the processes start from.
#ifndef CITRONGAP_SCENARIO_SRC_SITE_H
#define CITRONGAP_SCENARIO_SRC_SITE_H

#include "citrongap/net/endpoint.h"
#include "citrongap/policy/configuration.h"
#include "citrongap/scenario/scenario.h"

#include <nlohmann/json.hpp>

namespace citrongap::scenario {

/// Stands between two data centres, so that they can be cut.
struct RelayPath {
  DataCentreId From;
  DataCentreId To;
  Endpoint Listen;
  Endpoint Target;
};

class Site {
public:
  struct Node {
    EntryVmId Id;
    DataCentreId Centre;
    Endpoint Http;
    Endpoint Peer;
  };
  struct Server {
    BackendServerId Id;
    DataCentreId Centre;
    RackId Rack;
    Endpoint At;
  };

  /// With `relayed` data centres see each other only through relays.
  Site(const SiteShape &shape, bool relayed);

  const std::vector<Node> &nodes() const { return Nodes; }
  const std::vector<Server> &servers() const { return Servers; }
  const std::vector<RelayPath> &relays() const { return Relays; }
  const Endpoint &platform() const { return Platform; }
  /// Source addresses of callers.
  const std::vector<std::string> &callerIps() const { return CallerIps; }
  /// Null when there is none.
  const Node *node(const EntryVmId &id) const;
  const Server *server(const BackendServerId &id) const;

  nlohmann::json vmList() const;
  nlohmann::json serverList() const;
  std::string settings(const Node &node, const Scenario &scenario) const;
  Checked<Configuration> lists(const Scenario &scenario) const;

private:
  void addNode(const DataCentreId &centre, std::uint32_t number);
  void addServer(const DataCentreId &centre, std::uint32_t number);
  void addRelays();

  SiteShape Shape;
  std::vector<Node> Nodes;
  std::vector<Server> Servers;
  std::vector<RelayPath> Relays;
  Endpoint Platform;
  std::vector<std::string> CallerIps;
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_SITE_H
