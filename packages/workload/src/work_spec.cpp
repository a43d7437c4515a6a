// Checks a submitted job; all findings are reported together.
#include "citrongap/workload/work_spec.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap {

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

std::vector<Millis> chainsToEnd(const std::vector<StepSpec> &steps,
                                const std::vector<Millis> &runs) {
  std::vector<Millis> chains(steps.size(), Millis(0));
  // Steps only wait for earlier ones: from the last, all that follow are known.
  for (std::size_t at = steps.size(); at-- > 0;) {
    chains[at] += runs[at];
    for (const std::uint32_t it : steps[at].DependsOn)
      chains[it] = std::max(chains[it], chains[at]);
  }
  return chains;
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
  return findings;
}

} // namespace citrongap
