// Calls about jobs, to whoever owns the pod now.
#include "citrongap/daemon/peer_directory.h"

#include "citrongap/peer/ownership.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {
constexpr Millis NotifyPatience{1000};
constexpr Millis NotifyAgainAfter{200};
} // namespace

std::optional<Member> ownerAmong(const PodId &pod,
                                 const std::vector<Member> &members) {
  const auto owner = ownerOf(pod, members, DataCentreId(pod.str()));
  if (!owner)
    return std::nullopt;
  return *std::find_if(members.begin(), members.end(),
                       [&](const Member &it) { return it.Id == *owner; });
}

PeerDirectory::PeerDirectory(EventLoop &loop, PeerLink &link,
                             Membership &membership)
    : Loop(loop), Link(link), Members(membership) {}

void PeerDirectory::bind(PodOwner &owner, JobFront &front, PeerBroker &broker) {
  Owner = &owner;
  Front = &front;
  Broker = &broker;
}

std::string PeerDirectory::ownerOf(const PodId &pod) const {
  const auto owner = ownerAmong(pod, Members.members());
  return owner ? owner->Id.str() + "@" + std::to_string(owner->Incarnation)
               : "";
}

bool PeerDirectory::ownedHere(const PodId &pod) const {
  return Owner->active() && Owner->pod() == pod;
}

void PeerDirectory::later(std::function<void()> callback) {
  auto timer = std::make_shared<Timer>();
  *timer = Loop.at(monoNow(), [callback = std::move(callback), timer] {
    callback();
    timer->cancel();
  });
}

void PeerDirectory::ask(const PodId &pod, const PeerRequest &request,
                        MonoTime deadline, ViewCallback callback) {
  const auto owner = ownerAmong(pod, Members.members());
  if (!owner || owner->Id == Members.self().Id) {
    later([callback = std::move(callback)] { callback(std::nullopt); });
    return;
  }
  Link.request(owner->Id, encodeRequest(request), deadline,
               [callback = std::move(callback)](const PeerResult &result) {
                 const auto *bytes = std::get_if<std::string>(&result);
                 PeerAnswer answer;
                 const auto *view = bytes && decodeAnswer(*bytes, answer)
                                        ? std::get_if<JobView>(&answer)
                                        : nullptr;
                 callback(view ? std::optional(*view) : std::nullopt);
               });
}

void PeerDirectory::submit(const SubmitJob &message, MonoTime deadline,
                           ViewCallback callback) {
  if (!ownedHere(message.Pod))
    return ask(message.Pod, message, deadline, std::move(callback));
  Owner->submit(message.Job, Members.self().Id, message.Delegated,
                [this, callback = std::move(callback)](const JobView &view) {
                  later([callback, view] { callback(view); });
                });
}

void PeerDirectory::query(const QueryJob &message, MonoTime deadline,
                          ViewCallback callback) {
  if (!ownedHere(message.Pod))
    return ask(message.Pod, message, deadline, std::move(callback));
  const JobView view = Owner->view(message.Job);
  later([callback = std::move(callback), view] { callback(view); });
}

void PeerDirectory::cancel(const CancelJob &message, MonoTime deadline,
                           ViewCallback callback) {
  if (!ownedHere(message.Pod))
    return ask(message.Pod, message, deadline, std::move(callback));
  Owner->cancel(message.Job, [callback = std::move(callback)](
                                 const JobView &view) { callback(view); });
}

void PeerDirectory::guard(const GuardJob &message, MonoTime deadline,
                          std::function<void(bool)> callback) {
  for (const auto &it : Members.members()) {
    const bool other = it.Id != Members.self().Id &&
                       it.DataCentre == Members.self().DataCentre;
    if (!other || it.State != MemberState::Alive)
      continue;
    Link.request(it.Id, encodeRequest(message), deadline,
                 [callback = std::move(callback)](const PeerResult &result) {
                   callback(std::holds_alternative<std::string>(result));
                 });
    return;
  }
  later([callback = std::move(callback)] { callback(false); });
}

bool PeerDirectory::gone(const EntryVmId &member) const {
  const auto members = Members.members();
  const auto it = std::find_if(members.begin(), members.end(),
                               [&](const Member &m) { return m.Id == member; });
  return it == members.end() || it->State == MemberState::Dead;
}

void PeerDirectory::notify(const EntryVmId &front, const EndNotice &message,
                           std::function<void(bool)> callback) {
  if (front == Members.self().Id) {
    Front->onEnded(message);
    Broker->onEnded(message);
    later([callback = std::move(callback)] { callback(true); });
    return;
  }
  if (gone(front)) {
    later([callback = std::move(callback)] { callback(false); });
    return;
  }
  Link.request(front, encodeRequest(message), monoNow() + NotifyPatience,
               [this, front, message, callback = std::move(callback)](
                   const PeerResult &result) mutable {
                 if (std::holds_alternative<std::string>(result))
                   return callback(true);
                 auto timer = std::make_shared<Timer>();
                 *timer = Loop.at(monoNow() + NotifyAgainAfter,
                                  [this, front, message, timer,
                                   callback = std::move(callback)]() mutable {
                                    notify(front, message, std::move(callback));
                                    timer->cancel();
                                  });
               });
}

void PeerDirectory::report(const PodReport &report,
                           const std::vector<PodId> &pods) {
  for (const auto &pod : pods) {
    const auto owner = ownerAmong(pod, Members.members());
    if (owner && owner->Id != Members.self().Id)
      Link.request(owner->Id, encodeRequest(report), monoNow() + NotifyPatience,
                   [](const PeerResult &) {});
  }
}

bool PeerDirectory::serve(const EntryVmId &from, const PeerRequest &request,
                          const PeerResponder &respond) {
  const auto owned = [&](const PodId &pod) {
    if (!ownedHere(pod))
      respond(encodeAnswer(NotOwner{}));
    return ownedHere(pod);
  };
  return std::visit(
      Overloaded{[&](const SubmitJob &it) {
                   if (owned(it.Pod))
                     Owner->submit(it.Job, from, it.Delegated,
                                   [respond](const JobView &view) {
                                     respond(encodeAnswer(view));
                                   });
                   return true;
                 },
                 [&](const QueryJob &it) {
                   if (owned(it.Pod))
                     respond(encodeAnswer(Owner->view(it.Job)));
                   return true;
                 },
                 [&](const CancelJob &it) {
                   if (owned(it.Pod))
                     Owner->cancel(it.Job, [respond](const JobView &view) {
                       respond(encodeAnswer(view));
                     });
                   return true;
                 },
                 [&](const EndNotice &it) {
                   Front->onEnded(it);
                   Broker->onEnded(it);
                   respond(encodeAnswer(Acknowledged{}));
                   return true;
                 },
                 [&](const GuardJob &it) {
                   Front->guard(it);
                   respond(encodeAnswer(Acknowledged{}));
                   return true;
                 },
                 [&](const PodReport &it) {
                   Broker->onReport(it);
                   respond(encodeAnswer(Acknowledged{}));
                   return true;
                 },
                 [](const auto &) { return false; }},
      request);
}

} // namespace citrongap
