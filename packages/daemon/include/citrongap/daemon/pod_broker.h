// Port between the owner of a pod and the other pods: where a job runs, and
// jobs that run elsewhere.
#ifndef CITRONGAP_DAEMON_POD_BROKER_H
#define CITRONGAP_DAEMON_POD_BROKER_H

#include "citrongap/daemon/job_messages.h"

#include <functional>

namespace citrongap {

class PodBroker {
public:
  virtual ~PodBroker() = default;

  /// The pod that runs the job already, else the one that should. Calls back
  /// once, possibly before returning.
  virtual void choose(const PodId &home, const JobRequest &job,
                      std::function<void(PodId)> callback) = 0;
  /// The home of a key among all pods of the lists, in reach or not.
  virtual PodId homeOf(const JobId &job) const = 0;
  /// Has another pod run the job; calls back with how it ended.
  virtual void delegate(const PodId &pod, const JobRequest &job,
                        std::function<void(const Outcome &)> callback) = 0;
  /// Cancels a delegated job; its end comes through `delegate`.
  virtual void cancelDelegated(const PodId &pod, const JobId &job) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_POD_BROKER_H
