// Serialization of jobs for the store. Specifications use cereal. States use a
// compact format, since they are written at each start and end of a run and
// read by every entry VM: a task that is done or was never started takes one
// byte.
#include "citrongap/base/bounded_input_archive.h"
#include "citrongap/base/compact_bytes.h"
#include "citrongap/workload/state_room.h"
#include "citrongap/workload/work_state.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <sstream>

namespace citrongap {

namespace {

/// Incremented when the meaning of a record changes. Decoding a record of any
/// other version gives a finding.
constexpr std::uint8_t FormatVersion = 2;

Findings unreadable(const std::string &cause) {
  Findings findings;
  findings.add("record", cause);
  return findings;
}

/// Server incarnations that a record refers to, each written once.
class IncarnationTable {
public:
  std::uint64_t indexOf(const ServerIncarnation &incarnation) {
    const auto [it, added] =
        Indices.try_emplace(incarnation, Incarnations.size());
    if (added)
      Incarnations.push_back(incarnation);
    return it->second;
  }
  void write(ByteWriter &out) const {
    out.writeVarint(Incarnations.size());
    for (const ServerIncarnation &it : Incarnations) {
      out.writeString(it.Id.str());
      out.writeVarint(static_cast<std::uint64_t>(it.StartedAtMs));
    }
  }
  bool read(ByteReader &in) {
    const std::uint64_t count = in.readVarint();
    for (std::uint64_t n = 0; n < count && in.good(); ++n) {
      BackendServerId id(in.readString());
      Incarnations.push_back(
          {std::move(id), static_cast<std::int64_t>(in.readVarint())});
    }
    return in.good();
  }
  const ServerIncarnation *at(std::uint64_t index) const {
    return index < Incarnations.size() ? &Incarnations[index] : nullptr;
  }

private:
  std::vector<ServerIncarnation> Incarnations;
  std::map<ServerIncarnation, std::uint64_t> Indices;
};

/// Flag in the first byte of a task, beside its stage: more fields follow.
constexpr std::uint64_t HasHistory = 4;
/// Another one: TaskRecord::EarlierRunDone.
constexpr std::uint64_t HasEarlierRunDone = 8;
/// The bits of the stage in that byte.
constexpr std::uint64_t StageMask = 3;

void writeTask(const TaskRecord &task, bool withCheckpoint,
               IncarnationTable &incarnations, ByteWriter &out) {
  const auto stage = static_cast<std::uint64_t>(task.Stage);
  if (task.Stage == TaskStage::Done || task.Run == 0) {
    out.writeVarint(stage);
    return;
  }
  out.writeVarint(stage | HasHistory |
                  (task.EarlierRunDone ? HasEarlierRunDone : 0));
  out.writeVarint(task.Run);
  out.writeVarint(task.Failures);
  out.writeVarint(incarnations.indexOf(task.Server));
  out.writeString(withCheckpoint ? task.Checkpoint : "");
}

bool readTask(ByteReader &in, const IncarnationTable &incarnations,
              TaskRecord &task) {
  const std::uint64_t head = in.readVarint();
  const std::uint64_t stage = head & StageMask;
  if (stage > static_cast<std::uint64_t>(TaskStage::Done))
    return false;
  task.Stage = static_cast<TaskStage>(stage);
  task.EarlierRunDone = (head & HasEarlierRunDone) != 0;
  if ((head & HasHistory) == 0)
    return in.good() && task.Stage != TaskStage::Placed;
  task.Run = static_cast<std::uint32_t>(in.readVarint());
  task.Failures = static_cast<std::uint32_t>(in.readVarint());
  const ServerIncarnation *incarnation = incarnations.at(in.readVarint());
  task.Checkpoint = in.readString();
  if (!incarnation)
    return false;
  task.Server = *incarnation;
  return in.good();
}

void writeStep(const StepRecord &step, bool withCheckpoints,
               IncarnationTable &incarnations, ByteWriter &out) {
  out.writeVarint(step.GangFailures);
  out.writeVarint(step.LastFailedRun);
  out.writeVarint(step.Tasks.size());
  for (const TaskRecord &it : step.Tasks)
    writeTask(it, withCheckpoints, incarnations, out);
}

/// Whether each step depends on earlier ones only: the planner uses these
/// numbers as indices.
bool hasUsableSteps(const WorkSpec &spec) {
  for (std::size_t at = 0; at < spec.Steps.size(); ++at)
    for (const std::uint32_t it : spec.Steps[at].DependsOn)
      if (it >= at)
        return false;
  return true;
}

std::string encodeRecord(const WorkRecord &record, bool withCheckpoints) {
  IncarnationTable incarnations;
  ByteWriter tasks;
  tasks.writeVarint(record.Occurrences.size());
  for (const Occurrence &it : record.Occurrences) {
    tasks.writeVarint(it.Steps.size());
    for (const StepRecord &step : it.Steps)
      writeStep(step, withCheckpoints, incarnations, tasks);
  }
  ByteWriter out;
  out.writeVarint(FormatVersion);
  out.writeVarint(static_cast<std::uint64_t>(record.Phase));
  out.writeVarint(static_cast<std::uint64_t>(record.EndedAtMs));
  incarnations.write(out);
  return out.bytes() + tasks.bytes();
}

bool readStep(ByteReader &in, const IncarnationTable &incarnations,
              StepRecord &step) {
  step.GangFailures = static_cast<std::uint32_t>(in.readVarint());
  step.LastFailedRun = static_cast<std::uint32_t>(in.readVarint());
  const std::uint64_t count = in.readVarint();
  if (count > MaxStepTasks)
    return false;
  step.Tasks.resize(count);
  for (TaskRecord &it : step.Tasks)
    if (!readTask(in, incarnations, it))
      return false;
  return true;
}

bool readHead(ByteReader &in, WorkSummary &out) {
  const std::uint64_t version = in.readVarint();
  const std::uint64_t phase = in.readVarint();
  out.EndedAtMs = static_cast<std::int64_t>(in.readVarint());
  if (!in.good() || version != FormatVersion ||
      phase > static_cast<std::uint64_t>(WorkPhase::Cancelled))
    return false;
  out.Phase = static_cast<WorkPhase>(phase);
  return true;
}

bool readOccurrences(ByteReader &in, WorkRecord &out) {
  IncarnationTable incarnations;
  if (!incarnations.read(in))
    return false;
  const std::uint64_t count = in.readVarint();
  for (std::uint64_t k = 0; k < count && in.good(); ++k) {
    Occurrence &occurrence = out.Occurrences.emplace_back();
    const std::uint64_t steps = in.readVarint();
    if (steps > MaxSteps)
      return false;
    occurrence.Steps.resize(steps);
    for (StepRecord &it : occurrence.Steps)
      if (!readStep(in, incarnations, it))
        return false;
  }
  return in.good() && in.atEnd();
}

} // namespace

std::string encode(const WorkSpec &spec) {
  std::ostringstream out(std::ios::binary);
  cereal::PortableBinaryOutputArchive ar(out);
  ar(FormatVersion, spec, spec.Objective);
  return std::move(out).str();
}

std::string encode(const WorkRecord &record) {
  std::string bytes = encodeRecord(record, true);
  // Checkpoints may be of any length. Without them, tasks start from the
  // beginning.
  return bytes.size() <= MaxEncodedBytes ? bytes : encodeRecord(record, false);
}

Checked<WorkSpec> decodeWorkSpec(const std::string &bytes) {
  WorkSpec spec;
  std::uint8_t version = 0;
  // cereal throws on malformed input.
  try {
    BoundedInputArchive ar(bytes);
    ar(version);
    if (version != FormatVersion)
      return unreadable("is of another format version");
    ar(spec);
    if (ar.remaining() > 0)
      ar(spec.Objective);
  } catch (const std::exception &ec) {
    return unreadable(ec.what());
  }
  if (!hasUsableSteps(spec))
    return unreadable("has a step that depends on no earlier one");
  return spec;
}

Checked<WorkRecord> decodeWorkRecord(const std::string &bytes) {
  ByteReader in(bytes);
  WorkSummary head;
  WorkRecord record;
  if (!readHead(in, head) || !readOccurrences(in, record))
    return unreadable("is malformed");
  record.Phase = head.Phase;
  record.EndedAtMs = head.EndedAtMs;
  return record;
}

Checked<WorkSummary> decodeWorkSummary(const std::string &bytes) {
  ByteReader in(bytes);
  WorkSummary head;
  if (!readHead(in, head))
    return unreadable("is malformed");
  // The number of servers that are or were assigned a run.
  head.WasPlaced = in.readVarint() > 0;
  return head;
}

} // namespace citrongap
