// Connects the components of an entry VM.
#include "citrongap/control/entry_node.h"

#include <utility>

namespace citrongap {

namespace {

/// Group that all entry VMs of the site join.
constexpr const char *OwnersGroup = "owners";
/// Epoch of a producer that no other incarnation uses: its name contains the
/// incarnation id.
constexpr Epoch FirstEpoch{1};
/// Interval of reads of the peers' addresses while the jobs are not loaded.
constexpr Millis LoadPeersInterval{1000};
/// Delay before an owner that was fenced or could not record takes over again,
/// if it is still elected. A new owner would have been elected by then.
constexpr Millis TakeOverRetryDelay{400};

} // namespace

TopicReaderOptions EntryNode::followerOptions() const {
  TopicReaderOptions options;
  options.Wait = Settings.FollowerPollWait;
  options.AnswerTimeout = Settings.FollowerAnswerTimeout;
  return options;
}

TopicReaderOptions EntryNode::jobsOptions() const {
  TopicReaderOptions options = followerOptions();
  options.Load = ReadSize::Bulk;
  options.LoadTimeout = Settings.JobsLoadTimeout;
  return options;
}

EntryNode::EntryNode(EventLoop &loop, StorePort &store, FleetPort &fleet,
                     EventLog &log, EntryNodeSettings settings,
                     SiteParsers parsers, PeerTransport askPeers)
    : Loop(loop), Log(log), Store(store), Settings(std::move(settings)),
      Parsers(std::move(parsers)), Registry(log),
      JobsReader(
          loop, store, Settings.Jobs, jobsOptions(),
          [this](const KeyedRecord &it) { Registry.apply(it); },
          [this] { onJobsRead(); }),
      ConfigurationReader(
          loop, store, Settings.Configuration, followerOptions(),
          [this](const KeyedRecord &it) { onConfiguration(it); },
          [this] { loadJobs(); }),
      FrontAppender(loop, store, Settings.Jobs,
                    Settings.Self.str() + "/" + Settings.IncarnationId,
                    FirstEpoch, Settings.Appender),
      Relay(std::move(askPeers), QueryRelayOptions{}),
      Front(loop, Registry, JobsReader, ConfigurationReader, FrontAppender, log,
            Parsers.Submission, Settings.Front),
      Controller(loop, store, fleet, Registry, JobsReader, log, Metrics,
                 Settings.Jobs, Settings.Servers, Parsers.Server,
                 Settings.Controller),
      Election(loop, store, OwnersGroup,
               Settings.Self.str() + "/" + Settings.IncarnationId,
               Settings.Jobs, Settings.Election) {
  Registry.OnPeer = [this](const EntryVmId &id, const std::string &at) {
    if (OnPeer && id != Settings.Self)
      OnPeer(id, at);
  };
  Registry.OnHolder = [this](const EntryVmId &id, const std::string &at) {
    const auto peer = parseEndpoint(at);
    if (peer && id != Settings.Self)
      Relay.setHolder(id.str(), *peer);
  };
  Front.AskPeer = [this](const JobQuestion &question, QueryRelay::Reply done) {
    Relay.ask(question, std::move(done));
  };
  Registry.OnJobChange = [this](const WorkId &id) {
    Controller.onJobChange(id);
  };
  Election.OnChange = [this](bool isOwner) { onOwnership(isOwner); };
  FrontAppender.OnRetry = [this](const std::string &why) {
    Log("store", "append_retry", "why=\"{}\"", why);
    Front.refuseUnsent();
  };
  Controller.MayAct = [this] { return Election.isOwner(); };
  Controller.OnFenced = [this] {
    TakeOverTimer = Loop.at(monoNow() + TakeOverRetryDelay,
                            [this] { onOwnership(Election.isOwner()); });
  };
  JobsReader.OnLoaded = [this](const std::set<std::string> &keys) {
    JobsLoadedAt = monoNow();
    const std::size_t removed = Registry.removeEndedExcept(keys);
    Log("store", "loaded",
        "topic=jobs keys={} ended_jobs_removed={} read_to={}", keys.size(),
        removed, JobsReader.nextOffset().value());
  };
  ConfigurationReader.OnLoaded = [this](const std::set<std::string> &keys) {
    onConfigurationLoaded(keys);
  };
  reportHealth(JobsReader, "jobs");
  reportHealth(ConfigurationReader, "configuration");
}

void EntryNode::reportHealth(TopicReader &reader, const char *topic) {
  reader.OnHealth = [this, topic](bool works, const std::string &reason) {
    Log("store", works ? "regained" : "lost", "topic={} why=\"{}\"", topic,
        reason);
    Metrics.StoreLosses += works ? 0U : 1U;
  };
}

void EntryNode::onJobsRead() {
  const auto asOf = JobsReader.currentAsOf();
  // Before the first complete read, a take-over would be slow.
  if (asOf)
    Election.start();
  if (JobsLoadedAt && asOf && *asOf >= *JobsLoadedAt) {
    JobsLoadedAt.reset();
    if (const std::size_t removed = Registry.removeUnfound())
      Log("store", "unfound_removed", "topic=jobs jobs={}", removed);
  }
  Controller.onJobsReadUpTo(JobsReader.nextOffset());
  Front.onJobsRead();
}

void EntryNode::start() {
  JobsReader.setReadInterval(Settings.FollowerReadInterval);
  ConfigurationReader.start();
  LoadJobsTimer =
      Loop.at(monoNow() + Settings.LoadJobsAfter, [this] { loadJobs(); });
  loadPeers();
  if (!Settings.PeerAddress.empty())
    announce();
}

void EntryNode::loadJobs() {
  if (std::exchange(LoadingJobs, true))
    return;
  LoadJobsTimer.cancel();
  if (!Settings.Election.Standby) {
    JobsReader.start();
    return;
  }
  const auto delay =
      static_cast<std::uint64_t>(Settings.StandbyLoadDelay.count());
  const auto wait = Random::fromDevice().between(delay, 2 * delay);
  LoadJobsTimer = Loop.at(monoNow() + Millis(static_cast<std::int64_t>(wait)),
                          [this] { JobsReader.start(); });
}

void EntryNode::loadPeers() {
  if (JobsReader.loaded())
    return;
  Store.readLatest(
      Settings.Jobs, keyBeforePeers(), ReadSize::Small,
      monoNow() + Settings.FollowerAnswerTimeout,
      [this, alive = std::weak_ptr<int>(Alive)](
          const StoreResult<LatestValuesPage> &result) {
        if (!alive.lock())
          return;
        if (const auto *page = std::get_if<LatestValuesPage>(&result))
          for (const KeyedRecord &it : page->Records)
            Registry.apply(it);
        LoadPeersTimer =
            Loop.at(monoNow() + LoadPeersInterval, [this] { loadPeers(); });
      });
}

void EntryNode::announce() {
  std::vector<KeyedRecord> records{
      {leaseEndWriterKey(Settings.Self), "1"},
      {peerKey(Settings.Self), Settings.PeerAddress}};
  if (!Settings.Election.Standby)
    records.push_back({holderKey(Settings.Self), Settings.PeerAddress});
  FrontAppender.append(std::move(records), [this](AppendOutcome outcome) {
    if (outcome != AppendOutcome::Appended)
      AnnounceTimer = Loop.at(monoNow() + Seconds(1), [this] { announce(); });
  });
}

void EntryNode::onEvacuation(const DataCentreId &dataCentre, bool requested) {
  const bool changed = requested ? Evacuated.insert(dataCentre).second
                                 : Evacuated.erase(dataCentre) > 0;
  if (!changed)
    return;
  Log("configuration", requested ? "evacuate" : "evacuate_taken_back",
      "data_centre={}", dataCentre.str());
  Controller.setEvacuated(Evacuated);
}

void EntryNode::onConfigurationLoaded(const std::set<std::string> &keys) {
  for (const DataCentreId &it : std::set<DataCentreId>(Evacuated))
    if (!keys.contains(Settings.EvacuationPrefix + it.str()))
      onEvacuation(it, false);
}

void EntryNode::onConfiguration(const KeyedRecord &record) {
  const std::string &prefix = Settings.EvacuationPrefix;
  if (!prefix.empty() && record.Key.starts_with(prefix)) {
    onEvacuation(DataCentreId(record.Key.substr(prefix.size())),
                 record.Value.has_value());
    return;
  }
  if (record.Key != Settings.ConfigurationKey || !record.Value)
    return;
  auto parsed = Parsers.Configuration(*record.Value);
  auto *configuration = std::get_if<SiteConfiguration>(&parsed);
  if (!configuration) {
    Log("configuration", "ignored", "why=\"{}\"",
        std::get<Findings>(parsed).text());
    return;
  }
  const SiteConfiguration *current = Front.configuration();
  if (current && configuration->InForce <= current->InForce)
    return;
  Log("configuration", "in_force", "revision={} queues={} accounts={} keys={}",
      configuration->InForce.value(), configuration->Queues.size(),
      configuration->Accounts.size(), configuration->AccountByKey.size());
  Controller.setGuarantees(configuration->guarantees());
  Controller.addServices(configuration->namedServices());
  Front.setConfiguration(std::move(*configuration));
}

void EntryNode::onOwnership(bool isOwner) {
  Log("owner", isOwner ? "elected" : "not_owner", "generation={}",
      Election.generation().value());
  JobsReader.setReadInterval(isOwner ? Millis(0)
                                     : Settings.FollowerReadInterval);
  if (!isOwner)
    Controller.stepDown("the group assigned the pod to another member");
  else if (!Controller.owns())
    Controller.takeOver(Election.nextEpoch());
}

void EntryNode::handle(const CallerRequest &request,
                       const RequestFront::Reply &reply) {
  const MonoTime receivedAt = monoNow();
  Front.handle(request, [this, receivedAt, reply](const CallerAnswer &answer) {
    ++Metrics.Answers[describe(answer)];
    Metrics.AnswerTime.observe(monoNow() - receivedAt);
    reply(answer);
  });
}

void EntryNode::answerForPeer(const std::string &question,
                              std::function<void(std::string)> reply) {
  const auto decoded = decodeJobQuestion(question, monoNow());
  if (!decoded || !JobsReader.loaded()) {
    reply(encode(std::optional<CallerAnswer>()));
    return;
  }
  Front.answer(*decoded, [reply = std::move(reply)](const CallerAnswer &it) {
    reply(encode(std::optional<CallerAnswer>(it)));
  });
}

bool EntryNode::ready() const { return !Draining && Front.connected(); }

void EntryNode::drain() {
  if (std::exchange(Draining, true))
    return;
  Log("node", "draining", "open={}", Front.pendingRequests());
  Controller.stepDown("this entry VM is draining");
  Election.leave();
}

std::size_t EntryNode::maxBodyBytes() const {
  constexpr std::size_t DefaultMaxBodyBytes = 262144;
  const SiteConfiguration *it = Front.configuration();
  return it ? it->MaxBodyBytes : DefaultMaxBodyBytes;
}

std::string EntryNode::metrics() const {
  std::string out = Metrics.text();
  out += fmt::format("citrongap_jobs {}\n", Registry.all().size());
  out += fmt::format("citrongap_owner {}\n", Controller.active() ? 1 : 0);
  out += fmt::format("citrongap_log_lines_dropped_total {}\n", Log.dropped());
  return out;
}

} // namespace citrongap
