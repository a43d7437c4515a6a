// The broker over the peer link: asks the other owners whether they know a key,
// and keeps what they report of their pods.
#ifndef CITRONGAP_DAEMON_PEER_BROKER_H
#define CITRONGAP_DAEMON_PEER_BROKER_H

#include "citrongap/daemon/job_front.h"
#include "citrongap/daemon/pod_broker.h"
#include "citrongap/policy/configuration.h"
#include "citrongap/policy/pod_choice.h"

#include <map>
#include <vector>

namespace citrongap {

class PeerBroker final : public PodBroker {
public:
  PeerBroker(EventLoop &loop, PodDirectory &directory);

  void configure(const Configuration &configuration);
  /// What the owner of a pod told of it.
  void onReport(const PodReport &report);
  /// How a delegated job ended.
  void onEnded(const EndNotice &message) { Delegates.onEnded(message); }
  void onOwnersChanged() { Delegates.onOwnersChanged(); }

  void choose(const PodId &home, const JobRequest &job,
              std::function<void(PodId)> callback) override;
  void delegate(const PodId &pod, const JobRequest &job,
                std::function<void(const Outcome &)> callback) override;
  PodId homeOf(const JobId &job) const override;
  void cancelDelegated(const PodId &pod, const JobId &job) override;

private:
  /// One question to all other pods.
  struct Question;

  std::vector<PodCandidate> candidatesFor(const PodId &home,
                                          const JobRequest &job) const;
  void answerQuestion(const std::shared_ptr<Question> &question);

  PodDirectory &Directory;
  Configuration Lists;
  /// Largest guaranteed gang of each account in each pod.
  std::map<std::pair<PodId, ClientAccountId>, Accelerators> Guaranteed;
  std::map<PodId, PodSummary> Summaries;
  JobFront Delegates;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_PEER_BROKER_H
