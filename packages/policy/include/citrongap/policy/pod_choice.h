// Which pod runs a job: decided once, at the home of the job's key.
#ifndef CITRONGAP_POLICY_POD_CHOICE_H
#define CITRONGAP_POLICY_POD_CHOICE_H

#include "citrongap/policy/job.h"
#include "citrongap/policy/pod_scheduler.h"

#include <optional>
#include <vector>

namespace citrongap {

/// What the home knows of one pod whose owner can be reached.
struct PodCandidate {
  PodId Pod;
  /// Capacity by the lists; a larger gang never fits.
  Accelerators DeclaredCapacity;
  /// As its owner last told; may be some seconds old.
  PodSummary Summary;
  /// It carries a guaranteed shape of the job's account that holds the gang.
  bool HasGuaranteedShape = false;
};

/// The pod that runs the job, or null when the gang fits none:
/// one that can start it now (the home first, else the less loaded of two that
/// the key's hash picks), else one with a guaranteed shape that can be
/// reclaimed, else the one with the least queued work for its size.
std::optional<PodId> choosePod(const JobRequest &job, const PodId &home,
                               const std::vector<PodCandidate> &candidates);

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_CHOICE_H
