// Jobs whose state the owner can't read. It lets their runs work on and keeps
// their ends in the store, for a later owner that can read the state.
#include "citrongap/control/pod_controller.h"

#include <utility>

namespace citrongap {

void PodController::leaveOut(const WorkId &id, const std::string &why) {
  // A job with an unknown state could run twice if it were started.
  LeftOut.insert(id);
  Log("owner", "job_left_out", "request={} why=\"{}\"", id.str(), why);
}

std::optional<std::vector<StoredRunEnd>>
PodController::storedRunEnds(const WorkId &id) const {
  std::vector<StoredRunEnd> out;
  for (const auto &[key, value] : Registry.runEnds(id)) {
    auto read = decodeRunEnd(key, value);
    if (!std::holds_alternative<StoredRunEnd>(read))
      return std::nullopt;
    out.push_back(std::get<StoredRunEnd>(std::move(read)));
  }
  return out;
}

void PodController::applyRunEnds(const std::vector<StoredRunEnd> &ends) {
  for (const auto &[server, end] : ends) {
    Planner->recordRunEnd(end.Task, end.Run, server, end.Outcome,
                          end.Checkpoint, monoNow(), toMillis(wallNow()));
    AppliedRunEnds.push_back({storedRunEnd(server, end).Key, std::nullopt});
  }
}

std::optional<Resources>
PodController::useOfLeftOut(const TaskName &task) const {
  if (!LeftOut.contains(task.Work))
    return std::nullopt;
  const RegistryEntry *entry = Registry.find(task.Work);
  if (!entry || entry->CancelRequested)
    return std::nullopt;
  const std::vector<StepSpec> &steps = entry->Spec->Steps;
  return task.Step < steps.size() ? steps[task.Step].allocation() : Resources();
}

} // namespace citrongap
