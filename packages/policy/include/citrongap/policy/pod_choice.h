// Selects the pod that runs a job. The decision is made once, by the home pod
// of the job's key.
#ifndef CITRONGAP_POLICY_POD_CHOICE_H
#define CITRONGAP_POLICY_POD_CHOICE_H

#include "citrongap/policy/job.h"
#include "citrongap/policy/pod_scheduler.h"

#include <optional>
#include <vector>

namespace citrongap {

/// A pod whose owner is reachable, as seen by the home pod.
struct PodCandidate {
  PodId Pod;
  /// Capacity declared in the configuration; a larger gang never fits.
  Accelerators DeclaredCapacity;
  /// Last summary received from the owner; may be some seconds old.
  PodSummary Summary;
  /// True if a guaranteed shape of the job's account that holds the gang is
  /// assigned to the pod.
  bool HasGuaranteedShape = false;
};

/// Returns the pod that runs the job, or null if the gang fits no pod. In order
/// of preference:
///   1. a pod that can start the job now: the home pod, else the less loaded
///      of two pods that rendezvous hashing of the key selects;
///   2. a pod with a guaranteed shape that can be reclaimed;
///   3. any pod.
/// In 2 and 3, the pod with the fewest queued jobs for its capacity is chosen.
std::optional<PodId> choosePod(const JobRequest &job, const PodId &home,
                               const std::vector<PodCandidate> &candidates);

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_CHOICE_H
