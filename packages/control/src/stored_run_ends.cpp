// A key is "e/TASK/RUN", a value the version, the server and its start, how the
// run ended, its checkpoint.
#include "citrongap/control/stored_run_ends.h"

#include "citrongap/base/compact_bytes.h"
#include "citrongap/workload/state_room.h"

#include <charconv>
#include <utility>

namespace citrongap {

namespace {

/// Incremented when the meaning of a record changes.
constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t PrefixLength = 2;

Findings unreadable(const std::string &cause) {
  Findings findings;
  findings.add("run end", cause);
  return findings;
}

} // namespace

KeyedRecord storedRunEnd(const ServerIncarnation &server,
                         const RunEndReport &end) {
  ByteWriter out;
  out.writeVarint(FormatVersion);
  out.writeString(server.Id.str());
  out.writeVarint(static_cast<std::uint64_t>(server.StartedAtMs));
  out.writeVarint(static_cast<std::uint64_t>(end.Outcome));
  // Too long to be stored; without it, the task begins anew.
  const bool fits = end.Checkpoint.size() <= MaxEncodedBytes;
  out.writeString(fits ? end.Checkpoint : "");
  return {"e/" + end.Task.str() + "/" + std::to_string(end.Run), out.bytes()};
}

WorkId workOfRunEnd(const std::string &key) {
  const std::string name = key.substr(PrefixLength);
  return WorkId(name.substr(0, name.find('.')));
}

Checked<StoredRunEnd> decodeRunEnd(const std::string &key,
                                   const std::string &value) {
  StoredRunEnd out;
  const std::string name = key.substr(PrefixLength);
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos)
    return unreadable("has no run");
  auto task = parseTaskName(name.substr(0, slash));
  if (auto *findings = std::get_if<Findings>(&task))
    return std::move(*findings);
  out.End.Task = std::get<TaskName>(std::move(task));
  const char *last = name.data() + name.size();
  const auto run = std::from_chars(name.data() + slash + 1, last, out.End.Run);
  if (run.ec != std::errc() || run.ptr != last)
    return unreadable("has no run");
  ByteReader in(value);
  if (in.readVarint() != FormatVersion || !in.good())
    return unreadable("unknown version");
  out.Server.Id = BackendServerId(in.readString());
  out.Server.StartedAtMs = static_cast<std::int64_t>(in.readVarint());
  const std::uint64_t outcome = in.readVarint();
  out.End.Checkpoint = in.readString();
  if (!in.good() || !in.atEnd() ||
      outcome > static_cast<std::uint64_t>(RunOutcome::GangIncomplete))
    return unreadable("truncated or too long");
  out.End.Outcome = static_cast<RunOutcome>(outcome);
  return out;
}

} // namespace citrongap
