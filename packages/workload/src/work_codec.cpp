// Job records as bytes of the store: cereal for submissions, and a compact form
// for states, which are written at every start and end and read by every entry
// VM. A task that is done or was never started takes one byte.
#include "citrongap/workload/work_state.h"

#include "compact_bytes.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <sstream>

namespace citrongap {

namespace {

/// Raised when a record's meaning changes; others are findings.
constexpr std::uint8_t FormatVersion = 2;

Findings unreadable(const std::string &why) {
  Findings findings;
  findings.add("record", why);
  return findings;
}

/// Server lives that a record names, each written once.
class LifeTable {
public:
  std::uint64_t indexOf(const ServerIncarnation &life) {
    const auto [it, added] = Indices.try_emplace(life, Lives.size());
    if (added)
      Lives.push_back(life);
    return it->second;
  }
  void write(ByteWriter &out) const {
    out.number(Lives.size());
    for (const ServerIncarnation &it : Lives) {
      out.text(it.Id.str());
      out.number(static_cast<std::uint64_t>(it.StartedAtMs));
    }
  }
  bool read(ByteReader &in) {
    const std::uint64_t count = in.number();
    for (std::uint64_t n = 0; n < count && in.good(); ++n) {
      BackendServerId id(in.text());
      Lives.push_back({std::move(id), static_cast<std::int64_t>(in.number())});
    }
    return in.good();
  }
  const ServerIncarnation *at(std::uint64_t index) const {
    return index < Lives.size() ? &Lives[index] : nullptr;
  }

private:
  std::vector<ServerIncarnation> Lives;
  std::map<ServerIncarnation, std::uint64_t> Indices;
};

/// First byte of a task: its stage, and whether more follows.
constexpr std::uint64_t HasHistory = 4;

void writeTask(const TaskRecord &task, LifeTable &lives, ByteWriter &out) {
  const auto stage = static_cast<std::uint64_t>(task.Stage);
  if (task.Stage == TaskStage::Done || task.Run == 0) {
    out.number(stage);
    return;
  }
  out.number(stage | HasHistory);
  out.number(task.Run);
  out.number(task.Failures);
  out.number(lives.indexOf(task.Server));
  out.text(task.Checkpoint);
}

bool readTask(ByteReader &in, const LifeTable &lives, TaskRecord &task) {
  const std::uint64_t head = in.number();
  const std::uint64_t stage = head & (HasHistory - 1);
  if (stage > static_cast<std::uint64_t>(TaskStage::Done))
    return false;
  task.Stage = static_cast<TaskStage>(stage);
  if ((head & HasHistory) == 0)
    return in.good() && task.Stage != TaskStage::Placed;
  task.Run = static_cast<std::uint32_t>(in.number());
  task.Failures = static_cast<std::uint32_t>(in.number());
  const ServerIncarnation *life = lives.at(in.number());
  task.Checkpoint = in.text();
  if (!life)
    return false;
  task.Server = *life;
  return in.good();
}

void writeStep(const StepRecord &step, LifeTable &lives, ByteWriter &out) {
  out.number(step.GangFailures);
  out.number(step.LastFailedRun);
  out.number(step.Tasks.size());
  for (const TaskRecord &it : step.Tasks)
    writeTask(it, lives, out);
}

bool readStep(ByteReader &in, const LifeTable &lives, StepRecord &step) {
  step.GangFailures = static_cast<std::uint32_t>(in.number());
  step.LastFailedRun = static_cast<std::uint32_t>(in.number());
  const std::uint64_t count = in.number();
  if (count > MaxStepTasks)
    return false;
  step.Tasks.resize(count);
  for (TaskRecord &it : step.Tasks)
    if (!readTask(in, lives, it))
      return false;
  return true;
}

bool readHead(ByteReader &in, WorkSummary &out) {
  const std::uint64_t version = in.number();
  const std::uint64_t phase = in.number();
  out.EndedAtMs = static_cast<std::int64_t>(in.number());
  if (!in.good() || version != FormatVersion ||
      phase > static_cast<std::uint64_t>(WorkPhase::Cancelled))
    return false;
  out.Phase = static_cast<WorkPhase>(phase);
  return true;
}

bool readOccurrences(ByteReader &in, WorkRecord &out) {
  LifeTable lives;
  if (!lives.read(in))
    return false;
  const std::uint64_t count = in.number();
  for (std::uint64_t k = 0; k < count && in.good(); ++k) {
    Occurrence &occurrence = out.Occurrences.emplace_back();
    const std::uint64_t steps = in.number();
    if (steps > MaxSteps)
      return false;
    occurrence.Steps.resize(steps);
    for (StepRecord &it : occurrence.Steps)
      if (!readStep(in, lives, it))
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
  LifeTable lives;
  ByteWriter tasks;
  tasks.number(record.Occurrences.size());
  for (const Occurrence &it : record.Occurrences) {
    tasks.number(it.Steps.size());
    for (const StepRecord &step : it.Steps)
      writeStep(step, lives, tasks);
  }
  ByteWriter out;
  out.number(FormatVersion);
  out.number(static_cast<std::uint64_t>(record.Phase));
  out.number(static_cast<std::uint64_t>(record.EndedAtMs));
  lives.write(out);
  return out.bytes() + tasks.bytes();
}

Checked<WorkSpec> decodeWorkSpec(const std::string &bytes) {
  std::istringstream in(bytes, std::ios::binary);
  WorkSpec spec;
  std::uint8_t version = 0;
  // cereal reports malformed input by exceptions.
  try {
    cereal::PortableBinaryInputArchive ar(in);
    ar(version);
    if (version != FormatVersion)
      return unreadable("is of another format version");
    ar(spec);
    if (in.peek() != std::istringstream::traits_type::eof())
      ar(spec.Objective);
  } catch (const std::exception &ec) {
    return unreadable(ec.what());
  }
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
  return head;
}

} // namespace citrongap
