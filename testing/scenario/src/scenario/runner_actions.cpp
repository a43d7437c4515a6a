// What a scenario does to its site: load, faults and publications.
#include "runner.h"

#include "citrongap/base/log.h"
#include "node_run.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

namespace citrongap::scenario {

using nlohmann::json;

namespace {

constexpr Log LogLine{"scenario"};
constexpr Millis ListLag{500};
constexpr Millis ControlPatience{5'000};
constexpr Millis PublishPatience{12'000};
constexpr std::uint32_t MaxWeight = 1000;

json scenarioLine(const char *event) {
  return {{"at", toMillis(monoNow())}, {"who", "scenario"}, {"event", event}};
}

} // namespace

void Runner::schedule() {
  for (const auto &it : Story.Actions) {
    ++Pending;
    later(it.After, [this, &it] { begin(it); });
  }
}

void Runner::begin(const TimedAction &action) {
  LogLine("{}", action.Text);
  json note = scenarioLine("note");
  note["text"] = action.Text;
  History.write(note);
  std::visit([this](const auto &it) { perform(it); }, action.Does);
  --Pending;
}

void Runner::perform(const KillNode &it) {
  NodeRun *node = nodeRun(it.Node);
  if (!node || node->Expected != NodeState::Live)
    return;
  json line = scenarioLine("fault");
  line.update({{"what", "kill"}, {"node", it.Node.str()}});
  History.write(line);
  node->Expected = NodeState::Killed;
  node->Child->signal(SIGKILL);
  impair(it.Node);
  offerLater(it.Node, false);
  sendVmList();
}

void Runner::perform(const StartNode &it) {
  NodeRun *node = nodeRun(it.Node);
  if (!node || node->Child->running())
    return;
  startNode(*node);
  impair(it.Node);
  offerLater(it.Node, true);
  sendVmList();
}

void Runner::perform(const DrainNode &it) {
  NodeRun *node = nodeRun(it.Node);
  if (!node || node->Expected != NodeState::Live)
    return;
  json line = scenarioLine("planned_stop");
  line["node"] = it.Node.str();
  History.write(line);
  node->Expected = NodeState::Drained;
  node->Child->signal(SIGTERM);
  impair(it.Node);
  offerLater(it.Node, false);
  sendVmList();
}

void Runner::perform(const FreezeNode &it) {
  NodeRun *node = nodeRun(it.Node);
  if (!node || node->Expected != NodeState::Live)
    return;
  node->Child->signal(SIGSTOP);
  impair(it.Node);
  later(it.For, [this, node] {
    node->Child->signal(SIGCONT);
    impair(node->About.Id);
  });
}

void Runner::perform(const CutPlatform &it) {
  const auto change = [this, centre = it.Centre](int by) {
    for (const auto &node : Where.nodes()) {
      if (node.Centre != centre)
        continue;
      CutFromPlatform[node.Http.Ip] += by;
      impair(node.Id);
    }
    sendCuts();
  };
  change(1);
  later(it.For, [change] { change(-1); });
}

void Runner::perform(const CutCentres &it) {
  const auto change = [this, it](bool cut) {
    for (std::size_t i = 0; i < Relays.size(); ++i) {
      const RelayPath &path = Where.relays()[i];
      const bool between = (path.From == it.One && path.To == it.Other) ||
                           (path.From == it.Other && path.To == it.One);
      if (between)
        Relays[i]->setCut(cut);
    }
  };
  change(true);
  later(it.For, [change] { change(false); });
}

void Runner::perform(const CutServers &it) {
  const auto *node = Where.node(it.Node);
  if (!node)
    return;
  const auto change = [this](const json &from) {
    for (const auto &server : Where.servers())
      post(server.At, json{{"refuse_from", from}}.dump());
  };
  change(json::array({node->Http.Ip}));
  later(it.For, [change] { change(json::array()); });
}

void Runner::perform(const PlatformFault &it) {
  post(Where.platform(), it.Begin);
  impairAll();
  if (it.End.empty())
    return;
  later(it.For, [this, end = it.End] {
    post(Where.platform(), end);
    impairAll();
  });
}

void Runner::perform(const ServerFault &it) {
  const auto *server = Where.server(it.Server);
  if (!server)
    return;
  post(server->At, it.Begin);
  later(it.For, [this, server, end = it.End] { post(server->At, end); });
}

void Runner::perform(const LeaveServer &it) {
  for (auto &vm : Vms)
    if (vm["id"] == it.Server.str())
      vm["state"] = "leaving";
  json line = scenarioLine("leaving");
  line.update({{"server", it.Server.str()},
               {"seen_at", toMillis(monoNow() + ListLag)}});
  History.write(line);
  sendVmList();
}

void Runner::perform(const Submit &it) {
  for (std::uint32_t i = 0; i < it.Count; ++i)
    Callers->submit(it.Job);
}

void Runner::perform(const Flood &it) {
  const auto total =
      static_cast<std::int64_t>(it.PerSecond) * it.For.count() / 1000;
  for (std::int64_t i = 0; i < total; ++i) {
    ++Pending;
    later(Millis(i * 1000 / it.PerSecond), [this, job = it.Job] {
      Callers->submit(job);
      --Pending;
    });
  }
}

void Runner::perform(const Publish &it) {
  Revision base;
  for (const auto &node : Nodes)
    base = std::max(base, node->InForce);
  const auto weight = static_cast<std::uint32_t>(Draw.between(2, MaxWeight));
  const auto accepted = std::make_shared<int>(0);
  for (std::size_t i = 0; i < it.Through.size(); ++i)
    if (const auto *node = Where.node(it.Through[i]))
      publishOne(*node, base, weight + static_cast<std::uint32_t>(i), accepted);
}

void Runner::publishOne(const Site::Node &node, Revision base,
                        std::uint32_t weight,
                        const std::shared_ptr<int> &accepted) {
  Configuration wanted = Lists;
  for (auto &[id, plan] : wanted.Plans)
    plan.Weight = weight;
  const ConfigurationChange change{Draw.uniqueId(), base, node.Id.str(),
                                   difference(Lists, wanted)};
  Http.call(node.Http, {"POST", "/v1/configuration", encodeChange(change), ""},
            monoNow() + PublishPatience,
            [this, accepted, base](const HttpResult &result) {
              const auto *response = std::get_if<HttpResponse>(&result);
              LogLine("published: {}",
                      response ? response->Body : std::string("no answer"));
              if (!response || response->Status != 200)
                return;
              if (++*accepted > 1)
                fail("two changes on one revision were accepted");
              mustConverge(base.next());
            });
}

/// Nodes that no fault touches until then must hold `revision` in time.
void Runner::mustConverge(Revision revision) {
  const MonoTime from = monoNow();
  later(Story.ConvergeWithin, [this, from, revision] {
    json line = scenarioLine("converge");
    json nodes = json::array();
    for (const auto &it : Nodes)
      if (it->Expected == NodeState::Live && it->ImpairedAt < from)
        nodes.push_back(it->About.Id.str());
    line.update({{"revision", revision.value()},
                 {"by", toMillis(from + Story.ConvergeWithin)},
                 {"nodes", nodes}});
    History.write(line);
  });
}

void Runner::offerLater(const EntryVmId &node, bool offered) {
  later(ListLag, [this, node, offered] { Callers->setOffered(node, offered); });
}

void Runner::post(const Endpoint &to, const std::string &body) {
  Http.call(to, {"POST", "/control", body, ""}, monoNow() + ControlPatience,
            [this, to](const HttpResult &result) {
              if (std::holds_alternative<HttpError>(result))
                fail("no answer to a control call from " + to.str());
            });
}

void Runner::sendVmList() {
  json list = json::array();
  for (auto vm : Vms) {
    const NodeRun *node = nodeRun(EntryVmId(vm["id"].get<std::string>()));
    if (node && node->Expected == NodeState::Killed)
      continue;
    if (node && node->Expected == NodeState::Drained)
      vm["state"] = "leaving";
    list.push_back(std::move(vm));
  }
  post(Where.platform(), json{{"vms", list}}.dump());
}

void Runner::sendCuts() {
  json from = json::array();
  for (const auto &[ip, n] : CutFromPlatform)
    if (n > 0)
      from.push_back(ip);
  post(Where.platform(), json{{"refuse_from", from}}.dump());
}

void Runner::later(Millis after, std::function<void()> action) {
  Timers.push_back(Loop.at(monoNow() + after, std::move(action)));
}

Runner::NodeRun *Runner::nodeRun(const EntryVmId &id) {
  const auto it = std::find_if(Nodes.begin(), Nodes.end(), [&](const auto &n) {
    return n->About.Id == id;
  });
  return it == Nodes.end() ? nullptr : it->get();
}

void Runner::impair(const EntryVmId &id) {
  if (NodeRun *node = nodeRun(id))
    node->ImpairedAt = monoNow();
}

void Runner::impairAll() {
  for (const auto &it : Nodes)
    it->ImpairedAt = monoNow();
}

} // namespace citrongap::scenario
