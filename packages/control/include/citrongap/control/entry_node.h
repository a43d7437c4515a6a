// One entry VM: answers callers, follows the configuration, and owns the pod
// while it is elected. External systems are passed in as ports and parsers.
#ifndef CITRONGAP_CONTROL_ENTRY_NODE_H
#define CITRONGAP_CONTROL_ENTRY_NODE_H

#include "citrongap/control/control_metrics.h"
#include "citrongap/control/pod_controller.h"
#include "citrongap/control/query_relay.h"
#include "citrongap/control/request_front.h"
#include "citrongap/store/owner_election.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace citrongap {

struct EntryNodeSettings {
  EntryVmId Self;
  /// Distinguishes the incarnations of one entry VM in the store.
  std::string IncarnationId;
  /// Address for peers, "IP:PORT"; empty if there is none.
  std::string PeerAddress;
  TopicId Jobs{"keyed.jobs"};
  TopicId Configuration;
  std::string ConfigurationKey;
  /// In the configuration's topic, a record under this prefix and the id of a
  /// data centre asks for its evacuation. Empty: there are none.
  std::string EvacuationPrefix;
  TopicId Servers;
  FrontOptions Front;
  ControllerOptions Controller;
  ElectionOptions Election;
  /// After 0.4 s of refusals, the caller should try another entry VM.
  AppenderOptions Appender{.RefusalTimeout = Millis(400),
                           .UnknownTimeout = Millis(60000)};
  /// Interval of reads of the jobs topic by an entry VM that is not the owner;
  /// queries trigger earlier reads. In a burst, 25 KB arrive per interval,
  /// which take 20 ms on a 10 Mbit/s link.
  Millis FollowerReadInterval{250};
  /// Duration of a long poll of the store. Its answer confirms that no record
  /// was missed.
  Millis FollowerPollWait{1000};
  /// Limit for the answer after the wait.
  Millis FollowerAnswerTimeout{1000};
  /// Limit for the first byte of a page of the jobs, and between its bytes.
  Millis JobsLoadTimeout{3000};
  /// The jobs are loaded once the configuration is, or after this time.
  Millis LoadJobsAfter{500};
  /// A standby delays its load by a random time from one to two times this, so
  /// that entry VMs that can own the pod load first.
  Millis StandbyLoadDelay{1000};
};

/// Parsers of the site's own formats.
struct SiteParsers {
  SubmissionParser Submission;
  ServerEntryParser Server;
  std::function<Checked<SiteConfiguration>(const std::string &)> Configuration;
};

class EntryNode {
public:
  /// `askPeers` carries questions to peers' answerForPeer().
  EntryNode(EventLoop &loop, StorePort &store, FleetPort &fleet, EventLog &log,
            EntryNodeSettings settings, SiteParsers parsers,
            PeerTransport askPeers);

  void start();
  /// Called with each peer address read from the store.
  std::function<void(const EntryVmId &id, const std::string &at)> OnPeer;
  /// Calls `reply` exactly once.
  void handle(const CallerRequest &request, const RequestFront::Reply &reply);
  /// Answers an encoded JobQuestion of a peer with an encoded answer.
  void answerForPeer(const std::string &question,
                     std::function<void(std::string)> reply);
  /// Whether new connections may be routed here.
  bool ready() const;
  /// Gives up ownership and becomes not ready; pending requests continue.
  void drain();
  /// Answers all pending requests before the process exits.
  void failPendingRequests() { Front.failPendingRequests(); }
  std::size_t openRequests() const { return Front.pendingRequests(); }
  std::size_t maxBodyBytes() const;
  /// Metrics in the text format.
  std::string metrics() const;

private:
  /// Publishes this entry VM's address to its peers.
  void announce();
  /// Reads the addresses of the peers, which follow the jobs in the topic.
  void loadPeers();
  /// Starts the load of the jobs, or schedules it on a standby; once.
  void loadJobs();
  /// After each answer to a read of the jobs in order.
  void onJobsRead();
  void onConfiguration(const KeyedRecord &record);
  void onEvacuation(const DataCentreId &dataCentre, bool requested);
  /// Evacuations that were taken back while nobody read are not among the keys.
  void onConfigurationLoaded(const std::set<std::string> &keys);
  void onOwnership(bool isOwner);
  void reportHealth(TopicReader &reader, const char *topic);
  TopicReaderOptions followerOptions() const;
  TopicReaderOptions jobsOptions() const;

  EventLoop &Loop;
  EventLog &Log;
  StorePort &Store;
  Timer AnnounceTimer;
  Timer LoadPeersTimer;
  Timer LoadJobsTimer;
  bool LoadingJobs = false;
  /// End of the latest load of the jobs, until all that the store had then was
  /// read.
  std::optional<MonoTime> JobsLoadedAt;
  Timer TakeOverTimer;
  EntryNodeSettings Settings;
  SiteParsers Parsers;
  ControlMetrics Metrics;
  WorkRegistry Registry;
  TopicReader JobsReader;
  TopicReader ConfigurationReader;
  BatchAppender FrontAppender;
  QueryRelay Relay;
  RequestFront Front;
  PodController Controller;
  OwnerElection Election;
  bool Draining = false;
  /// Data centres in which nothing new starts.
  std::set<DataCentreId> Evacuated;
  /// Guards callbacks of store calls that outlive this object.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_ENTRY_NODE_H
