// What an entry VM tells of itself: status, configuration, metrics; and the
// publication of configuration changes.
#include "citrongap/base/hash.h"
#include "citrongap/daemon/job_json.h"
#include "citrongap/daemon/node.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap {

namespace {

using nlohmann::json;

constexpr Seconds PublishPatience{10};
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

/// Names come from peers too: bytes that are not UTF-8 are replaced.
std::string dump(const json &it) {
  return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

json membersJson(const std::vector<Member> &members) {
  json out = json::array();
  for (const auto &it : members)
    out.push_back({{"id", it.Id.str()},
                   {"data_centre", it.DataCentre.str()},
                   {"state", toString(it.State)},
                   {"revision", it.InForce.value()}});
  return out;
}

HttpResponse publishResponse(const PublishResult &result) {
  return std::visit(
      Overloaded{
          [](const ConfigurationAccepted &it) {
            return HttpResponse{
                200, dump({{"accepted", true}, {"revision", it.At.value()}})};
          },
          [](const ConfigurationRefused &it) {
            json findings = json::array();
            for (const auto &finding : it.Found.items())
              findings.push_back(
                  {{"place", finding.Location}, {"message", finding.Message}});
            return HttpResponse{
                Conflict, dump({{"accepted", false}, {"findings", findings}})};
          },
          [](const Unconfirmed &it) {
            return HttpResponse{
                Unavailable,
                dump({{"accepted", nullptr},
                      {"error", "the change is unconfirmed: " + it.Reason +
                                    "; look at the revision before "
                                    "publishing again"}})};
          }},
      result);
}

} // namespace

const Configuration &Node::configuration() const {
  return Follower.configuration();
}

Revision Node::revision() const { return Follower.revision(); }

PodId Node::homeOf(const JobId &job) const {
  std::vector<std::string_view> reachable;
  for (const auto &[id, it] : configuration().DataCentres) {
    const bool here = id == Config.DataCentre;
    if (here || !Directory.ownerOf(PodId(id.str())).empty())
      reachable.push_back(id.str());
  }
  const std::size_t picked = rendezvousPick(job.str(), reachable);
  if (picked == reachable.size())
    return PodId(Config.DataCentre.str());
  return PodId(std::string(reachable[picked]));
}

bool Node::fitsSomePod(Accelerators gang) const {
  const auto &centres = configuration().DataCentres;
  return std::any_of(centres.begin(), centres.end(),
                     [&](const auto &it) { return it.second.total() >= gang; });
}

std::string Node::statusJson() const {
  const PodSummary summary = Owner.summary();
  json out{{"entry_vm", Config.Self.str()},
           {"data_centre", Config.DataCentre.str()},
           {"leaving", Leaving},
           {"revision", revision().value()},
           {"log_reachable", Follower.logReachable()},
           {"open_requests", Api.openRequests()},
           {"open_jobs", Front.openJobs()},
           {"members", membersJson(Members.members())}};
  out["pod"] = {{"id", Owner.pod().str()},
                {"owner", Directory.ownerOf(Owner.pod())},
                {"owned_here", Owner.active()}};
  if (!Owner.active())
    return dump(out);
  json queues = json::object();
  for (const auto &[account, n] : Owner.queueLengths())
    queues[account.str()] = n;
  json unready = json::array();
  for (const auto &it : Owner.unreadyServers())
    unready.push_back(it.str());
  out["pod"].update({{"recovering", Owner.recovering()},
                     {"accelerators", summary.Total.Count},
                     {"free", summary.Free.Count},
                     {"largest_free", summary.LargestFree.Count},
                     {"queued", summary.QueuedJobs},
                     {"running", summary.RunningJobs},
                     {"quarantined", summary.QuarantinedServers},
                     {"queues", queues},
                     {"unready_servers", unready}});
  return dump(out);
}

std::string Node::configurationJson() const {
  return dump(
      {{"revision", revision().value()}, {"state", Follower.exportState()}});
}

std::string Node::metricsText() const {
  const PodSummary summary = Owner.summary();
  NodeFigures node;
  node.InForce = revision();
  node.OpenRequests = Api.openRequests();
  node.Free = summary.Free;
  node.RunningJobs = summary.RunningJobs;
  if (Owner.active())
    for (const auto &[account, n] : Owner.queueLengths())
      node.Queued[account] = n;
  return Counted.text(node) + Server.budget().metricsText();
}

void Node::publish(const std::string &body,
                   std::function<void(HttpResponse)> callback) {
  const auto record = decodeRecord(body);
  const auto *change = std::get_if<ConfigurationChange>(&record);
  if (!change) {
    Findings findings;
    findings.add("/", "is not a configuration change");
    callback({BadRequest, findingsJson(findings)});
    return;
  }
  Follower.publish(
      *change, monoNow() + PublishPatience,
      [callback = std::move(callback)](const PublishResult &result) {
        callback(publishResponse(result));
      });
}

} // namespace citrongap
