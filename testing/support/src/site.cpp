// Files and processes of a deployment on loopback. Each data centre has its
// own third number in the addresses; the process id gives the second.
#include "citrongap/testing/site.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

namespace citrongap::testing {

namespace {

constexpr std::uint16_t PlatformPort = 9000;
constexpr std::uint16_t HttpPort = 8080;
constexpr std::uint16_t PeerPort = 7000;
constexpr std::uint16_t ServerPort = 6000;
constexpr unsigned FirstServerHost = 100;

unsigned processOctet() { return 2 + static_cast<unsigned>(getpid()) % 250; }

std::string ipOf(std::size_t dataCentre, unsigned host) {
  return fmt::format("127.{}.{}.{}", processOctet(), dataCentre + 1, host);
}

} // namespace

Site::Site(SiteShape shape, std::string binDir, std::string directory)
    : Shape(std::move(shape)), BinDir(std::move(binDir)),
      Directory(std::move(directory)), Platform{fmt::format("127.{}.250.1",
                                                            processOctet()),
                                                PlatformPort} {
  for (std::size_t i = 0; i < Shape.DataCentres.size(); ++i)
    for (unsigned n = 1; n <= Shape.EntryVmsEach; ++n) {
      const std::string name = fmt::format("{}-e{}", Shape.DataCentres[i], n);
      const std::string ip = ipOf(i, n);
      Nodes.push_back({name,
                       Shape.DataCentres[i],
                       {ip, HttpPort},
                       {ip, PeerPort},
                       fmt::format("{}/{}.ini", Directory, name)});
    }
}

void Site::writeVmList() const {
  nlohmann::json vms = nlohmann::json::array();
  for (const auto &it : Nodes)
    vms.push_back({{"id", it.Name},
                   {"role", "entry"},
                   {"data_centre", it.DataCentre},
                   {"ip", it.Peer.Ip},
                   {"port", it.Peer.Port},
                   {"state", "live"}});
  for (std::size_t i = 0; i < Shape.DataCentres.size(); ++i)
    for (unsigned n = 0; n < Shape.RacksEach * Shape.ServersPerRack; ++n)
      vms.push_back({{"id", fmt::format("{}-s{:02}", Shape.DataCentres[i], n)},
                     {"role", "backend"},
                     {"data_centre", Shape.DataCentres[i]},
                     {"rack", fmt::format("{}-r{}", Shape.DataCentres[i],
                                          n / Shape.ServersPerRack)},
                     {"ip", ipOf(i, FirstServerHost + n)},
                     {"port", ServerPort},
                     {"accelerators", Shape.AcceleratorsPerServer},
                     {"state", "live"}});
  std::ofstream(Directory + "/vms.json") << vms.dump(1);
}

void Site::writeServerList() const {
  nlohmann::json servers = nlohmann::json::array();
  for (std::size_t i = 0; i < Shape.DataCentres.size(); ++i)
    for (unsigned n = 0; n < Shape.RacksEach * Shape.ServersPerRack; ++n)
      servers.push_back(
          {{"id", fmt::format("{}-s{:02}", Shape.DataCentres[i], n)},
           {"ip", ipOf(i, FirstServerHost + n)},
           {"port", ServerPort},
           {"slots", Shape.AcceleratorsPerServer}});
  std::ofstream(Directory + "/servers.json") << servers.dump(1);
}

void Site::writeSettings(const SiteNode &node) const {
  std::ofstream(node.SettingsPath) << fmt::format(
      "[entry_vm]\nid = {}\ndata_centre = {}\nip = {}\nhttp_port = {}\n"
      "peer_port = {}\n\n[platform]\nip = {}\nport = {}\n",
      node.Name, node.DataCentre, node.Http.Ip, node.Http.Port, node.Peer.Port,
      Platform.Ip, Platform.Port);
}

bool Site::start() {
  writeVmList();
  writeServerList();
  bool ok = Running.start(
      "platform",
      {program("testing/standins/citrongap_platform_standin"), "--listen",
       Platform.str(), "--vms", Directory + "/vms.json"},
      logPath("platform"));
  ok = ok &&
       Running.start("servers",
                     {program("testing/standins/citrongap_backend_standin"),
                      "--servers", Directory + "/servers.json", "--history",
                      historyPath()},
                     logPath("servers"));
  for (const auto &it : Nodes) {
    writeSettings(it);
    ok = ok && startNode(it.Name);
  }
  return ok;
}

bool Site::startNode(const std::string &name) {
  return Running.start(name,
                       {program("packages/daemon/citrongapd"),
                        fmt::format("{}/{}.ini", Directory, name)},
                       logPath(name));
}

} // namespace citrongap::testing
