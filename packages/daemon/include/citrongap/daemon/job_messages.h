// Messages about jobs between entry VMs, and the port to a pod's owner.
#ifndef CITRONGAP_DAEMON_JOB_MESSAGES_H
#define CITRONGAP_DAEMON_JOB_MESSAGES_H

#include "citrongap/base/ids.h"
#include "citrongap/base/outcome.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/pod_scheduler.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace citrongap {

enum class JobStage : std::uint8_t { NotKnown, Waiting, Running, Ended };

/// What the owner of a pod knows of a job.
struct JobView {
  JobStage Stage = JobStage::NotKnown;
  /// Meaningful when ended.
  Outcome Ended;
  /// The pod that queues or runs it; empty when not known.
  PodId At;
  template <typename Archive> void serialize(Archive &ar) {
    ar(Stage, Ended, At);
  }
};

/// Front to owner: queue this job and tell `EndNotice` to the sender.
/// Idempotent.
struct SubmitJob {
  PodId Pod;
  JobRequest Job;
  /// The key's home chose this pod; it is not to be passed on again.
  bool Delegated = false;
  template <typename Archive> void serialize(Archive &ar) {
    ar(Pod, Job, Delegated);
  }
};

/// Front to owner.
struct QueryJob {
  PodId Pod;
  JobId Job;
  template <typename Archive> void serialize(Archive &ar) { ar(Pod, Job); }
};

/// Front to owner.
struct CancelJob {
  PodId Pod;
  JobId Job;
  template <typename Archive> void serialize(Archive &ar) { ar(Pod, Job); }
};

/// Owner to front. With `Final` false the front only stops submitting the job
/// again; callers are answered on the final one.
struct EndNotice {
  PodId Pod;
  JobId Job;
  Outcome Ended;
  bool Final = true;
  template <typename Archive> void serialize(Archive &ar) {
    ar(Pod, Job, Ended, Final);
  }
};

/// Front to another entry VM of its data centre: keep a second copy of the job
/// and see it through when this front dies.
struct GuardJob {
  PodId Pod;
  JobRequest Job;
  template <typename Archive> void serialize(Archive &ar) { ar(Pod, Job); }
};

/// Leaving owner to its successor: the leases and the waiting jobs.
struct HandOverPod {
  PodId Pod;
  std::vector<std::pair<BackendServerId, FencingToken>> Leases;
  std::vector<JobRequest> Jobs;
  template <typename Archive> void serialize(Archive &ar) {
    ar(Pod, Leases, Jobs);
  }
};

/// Owner to the owners of other pods, about once a second.
struct PodReport {
  PodId Pod;
  PodSummary Summary;
  template <typename Archive> void serialize(Archive &ar) { ar(Pod, Summary); }
};

/// Asks for the configuration that the other side has in force.
struct FetchConfiguration {
  template <typename Archive> void serialize(Archive &) {}
};

using PeerRequest =
    std::variant<SubmitJob, QueryJob, CancelJob, EndNotice, GuardJob,
                 HandOverPod, FetchConfiguration, PodReport>;

/// The receiver does not own the pod.
struct NotOwner {
  template <typename Archive> void serialize(Archive &) {}
};

struct Acknowledged {
  template <typename Archive> void serialize(Archive &) {}
};

struct ConfigurationState {
  std::string Text;
  template <typename Archive> void serialize(Archive &ar) { ar(Text); }
};

using PeerAnswer =
    std::variant<NotOwner, Acknowledged, JobView, ConfigurationState>;

std::string encodeRequest(const PeerRequest &it);
std::string encodeAnswer(const PeerAnswer &it);
/// False when the bytes are not a whole message.
bool decodeRequest(const std::string &bytes, PeerRequest &out);
bool decodeAnswer(const std::string &bytes, PeerAnswer &out);

} // namespace citrongap

#endif // CITRONGAP_DAEMON_JOB_MESSAGES_H
