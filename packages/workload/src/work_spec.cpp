// Validation of submitted jobs and critical paths over their steps.
#include "citrongap/workload/work_spec.h"

#include "citrongap/workload/state_room.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap {

std::uint32_t WorkSpec::dueBy(std::int64_t wallMs) const {
  if (Repetitions == 0)
    return 1;
  if (wallMs < FirstDueMs)
    return 0;
  if (IntervalMs == 0)
    return Repetitions;
  return static_cast<std::uint32_t>(std::min<std::int64_t>(
      Repetitions, (wallMs - FirstDueMs) / IntervalMs + 1));
}

namespace {

void checkStep(const WorkSpec &spec, std::size_t at, Findings &findings) {
  const StepSpec &step = spec.Steps[at];
  const std::string place = fmt::format("/steps/{}", at);
  if (step.Count == 0 || step.Count > MaxStepTasks)
    findings.add(place + "/count",
                 fmt::format("must be from 1 to {}", MaxStepTasks));
  if (step.Requested.CpuMillis < 0 || step.Requested.MemoryMb < 0 ||
      step.Requested.GpuCount < 0)
    findings.add(place, "asks for a negative amount");
  for (const std::uint32_t it : step.DependsOn)
    if (it >= at)
      findings.add(place + "/after",
                   fmt::format("names step {}, not an earlier one", it));
}

} // namespace

std::vector<Millis> remainingCriticalPaths(const std::vector<StepSpec> &steps,
                                           const std::vector<Millis> &runs) {
  std::vector<Millis> paths(steps.size(), Millis(0));
  // Steps depend on earlier ones only: in reverse order, the paths of all
  // dependents are known.
  for (std::size_t at = steps.size(); at-- > 0;) {
    paths[at] += runs[at];
    for (const std::uint32_t it : steps[at].DependsOn)
      paths[it] = std::max(paths[it], paths[at]);
  }
  return paths;
}

Findings checkWork(const WorkSpec &spec) {
  Findings findings;
  if (spec.Payload.size() > MaxPayloadBytes)
    findings.add("/payload",
                 fmt::format("is larger than {} bytes", MaxPayloadBytes));
  if (spec.Steps.empty() || spec.Steps.size() > MaxSteps)
    findings.add("/steps", fmt::format("must have 1 to {} steps", MaxSteps));
  for (std::size_t at = 0; at < spec.Steps.size(); ++at)
    checkStep(spec, at, findings);
  if (spec.Repetitions > 0 && spec.IntervalMs < 0)
    findings.add("/interval", "is negative");
  findings.append(checkStateRoom(spec));
  return findings;
}

} // namespace citrongap
