// Stored speeds of the machines, which a new owner of the pod starts from. The
// machines are divided into groups by hash, so that a group fits a record.
#ifndef CITRONGAP_CONTROL_SPEED_RECORDS_H
#define CITRONGAP_CONTROL_SPEED_RECORDS_H

#include "citrongap/base/findings.h"
#include "citrongap/base/time.h"
#include "citrongap/store/store_port.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace citrongap {

inline constexpr std::size_t SpeedGroupCount = 64;
/// Largest record of a group. 28,000 machines of 64-byte names need 30 KB.
inline constexpr std::size_t MaxSpeedRecordBytes = 65536;

/// Relative speeds by machine.
using MachineSpeeds = std::map<std::string, double>;

std::size_t speedGroupOf(const std::string &machine);
std::string speedKey(std::size_t group);
/// Empty if it is not the key of a group.
std::optional<std::size_t> speedGroupOfKey(const std::string &key);

std::string encode(const MachineSpeeds &speeds);
/// Gives findings for a record of another version, too.
Checked<MachineSpeeds> decodeSpeeds(const std::string &record);

/// Decides which groups are written when: those with a change, at most one in
/// an interval.
class SpeedRecords {
public:
  /// Replaces the speeds of `group` by what the store has.
  void restore(std::size_t group, MachineSpeeds speeds);
  void set(const std::string &machine, double speed);
  /// Record of the next changed group, if one is due and has at most `maxBytes`
  /// with its key. If a group is too large for a record, machines that are not
  /// `present` are left out first. Another is due no sooner than `nextAt`.
  std::optional<KeyedRecord>
  takeDue(MonoTime now, MonoTime nextAt, std::size_t maxBytes,
          const std::function<bool(const std::string &)> &present);

private:
  std::map<std::size_t, MachineSpeeds> Groups;
  /// Groups with a change that is not written. Invariant: keys of `Groups`.
  std::set<std::size_t> Changed;
  /// The groups take turns.
  std::size_t LastWritten = SpeedGroupCount;
  MonoTime NextAt;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_SPEED_RECORDS_H
