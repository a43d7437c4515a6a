// Wiring of one entry VM, and its planned stop. What it tells of itself is in
// node_status.cpp.
#include "citrongap/daemon/node.h"

#include "citrongap/base/log.h"

#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"node"};
constexpr Millis VmListInterval{1000};
constexpr Millis VmListPatience{2000};
constexpr Millis OwnershipInterval{200};
constexpr Millis ReportInterval{1000};
constexpr Seconds DrainLimit{8};
/// Open requests get their answer for so long before they are told to ask
/// again.
constexpr Seconds DrainWaiters{2};
constexpr Millis DrainInterval{50};
/// The balancer needs so long to send no more requests here.
constexpr Millis LingerAfterDrain{700};

/// The limits with a budget that logs its refusals.
HttpLimits withBudget(HttpLimits limits, std::size_t heldBytes) {
  limits.Budget = std::make_shared<ConnectionBudget>(heldBytes);
  limits.Budget->OnRefusals = [](RefusalCause cause, std::uint64_t count) {
    LogLine("refused by the limit of {}: {}", describe(cause), count);
  };
  return limits;
}

} // namespace

Node::Node(EventLoop &loop, Settings settings)
    : Loop(loop), Config(std::move(settings)), Http(loop, Config.Http.Ip),
      LogService(Http, Config.Platform),
      VmService(Http, Config.Platform, Config.DataCentre), Backends(Http),
      Link(loop, Config.Self, Config.Peer), Members(loop,
                                                    {Config.Self,
                                                     Config.DataCentre,
                                                     Config.Peer,
                                                     MemberState::Alive,
                                                     0,
                                                     {}},
                                                    Random::fromDevice()),
      Follower(loop, LogService, Random::fromDevice()),
      Claims(loop, LogService, Config.Self), Directory(loop, Link, Members),
      Broker(loop, Directory),
      Owner(loop, Backends, Claims, Broker, Config.Self, Config.DataCentre,
            Config.Terms,
            [this](const EntryVmId &front, const EndNotice &message,
                   std::function<void(bool)> callback) {
              Directory.notify(front, message, std::move(callback));
            }),
      Front(loop, Directory),
      Api(*this, Front, Counted, Config.MaxOpenRequests),
      Server(
          loop, withBudget(Config.Limits, Config.HeldBytes),
          [this](const HttpRequest &request, const HttpResponder &responder) {
            Api.handle(request, responder);
          }) {
  Directory.bind(Owner, Front, Broker);
}

Node::~Node() = default;

bool Node::start() {
  if (!Server.listen(Config.Http)) {
    LogLine("can't listen on {}", Config.Http.str());
    return false;
  }
  Link.setHandler([this](const EntryVmId &from, const std::string &body,
                         const PeerResponder &respond) {
    onPeerRequest(from, body, respond);
  });
  if (!Link.listening() || !Members.listening()) {
    LogLine("can't listen on {}", Config.Peer.str());
    return false;
  }
  Members.Changed.connect(
      [this](const Member &member) { onMemberChanged(member); });
  Follower.InForce.connect([this](const Configuration &lists, Revision at) {
    LogLine("revision {} is in force", at.value());
    Owner.configure(lists);
    Broker.configure(lists);
    Members.setRevision(at);
  });
  Follower.start();
  Claims.start();
  Wait.start(monoNow());
  fetchVmList();
  VmTimer = Loop.every(VmListInterval, [this] { fetchVmList(); });
  OwnershipTimer = Loop.every(OwnershipInterval, [this] { checkOwnership(); });
  ReportTimer = Loop.every(ReportInterval, [this] { reportPod(); });
  LogLine("{} serves callers on {}, peers on {}", Config.Self.str(),
          Config.Http.str(), Config.Peer.str());
  return true;
}

void Node::fetchVmList() {
  if (std::exchange(FetchInFlight, true))
    return;
  VmService.fetch(monoNow() + VmListPatience,
                  [this](const PortResult<VmList> &result) {
                    FetchInFlight = false;
                    if (const auto *list = std::get_if<VmList>(&result))
                      onVmList(*list);
                  });
}

void Node::onVmList(const VmList &list) {
  VmListKnown = true;
  std::vector<Member> listed;
  for (const auto &it : list.EntryVms) {
    const MemberState state =
        it.Leaving ? MemberState::Leaving : MemberState::Alive;
    listed.push_back({it.Id, it.DataCentre, it.Address, state, 0, {}});
    if (it.Id != Config.Self)
      Link.setAddress(it.Id, it.Address);
  }
  Members.setListed(listed);
  std::vector<BackendServer> own;
  for (const auto &it : list.BackendServers)
    if (it.DataCentre == Config.DataCentre)
      own.push_back(it);
  Owner.setServers(own);
  checkOwnership();
}

void Node::onMemberChanged(const Member &member) {
  checkOwnership();
  Front.onOwnersChanged();
  Broker.onOwnersChanged();
  if (member.Id != Config.Self && member.InForce > revision())
    fetchConfigurationFrom(member);
}

void Node::fetchConfigurationFrom(const Member &member) {
  Link.request(member.Id, encodeRequest(FetchConfiguration{}),
               monoNow() + VmListPatience, [this](const PeerResult &result) {
                 const auto *bytes = std::get_if<std::string>(&result);
                 PeerAnswer answer;
                 if (!bytes || !decodeAnswer(*bytes, answer))
                   return;
                 if (const auto *state =
                         std::get_if<ConfigurationState>(&answer))
                   Follower.importState(state->Text);
               });
}

void Node::checkOwnership() {
  if (Leaving || !VmListKnown)
    return;
  const auto owner = ownerAmong(Owner.pod(), Members.members());
  const bool mine = owner && owner->Id == Config.Self;
  if (!mine) {
    if (owner)
      Wait.onOtherOwner();
    else
      Wait.onNoOwner();
    if (Owner.active())
      handOverPod();
    return;
  }
  if (Owner.active())
    return;
  if (Wait.over(monoNow())) {
    Owner.activate({});
    Front.onOwnersChanged();
    Broker.onOwnersChanged();
  }
}

void Node::onPeerRequest(const EntryVmId &from, const std::string &body,
                         const PeerResponder &respond) {
  PeerRequest request;
  if (!decodeRequest(body, request)) {
    LogLine("{} sent an unreadable request of {} bytes", from.str(),
            body.size());
    return;
  }
  if (Directory.serve(from, request, respond))
    return;
  if (const auto *message = std::get_if<HandOverPod>(&request)) {
    takeHandOver(*message);
    respond(encodeAnswer(Acknowledged{}));
  } else {
    respond(encodeAnswer(ConfigurationState{Follower.exportState()}));
  }
}

void Node::takeHandOver(const HandOverPod &message) {
  if (message.Pod != Owner.pod() || Leaving)
    return;
  Owner.activate({message.Leases.begin(), message.Leases.end()});
  for (const auto &it : message.Jobs)
    Owner.submit(it, {std::nullopt, false, true}, [](const JobView &) {});
  Front.onOwnersChanged();
  Broker.onOwnersChanged();
}

void Node::handOverPod() {
  if (!Owner.active())
    return;
  const auto successor = ownerAmong(Owner.pod(), Members.members());
  const HandOverPod message = Owner.handOver();
  if (!successor || successor->Id == Config.Self)
    return;
  LogLine("handing pod {} over to {}", message.Pod.str(), successor->Id.str());
  Link.request(successor->Id, encodeRequest(message),
               monoNow() + TakeOverWait::HandOverPatience,
               [](const PeerResult &) {});
}

void Node::reportPod() {
  if (!Owner.active() || Owner.recovering())
    return;
  const PodReport report{Owner.pod(), Owner.summary()};
  Broker.onReport(report);
  std::vector<PodId> others;
  for (const auto &[id, it] : configuration().DataCentres)
    if (id != Config.DataCentre)
      others.emplace_back(id.str());
  Directory.report(report, others);
}

void Node::drain() {
  if (std::exchange(Leaving, true))
    return;
  LogLine("leaving by plan");
  Members.leave();
  handOverPod();
  Front.onOwnersChanged();
  Broker.onOwnersChanged();
  Front.passOn();
  DrainUntil = monoNow() + DrainLimit;
  const MonoTime releaseAt = monoNow() + DrainWaiters;
  DrainTimer = Loop.every(DrainInterval, [this, releaseAt] {
    if (monoNow() >= releaseAt)
      Front.releaseWaiters();
    if (Api.openRequests() > 0 && monoNow() < DrainUntil)
      return;
    finishDrain();
  });
}

void Node::finishDrain() {
  Server.stopAccepting();
  DrainTimer = Loop.at(monoNow() + LingerAfterDrain, [this] {
    LogLine("left with {} open requests", Api.openRequests());
    Loop.stop();
  });
}

} // namespace citrongap
