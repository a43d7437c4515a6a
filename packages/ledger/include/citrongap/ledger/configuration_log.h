// The configuration in force as a pure function of a prefix of the stream
// "configuration". It reads nothing else: no clock, no VM list, no server.
#ifndef CITRONGAP_LEDGER_CONFIGURATION_LOG_H
#define CITRONGAP_LEDGER_CONFIGURATION_LOG_H

#include "citrongap/ledger/configuration_change.h"
#include "citrongap/platform/log_port.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

struct ConfigurationAccepted {
  Revision At;
};

struct ConfigurationRefused {
  std::string Id;
  Findings Found;
};

/// Broken, unknown, already read, or part of a snapshot that is not needed.
struct RecordIgnored {
  std::string Reason;
};

/// Read, but records in front of it are gone; waits for a snapshot.
struct RecordHeld {};

using ApplyResult = std::variant<ConfigurationAccepted, ConfigurationRefused,
                                 RecordIgnored, RecordHeld>;
using ChangeVerdict = std::variant<ConfigurationAccepted, ConfigurationRefused>;

/// A whole snapshot that was read from the log.
struct SnapshotPosition {
  /// The offset of its first part.
  LogOffset First;
  /// The first offset that it does not cover.
  LogOffset Next;
};

class ConfigurationLog {
public:
  /// Takes the record at next(). An earlier one is ignored; a later one
  /// means that those between are gone.
  ApplyResult apply(const LogRecord &record);
  /// Told with every page: records in front of `first` are gone.
  void retainFrom(LogOffset first);
  /// Takes a state that another node derived from the log. False, and no
  /// effect, when it is not newer. Never lowers the revision.
  bool adopt(const ConfigurationSnapshot &snapshot);

  const Configuration &configuration() const { return State.Lists; }
  Revision revision() const { return State.At; }
  /// What the records in front of `Next` give.
  const ConfigurationSnapshot &snapshot() const { return State; }
  /// The next offset to read.
  LogOffset next() const { return Tail; }
  /// True while records that the state lacks are gone and no snapshot has
  /// replaced them; the state is then old, never wrong.
  bool gapped() const { return Tail != State.Next; }

  /// What became of a change; kept for the last `MaxVerdicts`.
  std::optional<ChangeVerdict> verdictOf(const std::string &id) const;
  const std::optional<SnapshotPosition> &newestSnapshot() const {
    return Newest;
  }
  /// Records that had no effect because they can't be read.
  std::uint64_t brokenRecords() const { return Broken; }

  static constexpr std::size_t MaxVerdicts = 1024;
  /// Records kept during a gap; beyond it the oldest are dropped, and only a
  /// snapshot that covers them closes the gap.
  static constexpr std::size_t MaxHeld = 8192;

private:
  struct Assembly {
    SnapshotPart Head;
    LogOffset First;
    std::map<std::uint32_t, std::vector<EntryChange>> Parts;
  };

  ApplyResult applyChange(const ConfigurationChange &change);
  ApplyResult applyPart(const SnapshotPart &part, LogOffset offset);
  ApplyResult hold(LogOffset offset, const ConfigurationChange &change);
  void replayHeld();
  Findings tryChange(const ConfigurationChange &change);
  void recordVerdict(const std::string &id, ChangeVerdict verdict);
  Assembly *assemblyOf(const SnapshotPart &part, LogOffset offset);

  /// Invariant: exactly what the prefix in front of `State.Next` gives.
  ConfigurationSnapshot State;
  /// Invariant: `Tail >= State.Next`.
  LogOffset Tail;
  /// Invariant: the changes of [HeldFrom, Tail); empty unless gapped.
  std::deque<std::pair<LogOffset, ConfigurationChange>> Held;
  LogOffset HeldFrom;
  /// Invariant: `VerdictOrder` holds the keys of `Verdicts`, oldest first.
  std::map<std::string, ChangeVerdict> Verdicts;
  std::deque<std::string> VerdictOrder;
  /// Snapshots of which parts are missing, oldest first.
  std::deque<Assembly> Assemblies;
  std::optional<SnapshotPosition> Newest;
  std::uint64_t Broken = 0;
};

} // namespace citrongap

#endif // CITRONGAP_LEDGER_CONFIGURATION_LOG_H
