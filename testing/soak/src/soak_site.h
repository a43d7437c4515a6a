// The site under test: real entry VMs as processes on loopback; the store and
// the backend servers in this process, each behind a relay that can be cut,
// delayed and reset.
#ifndef CITRONGAP_SOAK_SITE_H
#define CITRONGAP_SOAK_SITE_H

#include "backend_standin.h"
#include "store_standin.h"

#include "citrongap/control/site_configuration.h"
#include "citrongap/testing/process.h"
#include "citrongap/testing/relay.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citrongap::soak {

struct SiteShape {
  unsigned EntryVms = 4;
  unsigned Servers = 12;
  unsigned ServersPerRack = 4;
  unsigned DataCentres = 1;
  /// Servers of two speeds, a quarter of them with a label, one account with a
  /// large guarantee and one without, jobs as in Callers::submitMixed().
  bool Mixed = false;
  /// Longest lease that backend servers grant.
  Millis MaxLease{6000};
  /// Longest work of a task.
  Millis LongestWork{6000};
  /// The program of an entry VM.
  std::string Program;
  /// Settings and logs go here; it exists.
  std::string Directory;
};

/// The shape of the site of docs/incidents/idle-jobs-beside-room.md.
SiteShape guildSite();
/// The label that a quarter of the servers has.
inline constexpr const char *RareLabel = "press";

/// One entry VM and what was last done to its process.
struct SoakVm {
  std::string Name;
  std::size_t DataCentre = 0;
  Endpoint Callers;
  Endpoint Readiness;
  Endpoint Peers;
  /// Of the relay on its way to the store.
  Endpoint StoreAt;
  std::string Settings;
  std::string Log;
  std::unique_ptr<wire::StoreStandin> Store;
  std::unique_ptr<testing::Relay> ToStore;
  std::unique_ptr<testing::Process> Child;
  /// A planned stop began, and nothing else befell the process since its start.
  std::optional<MonoTime> StoppedAt;
  /// When the end of its last process was noticed.
  std::optional<MonoTime> EndedAt;
  bool EndNoticed = false;
  /// It was killed or paused, or its way to the store failed, until then.
  MonoTime DisturbedUntil;
  bool Ready = false;
  /// Its process is to be there again at this time.
  std::optional<MonoTime> StartAt;
};

struct SoakServer {
  ServerEntry Entry;
  std::size_t DataCentre = 0;
  double Speed = 1;
  /// Where the stand-in listens; the entry names the relay.
  Endpoint At;
  std::unique_ptr<wire::BackendStandin> Standin;
  std::unique_ptr<testing::Relay> Relay;
  std::optional<MonoTime> DrainingSince;
  /// It is in the list again at this time, as a new life.
  std::optional<MonoTime> ReturnsAt;
};

class SoakSite {
public:
  SoakSite(EventLoop &loop, SiteShape shape,
           std::function<void(const wire::RunEvent &)> onRun);

  /// False when an address can't be bound.
  bool start();
  std::vector<SoakVm> &vms() { return Vms; }
  std::vector<SoakServer> &servers() { return Servers; }
  wire::BackendsModel &model() { return Model; }
  MemoryStore &store() { return Store; }
  const SiteShape &shape() const { return Shape; }

  // Entry VMs.
  void startVm(SoakVm &vm);
  void kill(SoakVm &vm, Millis away);
  void stop(SoakVm &vm, Millis away);
  void pause(SoakVm &vm, Millis span);
  /// Rewrites its settings, now with other entry VMs' addresses.
  void reload(SoakVm &vm);

  // Backend servers.
  void crash(SoakServer &server, Millis away);
  void drain(SoakServer &server);
  /// Adds a copy of the entry of the server under another key; `n` chooses the
  /// field that is missing.
  void putOddEntry(const SoakServer &server, unsigned n);

  // Operators.
  /// Publishes the next revision, with or without the queue "extra".
  void publish(bool withExtra);
  const SiteConfiguration &configuration() const { return Published; }

  /// Takes all faults away; processes that are gone start again.
  void heal();
  /// Notices ends of processes, and starts those that are due.
  void tend();

private:
  void put(const SoakServer &server);
  void writeSettings(const SoakVm &vm, const std::string &seeds) const;
  void addVm(unsigned n);
  void addServer(unsigned n);

  EventLoop &Loop;
  SiteShape Shape;
  MemoryStore Store;
  wire::BackendsModel Model;
  std::vector<SoakVm> Vms;
  std::vector<SoakServer> Servers;
  SiteConfiguration Published;
  std::vector<Timer> Pauses;
};

} // namespace citrongap::soak

#endif // CITRONGAP_SOAK_SITE_H
