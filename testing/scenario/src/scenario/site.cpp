// Addresses and files of a scenario's site.
#include "site.h"

#include "citrongap/testing/loopback.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace citrongap::scenario {

using nlohmann::json;

namespace {

constexpr std::uint16_t PlatformPort = 7000;
constexpr std::uint16_t ServerPort = 7010;
constexpr std::uint16_t HttpPort = 8080;
constexpr std::uint16_t PeerPort = 7100;
constexpr std::uint32_t SlotsPerServer = 8;

// Last numbers of the loopback addresses of one run.
constexpr unsigned PlatformHost = 1;
constexpr unsigned FirstCaller = 2;
constexpr unsigned Callers = 8;
constexpr unsigned FirstNode = 20;
constexpr unsigned FirstServer = 50;
constexpr unsigned FirstRelay = 160;

template <typename T>
std::string ip(unsigned first, const std::vector<T> &before) {
  return testing::loopbackIp(first + static_cast<unsigned>(before.size()));
}

} // namespace

Site::Site(const SiteShape &shape, bool relayed)
    : Shape(shape), Platform{testing::loopbackIp(PlatformHost), PlatformPort} {
  for (unsigned i = 0; i < Callers; ++i)
    CallerIps.push_back(testing::loopbackIp(FirstCaller + i));
  for (std::uint32_t i = 1; i <= shape.Centres; ++i) {
    const DataCentreId centre(fmt::format("{}-{}", shape.Name, i));
    for (std::uint32_t n = 1; n <= shape.Entries; ++n)
      addNode(centre, n);
    for (std::uint32_t n = 1; n <= shape.Servers; ++n)
      addServer(centre, n);
  }
  if (relayed)
    addRelays();
}

void Site::addNode(const DataCentreId &centre, std::uint32_t number) {
  const std::string at = ip(FirstNode, Nodes);
  Nodes.push_back({EntryVmId(fmt::format("{}-e{}", centre.str(), number)),
                   centre,
                   {at, HttpPort},
                   {at, PeerPort}});
}

void Site::addServer(const DataCentreId &centre, std::uint32_t number) {
  const std::uint32_t perRack = Shape.Servers / Shape.Racks;
  Servers.push_back(
      {BackendServerId(fmt::format("{}-b{}", centre.str(), number)),
       centre,
       RackId(fmt::format("{}-r{}", centre.str(), (number - 1) / perRack + 1)),
       {ip(FirstServer, Servers), ServerPort}});
}

void Site::addRelays() {
  std::set<DataCentreId> centres;
  for (const auto &it : Nodes)
    centres.insert(it.Centre);
  for (const auto &it : Nodes)
    for (const auto &viewer : centres)
      if (viewer != it.Centre)
        Relays.push_back(
            {viewer, it.Centre, {ip(FirstRelay, Relays), PeerPort}, it.Peer});
}

const Site::Node *Site::node(const EntryVmId &id) const {
  const auto it = std::find_if(Nodes.begin(), Nodes.end(),
                               [&](const Node &n) { return n.Id == id; });
  return it == Nodes.end() ? nullptr : &*it;
}

const Site::Server *Site::server(const BackendServerId &id) const {
  const auto it = std::find_if(Servers.begin(), Servers.end(),
                               [&](const Server &s) { return s.Id == id; });
  return it == Servers.end() ? nullptr : &*it;
}

json Site::vmList() const {
  json out = json::array();
  for (const auto &it : Nodes) {
    json vm{{"id", it.Id.str()},
            {"role", "entry"},
            {"data_centre", it.Centre.str()},
            {"ip", it.Peer.Ip},
            {"port", it.Peer.Port},
            {"state", "live"}};
    for (const auto &relay : Relays)
      if (relay.Target == it.Peer)
        vm["addresses"][relay.From.str()] = {{"ip", relay.Listen.Ip},
                                             {"port", relay.Listen.Port}};
    out.push_back(std::move(vm));
  }
  for (const auto &it : Servers)
    out.push_back({{"id", it.Id.str()},
                   {"role", "backend"},
                   {"data_centre", it.Centre.str()},
                   {"rack", it.Rack.str()},
                   {"ip", it.At.Ip},
                   {"port", it.At.Port},
                   {"accelerators", SlotsPerServer},
                   {"state", "live"}});
  return out;
}

json Site::serverList() const {
  json out = json::array();
  for (const auto &it : Servers)
    out.push_back({{"id", it.Id.str()},
                   {"ip", it.At.Ip},
                   {"port", it.At.Port},
                   {"slots", SlotsPerServer}});
  return out;
}

std::string Site::settings(const Node &node, const Scenario &scenario) const {
  std::string out = fmt::format(
      "[entry_vm]\nid = {}\ndata_centre = {}\nip = {}\nhttp_port = {}\n"
      "peer_port = {}\n[platform]\nip = {}\nport = {}\n",
      node.Id.str(), node.Centre.str(), node.Http.Ip, node.Http.Port,
      node.Peer.Port, Platform.Ip, Platform.Port);
  for (const auto &[section, keys] : scenario.Settings) {
    out += fmt::format("[{}]\n", section);
    for (const auto &[key, value] : keys)
      out += fmt::format("{} = {}\n", key, value);
  }
  return out;
}

Checked<Configuration> Site::lists(const Scenario &scenario) const {
  std::string plans;
  for (const char *it : Accounts)
    plans += fmt::format("[account {}]\nplan = standard\n", it);
  std::string entitlements = "[plan standard]\n";
  for (const auto &[key, value] : scenario.Plan)
    entitlements += fmt::format("{} = {}\n", key, value);
  for (std::uint32_t i = 1; i <= Shape.Centres; ++i)
    entitlements += fmt::format("[data_centre {}-{}]\nracks = {}\n"
                                "servers_per_rack = {}\n"
                                "accelerators_per_server = {}\n",
                                Shape.Name, i, Shape.Racks,
                                Shape.Servers / Shape.Racks, SlotsPerServer);
  Findings findings;
  auto first = IniDocument::fromText("plans", plans, findings);
  auto second = IniDocument::fromText("entitlements", entitlements, findings);
  if (!findings.empty())
    return findings;
  return parseConfiguration(std::move(first), std::move(second));
}

} // namespace citrongap::scenario
