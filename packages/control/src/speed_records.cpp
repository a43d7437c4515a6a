// A record is a version, the number of machines, and the name of each with its
// speed in thousandths.
#include "citrongap/control/speed_records.h"

#include "citrongap/base/compact_bytes.h"
#include "citrongap/base/hash.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace citrongap {

namespace {

/// Incremented when the meaning of a record changes.
constexpr std::uint64_t FormatVersion = 1;
constexpr double Thousandths = 1000;
const std::string KeyPrefix = "x/";

// The key is added to it.
static_assert(MaxSpeedRecordBytes + 64 < StoreLimits::RecordBytes);

Findings unreadable(const std::string &cause) {
  Findings findings;
  findings.add("record", cause);
  return findings;
}

/// Drops machines until the record is within its bound.
void limitSize(MachineSpeeds &speeds,
               const std::function<bool(const std::string &)> &present) {
  if (encode(speeds).size() <= MaxSpeedRecordBytes)
    return;
  std::erase_if(speeds, [&](const auto &it) { return !present(it.first); });
  while (encode(speeds).size() > MaxSpeedRecordBytes)
    for (std::size_t n = speeds.size() / 2; n < speeds.size();)
      speeds.erase(std::prev(speeds.end()));
}

} // namespace

std::size_t speedGroupOf(const std::string &machine) {
  return stableHash(machine) % SpeedGroupCount;
}

std::string speedKey(std::size_t group) {
  return KeyPrefix + std::to_string(group);
}

std::optional<std::size_t> speedGroupOfKey(const std::string &key) {
  if (!key.starts_with(KeyPrefix))
    return std::nullopt;
  std::size_t group = 0;
  std::from_chars(key.data() + KeyPrefix.size(), key.data() + key.size(),
                  group);
  if (group >= SpeedGroupCount || speedKey(group) != key)
    return std::nullopt;
  return group;
}

std::string encode(const MachineSpeeds &speeds) {
  ByteWriter out;
  out.writeVarint(FormatVersion);
  out.writeVarint(speeds.size());
  for (const auto &[machine, speed] : speeds) {
    out.writeString(machine);
    out.writeVarint(
        static_cast<std::uint64_t>(std::llround(speed * Thousandths)));
  }
  return out.bytes();
}

Checked<MachineSpeeds> decodeSpeeds(const std::string &record) {
  ByteReader in(record);
  if (in.readVarint() != FormatVersion || !in.good())
    return unreadable("unknown version");
  const std::uint64_t count = in.readVarint();
  MachineSpeeds speeds;
  for (std::uint64_t n = 0; n < count && in.good(); ++n) {
    std::string machine = in.readString();
    speeds[std::move(machine)] =
        static_cast<double>(in.readVarint()) / Thousandths;
  }
  if (!in.good() || !in.atEnd())
    return unreadable("truncated or too long");
  return speeds;
}

void SpeedRecords::restore(std::size_t group, MachineSpeeds speeds) {
  Groups[group] = std::move(speeds);
}

void SpeedRecords::set(const std::string &machine, double speed) {
  const std::size_t group = speedGroupOf(machine);
  Groups[group][machine] = speed;
  Changed.insert(group);
}

std::optional<KeyedRecord>
SpeedRecords::takeDue(MonoTime now, MonoTime nextAt, std::size_t maxBytes,
                      const std::function<bool(const std::string &)> &present) {
  if (Changed.empty() || now < NextAt)
    return std::nullopt;
  auto next = Changed.upper_bound(LastWritten);
  if (next == Changed.end())
    next = Changed.begin();
  MachineSpeeds &speeds = Groups.at(*next);
  limitSize(speeds, present);
  KeyedRecord record{speedKey(*next), encode(speeds)};
  if (storedBytes(record) > maxBytes)
    return std::nullopt;
  LastWritten = *next;
  NextAt = nextAt;
  Changed.erase(next);
  return record;
}

} // namespace citrongap
