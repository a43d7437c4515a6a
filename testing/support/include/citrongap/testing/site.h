// A deployment on loopback: stand-ins and entry VMs as processes, with the
// files that they read.
#ifndef CITRONGAP_TESTING_SITE_H
#define CITRONGAP_TESTING_SITE_H

#include "citrongap/net/endpoint.h"
#include "citrongap/testing/processes.h"

#include <string>
#include <vector>

namespace citrongap::testing {

struct SiteShape {
  std::vector<std::string> DataCentres;
  unsigned EntryVmsEach = 2;
  unsigned RacksEach = 2;
  unsigned ServersPerRack = 6;
  unsigned AcceleratorsPerServer = 8;
};

/// Addresses of one entry VM of the site.
struct SiteNode {
  std::string Name;
  std::string DataCentre;
  Endpoint Http;
  Endpoint Peer;
  std::string SettingsPath;
};

class Site {
public:
  /// `binDir` is the build directory; files go to `directory`, which exists.
  Site(SiteShape shape, std::string binDir, std::string directory);

  /// Starts the stand-ins and all entry VMs; false when one does not start.
  bool start();
  bool startNode(const std::string &name);

  const std::vector<SiteNode> &nodes() const { return Nodes; }
  const Endpoint &platform() const { return Platform; }
  std::string historyPath() const { return Directory + "/servers.history"; }
  std::string logPath(const std::string &name) const {
    return Directory + "/" + name + ".log";
  }
  Processes &processes() { return Running; }
  std::string program(const std::string &relative) const {
    return BinDir + "/" + relative;
  }

private:
  void writeVmList() const;
  void writeServerList() const;
  void writeSettings(const SiteNode &node) const;

  SiteShape Shape;
  std::string BinDir;
  std::string Directory;
  Endpoint Platform;
  std::vector<SiteNode> Nodes;
  Processes Running;
};

} // namespace citrongap::testing

#endif // CITRONGAP_TESTING_SITE_H
