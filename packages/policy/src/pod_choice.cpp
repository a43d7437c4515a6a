// Choice of a pod by the power of two choices on pod summaries, then by
// guarantees, then by queue lengths.
#include "citrongap/policy/pod_choice.h"

#include "citrongap/base/hash.h"

#include <algorithm>

namespace citrongap {

namespace {

using Candidates = std::vector<const PodCandidate *>;

Candidates filter(const Candidates &all,
                  bool (*test)(const PodCandidate &, const JobRequest &),
                  const JobRequest &job) {
  Candidates out;
  std::copy_if(all.begin(), all.end(), std::back_inserter(out),
               [&](const PodCandidate *it) { return test(*it, job); });
  return out;
}

/// Queued jobs per declared accelerator.
double queuePressure(const PodCandidate &it) {
  return static_cast<double>(it.Summary.QueuedJobs) /
         static_cast<double>(std::max(it.DeclaredCapacity.Count, 1U));
}

double freeFraction(const PodCandidate &it) {
  return static_cast<double>(it.Summary.Free.Count) /
         static_cast<double>(std::max(it.DeclaredCapacity.Count, 1U));
}

std::size_t pickByKey(const JobRequest &job, const Candidates &among) {
  std::vector<std::string_view> names;
  names.reserve(among.size());
  for (const auto *it : among)
    names.push_back(it->Pod.str());
  return rendezvousPick(job.Id.str(), names);
}

const PodCandidate *betterOfTwo(const JobRequest &job, Candidates among) {
  const std::size_t first = pickByKey(job, among);
  const PodCandidate *one = among[first];
  among.erase(among.begin() + static_cast<std::ptrdiff_t>(first));
  if (among.empty())
    return one;
  const PodCandidate *two = among[pickByKey(job, among)];
  return freeFraction(*two) > freeFraction(*one) ? two : one;
}

} // namespace

std::optional<PodId> choosePod(const JobRequest &job, const PodId &home,
                               const std::vector<PodCandidate> &candidates) {
  Candidates all;
  for (const auto &it : candidates)
    if (it.DeclaredCapacity >= job.Gang)
      all.push_back(&it);
  if (all.empty())
    return std::nullopt;
  const auto startable = filter(
      all,
      [](const PodCandidate &it, const JobRequest &request) {
        return it.Summary.LargestFree >= request.Gang &&
               it.Summary.QueuedJobs == 0;
      },
      job);
  const auto local =
      std::find_if(startable.begin(), startable.end(),
                   [&](const PodCandidate *it) { return it->Pod == home; });
  if (local != startable.end())
    return home;
  if (!startable.empty())
    return betterOfTwo(job, startable)->Pod;
  const auto guaranteed = filter(
      all,
      [](const PodCandidate &it, const JobRequest &) {
        return it.HasGuaranteedShape;
      },
      job);
  const Candidates &among = guaranteed.empty() ? all : guaranteed;
  return (*std::min_element(among.begin(), among.end(),
                            [](const auto *lhs, const auto *rhs) {
                              return queuePressure(*lhs) < queuePressure(*rhs);
                            }))
      ->Pod;
}

} // namespace citrongap
