// Start, load, end and judgement of a scenario. Its actions are in
// runner_actions.cpp.
#include "runner.h"

#include "citrongap/base/log.h"
#include "citrongap/standins/json_fields.h"
#include "node_run.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace citrongap::scenario {

using nlohmann::json;

namespace {

constexpr Log LogLine{"scenario"};
constexpr Millis ListLag{500};
constexpr Millis StartPatience{20'000};
/// Owners may still change while entry VMs find each other.
constexpr Millis SteadyFor{1'000};
constexpr Millis CallPatience{5'000};
constexpr Millis PollInterval{100};
constexpr Millis DrainPatience{15'000};

bool usesRelays(const Scenario &scenario) {
  return std::any_of(scenario.Actions.begin(), scenario.Actions.end(),
                     [](const TimedAction &it) {
                       return std::holds_alternative<CutCentres>(it.Does);
                     });
}

void writeFile(const std::string &path, const std::string &text) {
  std::ofstream(path) << text;
}

double percentOf(const Expectation &it, const history::Counts &n) {
  const auto share = [&](std::size_t part) {
    return 100.0 * static_cast<double>(part) /
           static_cast<double>(std::max<std::size_t>(n.Jobs, 1));
  };
  switch (it.What) {
  case Measure::Done:
    return share(n.Done);
  case Measure::Failed:
    return share(n.Failed);
  case Measure::NotRun:
    return share(n.NotRun);
  case Measure::Unknown:
    return share(n.Unknown);
  }
  return 0;
}

const char *nameOf(Measure it) {
  switch (it) {
  case Measure::Done:
    return "done";
  case Measure::Failed:
    return "failed";
  case Measure::NotRun:
    return "not run";
  case Measure::Unknown:
    return "unknown";
  }
  return "?";
}

} // namespace

Runner::Runner(EventLoop &loop, Scenario scenario, RunOptions options)
    : Loop(loop), Story(std::move(scenario)), Options(std::move(options)),
      Draw(Options.Seed), Where(Story.Site, usesRelays(Story)), Http(loop, ""),
      History(path("callers.jsonl")), Vms(Where.vmList()) {}

Runner::~Runner() = default;

std::vector<std::string> Runner::run() {
  const auto lists = Where.lists(Story);
  if (const auto *findings = std::get_if<Findings>(&lists)) {
    fail(findings->text());
    return Faults;
  }
  Lists = std::get<Configuration>(lists);
  if (!startSite() || !publishFirst())
    return Faults;
  if (!serveSteadily()) {
    fail("the site does not serve in time");
    return Faults;
  }
  LogLine("the site serves; starting the load");
  Callers = std::make_unique<Caller>(Loop, Where, History, Draw);
  schedule();
  const Millis last =
      std::max_element(Story.Actions.begin(), Story.Actions.end(),
                       [](const TimedAction &a, const TimedAction &b) {
                         return a.After < b.After;
                       })
          ->After;
  await(last + Story.Settle,
        [this] { return Pending == 0 && Callers->openJobs() == 0; });
  if (Callers->openJobs() > 0)
    LogLine("{} jobs are still open", Callers->openJobs());
  watchProcesses();
  judge();
  return Faults;
}

std::string Runner::path(const std::string &file) const {
  return Options.Directory + "/" + file;
}

bool Runner::startSite() {
  writeFile(path("vms.json"), Vms.dump());
  writeFile(path("servers.json"), Where.serverList().dump());
  const std::string standins = Options.Build + "/testing/standins/";
  Platform = std::make_unique<testing::Process>(
      std::vector<std::string>{standins + "citrongap_platform_standin",
                               "--listen", Where.platform().str(), "--vms",
                               path("vms.json"), "--lag-ms",
                               std::to_string(ListLag.count())},
      path("platform.log"));
  Backends = std::make_unique<testing::Process>(
      std::vector<std::string>{standins + "citrongap_backend_standin",
                               "--servers", path("servers.json"), "--history",
                               path("backends.jsonl")},
      path("backends.log"));
  if (!awaitStandins())
    return false;
  for (const auto &it : Where.relays()) {
    Relays.push_back(
        std::make_unique<testing::Relay>(Loop, it.Listen, it.Target));
    if (!Relays.back()->ok())
      fail("can't relay on " + it.Listen.str());
  }
  for (const auto &it : Where.nodes()) {
    Nodes.push_back(std::make_unique<NodeRun>());
    Nodes.back()->About = it;
    startNode(*Nodes.back());
  }
  Timers.push_back(Loop.every(PollInterval, [this] { poll(); }));
  return Faults.empty();
}

bool Runner::awaitStandins() {
  std::vector<Endpoint> awaited{Where.platform()};
  for (const auto &it : Where.servers())
    awaited.push_back(it.At);
  const bool taken = await(StartPatience, [this, &awaited] {
    // Any answer will do.
    while (!awaited.empty() && std::holds_alternative<HttpResponse>(callNow(
                                   awaited.back(), {"GET", "/", "", ""})))
      awaited.pop_back();
    return awaited.empty();
  });
  if (!taken)
    fail("the stand-in at " + awaited.back().str() + " takes no calls in time");
  return taken;
}

bool Runner::startNode(NodeRun &node) {
  const std::string name = node.About.Id.str();
  writeFile(path(name + ".ini"), Where.settings(node.About, Story));
  node.Child = std::make_unique<testing::Process>(
      std::vector<std::string>{Options.Daemon, path(name + ".ini")},
      path(name + ".log"));
  node.Expected = NodeState::Live;
  return true;
}

bool Runner::publishFirst() {
  const auto change = [this] {
    const ConfigurationChange first{Draw.uniqueId(), Revision(0), "scenario",
                                    difference({}, Lists)};
    return encodeChange(first);
  };
  const bool listening = await(StartPatience, [this] {
    return std::all_of(Nodes.begin(), Nodes.end(),
                       [](const auto &it) { return it->Answered; });
  });
  if (!listening) {
    fail("not every entry VM answers in time");
    return false;
  }
  const auto result = callNow(Where.nodes().front().Http,
                              {"POST", "/v1/configuration", change(), ""});
  const auto *response = std::get_if<HttpResponse>(&result);
  if (response && response->Status == 200)
    return true;
  fail("the first lists were not accepted: " +
       (response ? response->Body : std::string("no answer")));
  return false;
}

bool Runner::allServe() const {
  std::map<DataCentreId, int> owners;
  for (const auto &it : Nodes) {
    if (it->InForce == Revision(0))
      return false;
    owners[it->About.Centre] += it->OwnsWholePod ? 1 : 0;
  }
  return std::all_of(owners.begin(), owners.end(),
                     [](const auto &it) { return it.second == 1; });
}

bool Runner::serveSteadily() {
  MonoTime since = monoNow();
  return await(StartPatience, [this, &since] {
    if (!allServe())
      since = monoNow();
    return monoNow() - since >= SteadyFor;
  });
}

bool Runner::await(Millis patience, const std::function<bool()> &done) {
  constexpr Millis Step{20};
  const MonoTime deadline = monoNow() + patience;
  while (!done()) {
    if (monoNow() >= deadline)
      return false;
    Loop.runUntil(monoNow() + Step);
  }
  return true;
}

HttpResult Runner::callNow(const Endpoint &to, const HttpRequest &request) {
  std::optional<HttpResult> out;
  Http.call(to, request, monoNow() + CallPatience,
            [&out](HttpResult it) { out = std::move(it); });
  await(2 * CallPatience, [&out] { return out.has_value(); });
  return out.value_or(HttpError::TimedOut);
}

void Runner::poll() {
  for (const auto &it : Nodes) {
    if (it->Polling || it->Expected != NodeState::Live)
      continue;
    it->Polling = true;
    Http.call(it->About.Http, {"GET", "/v1/status", "", ""},
              monoNow() + Seconds(1),
              [this, &node = *it](const HttpResult &result) {
                node.Polling = false;
                onStatus(node, result);
              });
  }
}

void Runner::onStatus(NodeRun &node, const HttpResult &result) {
  const auto *response = std::get_if<HttpResponse>(&result);
  if (!response)
    return;
  const auto status = standins::parseObject(response->Body);
  const auto revision =
      status ? standins::numberField(*status, "revision", -1) : -1;
  if (revision < 0)
    return;
  node.Answered = true;
  const Revision at(static_cast<std::uint64_t>(revision));
  const json pod = standins::objectField(*status, "pod");
  node.OwnsWholePod = standins::boolField(pod, "owned_here", false) &&
                      !standins::boolField(pod, "recovering", true) &&
                      standins::arrayField(pod, "unready_servers").empty();
  // Revision 0 is a node that has read no lists yet.
  if (node.InForce == at || at == Revision(0))
    return;
  node.InForce = at;
  History.write({{"at", toMillis(monoNow())},
                 {"who", "node"},
                 {"event", "in_force"},
                 {"node", node.About.Id.str()},
                 {"revision", at.value()}});
}

/// Drained processes must have left by plan; the others must still run.
void Runner::watchProcesses() {
  const auto drained = [](const auto &it) {
    return it->Expected != NodeState::Drained || !it->Child->running();
  };
  await(DrainPatience,
        [&] { return std::all_of(Nodes.begin(), Nodes.end(), drained); });
  for (const auto &it : Nodes) {
    const std::string name = it->About.Id.str();
    if (it->Expected == NodeState::Live && !it->Child->running())
      fail(name + " ended by itself");
    if (it->Expected == NodeState::Drained && it->Child->exitCode() != 0)
      fail(name + " did not leave by plan");
  }
  if (!Platform->running() || !Backends->running())
    fail("a stand-in ended by itself");
}

void Runner::judge() {
  Nodes.clear();
  Backends->signal(SIGTERM);
  await(Seconds(2), [this] { return !Backends->running(); });
  history::HistoryReader reader;
  Findings findings;
  for (const char *name : {"backends.jsonl", "callers.jsonl"}) {
    std::ifstream file(path(name));
    reader.read(name, file, findings);
  }
  for (const auto &it : findings.items())
    fail(it.Location + ": " + it.Message);
  for (const auto &it : history::check(reader.history(), Story.Bounds))
    fail(fmt::format("{} at {}: {}", history::toString(it.Broken),
                     toMillis(it.At), it.What));
  const auto n = history::count(reader.history());
  fmt::print("jobs {}, calls {}, done {}, failed {}, not run {}, unknown {}, "
             "unanswered {}, tasks run {}, start p50 {} ms p99 {} ms\n",
             n.Jobs, n.Calls, n.Done, n.Failed, n.NotRun, n.Unknown,
             n.Unanswered, n.Runs, n.StartMedian.count(), n.Start99.count());
  judgeExpectations(n);
  judgeStarts(reader.history());
}

void Runner::judgeExpectations(const history::Counts &counts) {
  for (const auto &it : Story.Expected) {
    const double share = percentOf(it, counts);
    const bool held = it.AtLeast ? share >= it.Percent : share <= it.Percent;
    if (!held)
      fail(fmt::format("{} are {:.1f}% of the jobs, expected at {} {}%",
                       nameOf(it.What), share, it.AtLeast ? "least" : "most",
                       it.Percent));
  }
}

void Runner::judgeStarts(const history::History &history) {
  for (const auto &it : Story.ExpectedStarts) {
    const Millis p99 =
        history::quantile(history::startTimes(history, it.Account), 99);
    const std::string whose = it.Account.empty() ? "all" : it.Account.str();
    fmt::print("start of {}: p99 {} ms\n", whose, p99.count());
    if (p99 > it.AtMost)
      fail(fmt::format("p99 of the time to start of {} is {} ms, expected at "
                       "most {} ms",
                       whose, p99.count(), it.AtMost.count()));
  }
}

void Runner::fail(std::string what) { Faults.push_back(std::move(what)); }

} // namespace citrongap::scenario
