// Job records as bytes of the store, by cereal.
#include "citrongap/workload/work_state.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace citrongap {

namespace {

/// Raised when a record's meaning changes; others are findings.
constexpr std::uint8_t FormatVersion = 1;

template <typename T> std::string toBytes(const T &value) {
  std::ostringstream out(std::ios::binary);
  cereal::PortableBinaryOutputArchive ar(out);
  ar(FormatVersion, value);
  return std::move(out).str();
}

Findings unreadable(const std::string &why) {
  Findings findings;
  findings.add("record", why);
  return findings;
}

template <typename T> Checked<T> fromBytes(const std::string &bytes) {
  std::istringstream in(bytes, std::ios::binary);
  T value;
  std::uint8_t version = 0;
  // cereal reports malformed input by exceptions.
  try {
    cereal::PortableBinaryInputArchive ar(in);
    ar(version);
    if (version != FormatVersion)
      return unreadable("is of another format version");
    ar(value);
  } catch (const std::exception &ec) {
    return unreadable(ec.what());
  }
  return value;
}

} // namespace

std::string encode(const WorkSpec &spec) { return toBytes(spec); }
std::string encode(const WorkRecord &record) { return toBytes(record); }

Checked<WorkSpec> decodeWorkSpec(const std::string &bytes) {
  return fromBytes<WorkSpec>(bytes);
}

Checked<WorkRecord> decodeWorkRecord(const std::string &bytes) {
  return fromBytes<WorkRecord>(bytes);
}

Checked<WorkSummary> decodeWorkSummary(const std::string &bytes) {
  return fromBytes<WorkSummary>(bytes);
}

} // namespace citrongap
