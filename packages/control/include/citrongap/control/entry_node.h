// One entry VM: answers callers from the board, follows the configuration, and
// owns the pod while the group says so. Outside systems come in as ports and
// readers.
#ifndef CITRONGAP_CONTROL_ENTRY_NODE_H
#define CITRONGAP_CONTROL_ENTRY_NODE_H

#include "citrongap/control/control_metrics.h"
#include "citrongap/control/pod_controller.h"
#include "citrongap/control/request_front.h"
#include "citrongap/store/owner_election.h"

#include <functional>
#include <memory>
#include <string>

namespace citrongap {

struct EntryNodeSettings {
  EntryVmId Self;
  /// Distinguishes the lives of one entry VM in the store.
  std::string IncarnationId;
  /// Where peers reach this entry VM: "IP:PORT"; empty for nowhere.
  std::string PeerAddress;
  TopicId Jobs{"keyed.jobs"};
  TopicId Configuration;
  std::string ConfigurationKey;
  TopicId Servers;
  FrontOptions Front;
  ControllerOptions Controller;
  ElectionOptions Election;
  /// A caller whose record is refused for 0.4 s is better off elsewhere.
  AppenderOptions Appender{.RefusalTimeout = Millis(400)};
  /// Between reads of the jobs by an entry VM that is not the owner; callers'
  /// questions bring a read forward. What comes meanwhile in a burst, 25 KB,
  /// takes 20 ms on a link of 10 Mbit/s.
  Millis FollowerReadInterval{250};
  /// A long poll of the store; its end shows that nothing was missed.
  Millis FollowerPollWait{1000};
  /// After the wait; then a read counts as unanswered.
  Millis FollowerAnswerTimeout{1000};
};

struct SiteParsers {
  SubmissionParser Submission;
  ServerEntryParser Server;
  std::function<Checked<SiteConfiguration>(const std::string &)> Configuration;
};

class EntryNode {
public:
  EntryNode(EventLoop &loop, StorePort &store, FleetPort &fleet, EventLog &log,
            EntryNodeSettings settings, SiteParsers parsers);

  void start();
  /// A peer's address became known.
  std::function<void(const EntryVmId &id, const std::string &at)> OnPeer;
  void handle(const CallerRequest &request, const RequestFront::Reply &reply);
  /// New connections may come here.
  bool ready() const;
  /// Hands the pod over and becomes not ready; open requests go on.
  void drain();
  /// Answers what is still open, as the process is about to end.
  void failPendingRequests() { Front.failPendingRequests(); }
  std::size_t openRequests() const { return Front.pendingRequests(); }
  std::size_t maxBodyBytes() const;
  /// Counters and histograms as text.
  std::string metrics() const;

private:
  /// Tells peers where this entry VM is reached.
  void announce();
  void onConfiguration(const KeyedRecord &record);
  void onOwnership(bool isOwner);
  void reportHealth(TopicReader &reader, const char *topic);
  TopicReaderOptions followerOptions() const;

  EventLoop &Loop;
  EventLog &Log;
  Timer AnnounceTimer;
  Timer TakeOverTimer;
  EntryNodeSettings Settings;
  SiteParsers Parsers;
  ControlMetrics Metrics;
  WorkRegistry Registry;
  TopicReader JobsReader;
  TopicReader ConfigurationReader;
  BatchAppender FrontAppender;
  RequestFront Front;
  PodController Controller;
  OwnerElection Election;
  bool Draining = false;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_ENTRY_NODE_H
