// Finds the owner of a pod among the members and asks it, over the peer link
// or in this process.
#ifndef CITRONGAP_DAEMON_PEER_DIRECTORY_H
#define CITRONGAP_DAEMON_PEER_DIRECTORY_H

#include "citrongap/daemon/job_front.h"
#include "citrongap/daemon/peer_broker.h"
#include "citrongap/daemon/pod_owner.h"
#include "citrongap/peer/membership.h"
#include "citrongap/peer/peer_link.h"

#include <memory>

namespace citrongap {

/// The member that owns `pod`; null when none is there.
std::optional<Member> ownerAmong(const PodId &pod,
                                 const std::vector<Member> &members);

class PeerDirectory final : public PodDirectory {
public:
  PeerDirectory(EventLoop &loop, PeerLink &link, Membership &membership);

  /// The parts of this process, set once they exist.
  void bind(PodOwner &owner, JobFront &front, PeerBroker &broker);

  void submit(const SubmitJob &message, MonoTime deadline,
              ViewCallback callback) override;
  void query(const QueryJob &message, MonoTime deadline,
             ViewCallback callback) override;
  void cancel(const CancelJob &message, MonoTime deadline,
              ViewCallback callback) override;
  void guard(const GuardJob &message, MonoTime deadline,
             std::function<void(bool)> callback) override;
  std::string ownerOf(const PodId &pod) const override;
  bool ownedHere(const PodId &pod) const override;

  /// Tells a front how a job ended; repeats until it took it or is gone.
  void notify(const EntryVmId &front, const EndNotice &message,
              std::function<void(bool)> callback);

  /// Tells the owners of other pods about the pod of this one.
  void report(const PodReport &report, const std::vector<PodId> &pods);

  /// Answers a request of another entry VM about jobs. False when the request
  /// is of another kind.
  bool serve(const EntryVmId &from, const PeerRequest &request,
             const PeerResponder &respond);

private:
  void ask(const PodId &pod, const PeerRequest &request, MonoTime deadline,
           ViewCallback callback);
  void later(std::function<void()> callback);
  bool gone(const EntryVmId &member) const;

  EventLoop &Loop;
  PeerLink &Link;
  Membership &Members;
  PodOwner *Owner = nullptr;
  JobFront *Front = nullptr;
  PeerBroker *Broker = nullptr;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_PEER_DIRECTORY_H
