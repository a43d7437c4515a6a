// Once a second, what the owner waits for is logged and counted.
#include "citrongap/control/pod_controller.h"

#include <string_view>

namespace citrongap {

namespace {

/// A data centre that is cut off has thousands of orders without an outcome.
/// All of 20 s, the longest wait for a lease or a late start, may be over at
/// once, within the log's bound.
constexpr std::size_t MaxLinesPerReview = 100;

} // namespace

void PodController::reviewWaits() {
  OrderReview review;
  review.MinAge = Options.LateOrderAge;
  review.Lines = MaxLinesPerReview;
  review.ListStale = ListStale;
  const auto waits = leaseWaits();
  // These first: there are fewer of them.
  Waits.reviewLeases(
      waits, monoNow() - TookOverAt,
      [this](const ServerIncarnation &it) {
        const auto link = Links.find(it);
        if (link != Links.end() && link->second->reachable())
          return "answered";
        return hasEnded(it) ? "server_ended" : "released";
      },
      review);
  for (const auto &[incarnation, link] : Links)
    link->reviewOrders(review);
  Waits.reviewStops(
      *Planner,
      [this](const RunId &run, const ServerIncarnation &server) {
        const auto link = Links.find(server);
        return link != Links.end() && link->second->tracksStop(run);
      },
      review);
  Metrics.Waits.OldestStopOrder = review.OldestStop;
  Metrics.Waits.OldestUnconfirmedStart = review.OldestStart;
  Metrics.Waits.ServersAwaitingLeases = waits.size();
  Metrics.Waits.DueOccurrencesNotPlanned =
      Planner->dueNotAdded(toMillis(wallNow()));
}

std::map<ServerIncarnation, WaitReason> PodController::leaseWaits() const {
  std::map<ServerIncarnation, WaitReason> out;
  for (const ServerIncarnation &it : Planner->incarnationsWithRuns()) {
    const auto link = Links.find(it);
    if (link == Links.end()) {
      // Runs of a past life are released at once, or moved to the next one.
      if (!hasEnded(it))
        out[it] = {ServersReader.loaded() ? "unlisted" : "list_unread",
                   inheritedLeaseEnd(it)};
      continue;
    }
    auto wait = link->second->leaseWait();
    if (!wait)
      continue;
    if (wait->For == std::string_view("earlier_owner") &&
        LateLeaseEnds.contains(it))
      wait->For = "late_start";
    out[it] = *wait;
  }
  return out;
}

void PodController::clearWaits() {
  WaitsTimer.cancel();
  Waits.clear();
  Metrics.Waits = {};
}

} // namespace citrongap
