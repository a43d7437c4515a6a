// Work that waits although servers have room for it: how long it may, and a
// review of what keeps it.
#include "pod_planner_unit.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace citrongap {

const char *describe(PassedOver reason) {
  switch (reason) {
  case PassedOver::Unavailable:
    return "unavailable";
  case PassedOver::Quarantined:
    return "quarantined";
  case PassedOver::Kept:
    return "kept";
  case PassedOver::Reserved:
    return "reserved";
  case PassedOver::Failed:
    return "failed";
  case PassedOver::FarFromData:
    return "far_from_data";
  case PassedOver::TooSlow:
    return "too_slow";
  case PassedOver::TooFew:
    return "too_few";
  }
  return "unknown";
}

std::optional<PassedOver> IdleStep::mainReason() const {
  const auto most = std::max_element(Servers.begin(), Servers.end());
  if (*most == 0)
    return std::nullopt;
  return static_cast<PassedOver>(most - Servers.begin());
}

void PodPlanner::updateQuietServices(MonoTime now) {
  struct Room {
    Resources Free;
    Resources All;
  };
  std::map<std::string_view, Room> rooms;
  for (const auto &[id, slot] : Servers.all())
    if (slot.Reachable && slot.Listed) {
      Room &room = rooms[slot.Entry.Service];
      room.Free += slot.Free;
      room.All += slot.Entry.Capacity;
    }
  std::map<std::string, MonoTime> quiet;
  for (const auto &[service, room] : rooms) {
    if (2 * room.Free.GpuCount <= room.All.GpuCount &&
        2 * coresOf(room.Free) <= coresOf(room.All))
      continue;
    const std::string name(service);
    const auto known = QuietSince.find(name);
    quiet[name] = known == QuietSince.end() ? now : known->second;
  }
  QuietSince = std::move(quiet);
}

std::optional<MonoTime> PodPlanner::idleSince(const Unit &unit) {
  PlannedWork &work = Works.at(unit.Work);
  if (work.Spec.LongRunning)
    return unit.WaitingSince;
  const auto quiet = QuietSince.find(work.Spec.Service);
  if (quiet == QuietSince.end() || anyPlaced(work))
    return std::nullopt;
  return std::max({unit.WaitingSince, quiet->second, work.LastRunAt});
}

std::optional<std::vector<std::size_t>>
PodPlanner::packOverdue(std::vector<PackingServer> &view,
                        PackingRequest request, bool lasting) {
  // The bound on lasting work holds beside arrivals of urgent work as well.
  request.Access = std::max(request.Access, lasting ? AccessLevel::Urgent
                                                    : AccessLevel::LongWaiting);
  if (OverdueOutcomes.find(request) == false)
    return std::nullopt;
  for (PackingServer &it : view)
    it.Free += it.Kept;
  auto found = packTasks(view, request);
  for (PackingServer &it : view)
    it.Free -= it.Kept;
  if (!found)
    OverdueOutcomes.add(request, false);
  return found;
}

bool PodPlanner::hasRoomTwice(std::vector<PackingServer> &view,
                              PackingRequest request, bool lasting) {
  request.Count *= 2;
  return packOverdue(view, std::move(request), lasting).has_value();
}

IdleStep PodPlanner::reviewIdleStep(const Unit &unit,
                                    const std::vector<PackingServer> &view,
                                    MonoTime now) {
  const PackingRequest request = requestOf(unit, view, true);
  std::map<BackendServerId, const PackingServer *> viewed;
  for (const PackingServer &it : view)
    viewed[it.Id] = &it;
  const auto reasonFor = [&](const ServerSlot &slot) {
    const auto found = viewed.find(slot.Entry.Incarnation.Id);
    if (Health.quarantined(slot.Entry.Incarnation.Id))
      return PassedOver::Quarantined;
    if (found == viewed.end())
      return PassedOver::Unavailable;
    const PackingServer &server = *found->second;
    if (!request.PerTask.fitsIn(server.Free))
      return PassedOver::Kept;
    if (server.ReservedFor > request.Access)
      return PassedOver::Reserved;
    if ((request.ExcludeRecentFailures && server.FailedRecently) ||
        (request.RequireRecentSuccess && !server.SucceededRecently))
      return PassedOver::Failed;
    if (!request.Rack.empty() && server.Rack != request.Rack)
      return PassedOver::FarFromData;
    return request.Speeds.contains(server.Speed) ? PassedOver::TooFew
                                                 : PassedOver::TooSlow;
  };
  IdleStep out;
  out.Task = {unit.Work, unit.Occurrence, unit.Step, unit.Indices.front()};
  out.Waited = now - unit.WaitingSince;
  for (const auto &[id, slot] : Servers.all()) {
    const auto &labels = slot.Entry.Labels;
    const bool fits = slot.Entry.Service == request.Service &&
                      request.PerTask.fitsIn(slot.Free) &&
                      (request.RequiredLabel.empty() ||
                       std::find(labels.begin(), labels.end(),
                                 request.RequiredLabel) != labels.end());
    if (fits)
      ++out.Servers[static_cast<std::size_t>(reasonFor(slot))];
  }
  return out;
}

void PodPlanner::reviewIdleWork(const std::vector<Unit> &units,
                                const std::vector<PackingServer> &view,
                                MonoTime now) {
  if (now - IdleReviewedAt < Options.IdleReviewInterval)
    return;
  IdleReviewedAt = now;
  IdleSteps.clear();
  for (const Unit &unit : units) {
    if (IdleSteps.size() == Options.MaxIdleSteps)
      return;
    if (unit.Indices.empty() || now - unit.WaitingSince < Options.MinIdleTime ||
        Works.at(unit.Work).Record.anyPlaced())
      continue;
    const IdleStep step = reviewIdleStep(unit, view, now);
    if (step.mainReason())
      IdleSteps.push_back(step);
  }
}

} // namespace citrongap
