// Records of the stream "configuration": changes of single entries, and
// snapshots of the whole configuration in parts.
#ifndef CITRONGAP_LEDGER_CONFIGURATION_CHANGE_H
#define CITRONGAP_LEDGER_CONFIGURATION_CHANGE_H

#include "citrongap/base/ids.h"
#include "citrongap/policy/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

/// The log takes no larger record, in bytes.
inline constexpr std::size_t MaxRecordBytes = 64U << 10U;

enum class ConfigurationList : std::uint8_t { Accounts, Plans, DataCentres };

using ConfigurationEntry =
    std::variant<AccountEntry, PlanEntry, DataCentreEntry>;

/// One entry set or removed.
struct EntryChange {
  ConfigurationList List = ConfigurationList::Accounts;
  std::string Name;
  /// Of the list's kind and with the same name; null removes the entry.
  std::optional<ConfigurationEntry> Value;

  bool operator==(const EntryChange &) const = default;
};

/// Entries changed together, by one operator, on top of one revision.
struct ConfigurationChange {
  /// Unique; the writer finds its own record by it.
  std::string Id;
  Revision Base;
  std::string Operator;
  std::vector<EntryChange> Changes;

  bool operator==(const ConfigurationChange &) const = default;
};

/// The configuration that a prefix of the log gives.
struct ConfigurationSnapshot {
  /// The first offset that it does not cover.
  LogOffset Next;
  Revision At;
  Configuration Lists;

  bool operator==(const ConfigurationSnapshot &) const = default;
};

/// One record of a snapshot; whole once all `Parts` of one `Id` are there.
struct SnapshotPart {
  std::string Id;
  LogOffset Next;
  Revision At;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::vector<EntryChange> Entries;
};

/// Why a record has no effect.
struct BrokenRecord {
  std::string Reason;
};

using ConfigurationRecord =
    std::variant<ConfigurationChange, SnapshotPart, BrokenRecord>;

/// The changes that turn `from` into `to`.
std::vector<EntryChange> difference(const Configuration &from,
                                    const Configuration &to);

/// Sets or removes one entry and gives back its previous state. The value
/// must be of the list's kind.
EntryChange applyEntry(Configuration &lists, const EntryChange &change);

std::string encodeChange(const ConfigurationChange &change);
/// Bodies of at most `MaxRecordBytes` each.
std::vector<std::string> encodeParts(const ConfigurationSnapshot &snapshot,
                                     const std::string &id);
/// Never fails: what can't be read is a BrokenRecord.
ConfigurationRecord decodeRecord(const std::string &body);

/// One text for the exchange between entry VMs.
std::string encodeSnapshot(const ConfigurationSnapshot &snapshot);
std::optional<ConfigurationSnapshot> decodeSnapshot(const std::string &text);

} // namespace citrongap

#endif // CITRONGAP_LEDGER_CONFIGURATION_CHANGE_H
