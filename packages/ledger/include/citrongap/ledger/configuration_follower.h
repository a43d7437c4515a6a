// Keeps one node's configuration at the end of the log, publishes changes,
// and re-appends a snapshot before retention drops what a new node needs.
#ifndef CITRONGAP_LEDGER_CONFIGURATION_FOLLOWER_H
#define CITRONGAP_LEDGER_CONFIGURATION_FOLLOWER_H

#include "citrongap/ledger/configuration_log.h"
#include "citrongap/ledger/log_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace citrongap {

/// Whether the change was accepted could not be read by the deadline.
struct Unconfirmed {
  std::string Reason;
  /// False when nothing was ever sent, so that it can't land later.
  bool MayStillLand = true;
};

using PublishResult =
    std::variant<ConfigurationAccepted, ConfigurationRefused, Unconfirmed>;
using PublishCallback = std::function<void(const PublishResult &)>;

struct ConfigurationFollowerSettings {
  LogReaderSettings Reading;
  /// A snapshot older than it is replaced; a quarter of the log's retention.
  Millis SnapshotAge{3600 * 1000};
  /// A snapshot is replaced when it lies this many offsets back.
  std::uint64_t SnapshotDistance = 1000;
  /// Snapshots that become due are written within this time, by the node
  /// whose random delay ends first.
  Millis SnapshotJitter{10000};
  /// How long one append may take.
  Millis AppendTime{2000};
};

class ConfigurationFollower {
public:
  ConfigurationFollower(EventLoop &loop, LogPort &log, const Random &random,
                        ConfigurationFollowerSettings settings = {});

  void start();

  /// Emitted after every rise of the revision; never twice for one.
  sigc::signal<void(const Configuration &, Revision)> InForce;

  const Configuration &configuration() const { return State.configuration(); }
  Revision revision() const { return State.revision(); }
  const ConfigurationLog &log() const { return State; }
  bool logReachable() const { return Reader.reachable(); }

  /// The state for a peer, as text.
  std::string exportState() const;
  /// Takes a peer's state when it is newer; never lowers the revision.
  /// False when it is broken or not newer, or when a change of this node
  /// is about to be read from the log.
  bool importState(const std::string &state);

  /// Appends the change until it is read back or `deadline` passes. The
  /// answer is always read from the log.
  void publish(const ConfigurationChange &change, MonoTime deadline,
               PublishCallback callback);

private:
  struct Publication {
    std::string Body;
    Revision Base;
    MonoTime Deadline;
    PublishCallback Callback;
    bool Sent = false;
    Timer Expiry;
    Timer Retry;
  };

  void onPage(const LogPage &page);
  void announce(Revision before);
  void send(const std::string &id);
  void onAppended(const std::string &id, const PortResult<LogOffset> &result);
  void settle(const std::string &id, const PublishResult &result);
  void settleRead();
  void expire(const std::string &id);
  bool snapshotDue() const;
  void considerSnapshot();
  void writeSnapshot();

  EventLoop &Loop;
  LogPort &Port;
  Random Numbers;
  ConfigurationFollowerSettings Settings;
  ConfigurationLog State;
  LogReader Reader;
  /// By change id; never one that has been answered.
  std::map<std::string, Publication> Publications;
  /// What the last page said.
  LogOffset FirstRetained;
  LogOffset End;
  /// The newest snapshot known, and when it counts as old.
  LogOffset SnapshotNext;
  MonoTime SnapshotExpiry;
  Timer SnapshotTimer;
  std::shared_ptr<int> Alive = std::make_shared<int>();
};

} // namespace citrongap

#endif // CITRONGAP_LEDGER_CONFIGURATION_FOLLOWER_H
