// Wires the parts of an entry VM.
#include "citrongap/control/entry_node.h"

#include <utility>

namespace citrongap {

namespace {

/// All entry VMs of the site are members of one group.
constexpr const char *OwnersGroup = "owners";
/// Of a producer that no other life uses: its name has this life's id.
constexpr Epoch FirstEpoch{1};
/// An owner that was fenced or could not record takes over again after this, if
/// the group still gives it the pod; a rightful successor is known by then.
constexpr Millis TakeOverAgainAfter{400};

} // namespace

TopicReaderOptions EntryNode::followTerms() const {
  TopicReaderOptions terms;
  terms.Wait = Settings.FollowWait;
  terms.AnswerTimeout = Settings.FollowAnswerWithin;
  return terms;
}

EntryNode::EntryNode(EventLoop &loop, StorePort &store, FleetPort &fleet,
                     EventLog &log, EntryNodeSettings settings,
                     SiteReaders readers)
    : Loop(loop), Log(log), Settings(std::move(settings)),
      Readers(std::move(readers)), Board(log),
      JobsTail(
          loop, store, Settings.Jobs, followTerms(),
          [this](const KeyedRecord &it) { Board.apply(it); },
          [this] {
            // Who does not know the jobs yet would be slow to take over.
            if (JobsTail.currentAsOf())
              Election.start();
            Controller.onTailAt(JobsTail.nextOffset());
            Front.onJobsRead();
          }),
      ConfigurationTail(
          loop, store, Settings.Configuration, followTerms(),
          [this](const KeyedRecord &it) { onConfiguration(it); }, [] {}),
      FrontAppender(loop, store, Settings.Jobs,
                    Settings.Self.str() + "/" + Settings.IncarnationId,
                    FirstEpoch, Settings.Appender),
      Front(loop, Board, JobsTail, ConfigurationTail, FrontAppender, log,
            Readers.Submission, Settings.Front),
      Controller(loop, store, fleet, Board, JobsTail, log, Metrics,
                 Settings.Jobs, Settings.Servers, Readers.Server,
                 Settings.Controller),
      Election(loop, store, OwnersGroup,
               Settings.Self.str() + "/" + Settings.IncarnationId,
               Settings.Jobs, Settings.Election) {
  Board.OnPeer = [this](const EntryVmId &id, const std::string &at) {
    if (OnPeer && id != Settings.Self)
      OnPeer(id, at);
  };
  Board.OnNews = [this](const WorkId &id) { Controller.onNews(id); };
  Election.OnChange = [this](bool holds) { onOwnership(holds); };
  FrontAppender.OnRetry = [this](const std::string &why) {
    Log("store", "append_retry", "why=\"{}\"", why);
    Front.refuseUnsent();
  };
  Controller.OnFenced = [this] {
    TakeOverAgain = Loop.at(monoNow() + TakeOverAgainAfter,
                            [this] { onOwnership(Election.isOwner()); });
  };
  watch(JobsTail, "jobs");
  watch(ConfigurationTail, "configuration");
}

void EntryNode::watch(TopicReader &tail, const char *topic) {
  tail.OnHealth = [this, topic](bool works, const std::string &reason) {
    Log("store", works ? "regained" : "lost", "topic={} why=\"{}\"", topic,
        reason);
    Metrics.StoreLosses += works ? 0U : 1U;
  };
}

void EntryNode::start() {
  JobsTail.setReadInterval(Settings.FollowerSpacing);
  ConfigurationTail.start();
  JobsTail.start();
  if (!Settings.PeerAddress.empty())
    announce();
}

void EntryNode::announce() {
  FrontAppender.append(
      {{peerKey(Settings.Self), Settings.PeerAddress}}, [this](bool appended) {
        if (!appended)
          AnnounceAgain =
              Loop.at(monoNow() + Seconds(1), [this] { announce(); });
      });
}

void EntryNode::onConfiguration(const KeyedRecord &record) {
  if (record.Key != Settings.ConfigurationKey || !record.Value)
    return;
  auto read = Readers.Configuration(*record.Value);
  auto *configuration = std::get_if<SiteConfiguration>(&read);
  if (!configuration) {
    Log("configuration", "ignored", "why=\"{}\"",
        std::get<Findings>(read).text());
    return;
  }
  const SiteConfiguration *old = Front.configuration();
  if (old && configuration->InForce <= old->InForce)
    return;
  Log("configuration", "in_force", "revision={} queues={} accounts={} keys={}",
      configuration->InForce.value(), configuration->Queues.size(),
      configuration->Accounts.size(), configuration->AccountByKey.size());
  Controller.setGuarantees(configuration->guarantees());
  Front.setConfiguration(std::move(*configuration));
}

void EntryNode::onOwnership(bool holds) {
  Log("owner", holds ? "elected" : "not_owner", "generation={}",
      Election.generation().value());
  JobsTail.setReadInterval(holds ? Millis(0) : Settings.FollowerSpacing);
  if (!holds)
    Controller.stepDown("the group gave the pod to another member");
  else if (!Controller.owns())
    Controller.takeOver(Election.nextEpoch());
}

void EntryNode::handle(const CallerRequest &request,
                       const RequestFront::Reply &reply) {
  const MonoTime came = monoNow();
  Front.handle(request, [this, came, reply](const CallerAnswer &answer) {
    ++Metrics.Answers[describe(answer)];
    Metrics.AnswerTime.observe(monoNow() - came);
    reply(answer);
  });
}

bool EntryNode::ready() const { return !Draining && Front.connected(); }

void EntryNode::drain() {
  if (std::exchange(Draining, true))
    return;
  Log("node", "draining", "open={}", Front.open());
  Controller.stepDown("this entry VM is leaving");
  Election.leave();
}

std::size_t EntryNode::maxBodyBytes() const {
  constexpr std::size_t BeforeConfiguration = 262144;
  const SiteConfiguration *it = Front.configuration();
  return it ? it->MaxBodyBytes : BeforeConfiguration;
}

std::string EntryNode::metrics() const {
  std::string out = Metrics.text();
  out += fmt::format("citrongap_jobs {}\n", Board.all().size());
  out += fmt::format("citrongap_owner {}\n", Controller.active() ? 1 : 0);
  out += fmt::format("citrongap_log_lines_dropped_total {}\n", Log.dropped());
  return out;
}

} // namespace citrongap
