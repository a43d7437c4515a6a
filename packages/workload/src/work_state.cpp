// Names of phases and tasks, and predicates on job records.
#include "citrongap/workload/work_state.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <string_view>

namespace citrongap {

namespace {

std::optional<std::uint32_t> readNumber(std::string_view text) {
  std::uint32_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

std::string_view takeLast(std::string_view &text) {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos)
    return {};
  const std::string_view part = text.substr(dot + 1);
  text = text.substr(0, dot);
  return part;
}

} // namespace

const char *describe(WorkPhase phase) {
  switch (phase) {
  case WorkPhase::Queued:
    return "queued";
  case WorkPhase::Running:
    return "running";
  case WorkPhase::Completed:
    return "completed";
  case WorkPhase::Failed:
    return "failed";
  case WorkPhase::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

bool StepRecord::done() const {
  return std::all_of(Tasks.begin(), Tasks.end(), [](const TaskRecord &it) {
    return it.Stage == TaskStage::Done;
  });
}

bool StepRecord::anyPlaced() const {
  return std::any_of(Tasks.begin(), Tasks.end(), [](const TaskRecord &it) {
    return it.Stage == TaskStage::Placed;
  });
}

bool Occurrence::done() const {
  return std::all_of(Steps.begin(), Steps.end(),
                     [](const StepRecord &it) { return it.done(); });
}

bool Occurrence::begun() const {
  if (Steps.empty())
    return true;
  return std::any_of(Steps.begin(), Steps.end(), [](const StepRecord &step) {
    return std::any_of(step.Tasks.begin(), step.Tasks.end(),
                       [](const TaskRecord &it) {
                         return it.Run > 0 || it.Stage != TaskStage::Waiting;
                       });
  });
}

bool WorkRecord::anyPlaced() const {
  return std::any_of(
      Occurrences.begin(), Occurrences.end(), [](const Occurrence &it) {
        return std::any_of(it.Steps.begin(), it.Steps.end(),
                           [](const StepRecord &n) { return n.anyPlaced(); });
      });
}

std::string TaskName::str() const {
  return fmt::format("{}.{}.{}.{}", Work.str(), Occurrence, Step, Index);
}

Checked<TaskName> parseTaskName(const std::string &text) {
  std::string_view rest = text;
  const auto index = readNumber(takeLast(rest));
  const auto step = readNumber(takeLast(rest));
  const auto occurrence = readNumber(takeLast(rest));
  if (!index || !step || !occurrence || rest.empty()) {
    Findings findings;
    findings.add(text, "is not the name of a task");
    return findings;
  }
  return TaskName{WorkId(std::string(rest)), *occurrence, *step, *index};
}

} // namespace citrongap
