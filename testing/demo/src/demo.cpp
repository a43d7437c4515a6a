// citrongap_demo: the main job end to end. Starts the Lahore deployment on
// loopback, publishes its lists, sends a dusk hour of work, kills an entry VM
// midway and counts from the backend servers' own records.
#include "callers.h"
#include "records.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace citrongap;
using namespace citrongap::demo;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr Millis DuskLength{20000};
constexpr Seconds RunLimit{90};
constexpr Seconds ReadyLimit{15};

std::string makeDirectory() {
  char buf[] = "/tmp/citrongap-demo-XXXXXX";
  return mkdtemp(buf);
}

/// Runs the command line once and gives its exit code.
int runCli(testing::Site &site, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), site.program("packages/cli/citrongap"));
  if (!site.processes().start("cli", arguments, site.logPath("cli")))
    return -1;
  return site.processes().wait("cli");
}

nlohmann::json statusOf(EventLoop &loop, HttpClient &client,
                        const Endpoint &at) {
  nlohmann::json out;
  client.call(at, {"GET", "/v1/status", "", ""}, monoNow() + Seconds(2),
              [&](const HttpResult &result) {
                if (const auto *response = std::get_if<HttpResponse>(&result))
                  out = nlohmann::json::parse(response->Body, nullptr, false);
                loop.stop();
              });
  loop.run();
  return out;
}

/// Every entry VM has the published revision and sees an owner of its pod.
bool waitUntilReady(EventLoop &loop, HttpClient &client,
                    const testing::Site &site) {
  const MonoTime limit = monoNow() + ReadyLimit;
  for (const auto &node : site.nodes()) {
    while (true) {
      const auto status = statusOf(loop, client, node.Http);
      const bool ready = status.is_object() &&
                         status.value("revision", 0) > 0 &&
                         !status["pod"].value("owner", "").empty() &&
                         !status["pod"].value("recovering", false);
      if (ready)
        break;
      if (monoNow() >= limit)
        return false;
      std::this_thread::sleep_for(Millis(100));
    }
  }
  return true;
}

std::string ownerOfFirstPod(EventLoop &loop, HttpClient &client,
                            const testing::Site &site) {
  const auto status = statusOf(loop, client, site.nodes()[0].Http);
  const std::string owner = status["pod"].value("owner", "");
  return owner.substr(0, owner.find('@'));
}

std::int64_t quantile(std::vector<std::int64_t> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

void printTable(const Callers &callers, const Records &records) {
  fmt::print("{:<18} {:>6} {:>6} {:>8} {:>8} {:>8} {:>14} {:>14}\n", "account",
             "asked", "done", "failed", "not run", "unknown", "start p50 ms",
             "start p99 ms");
  std::map<std::string, std::map<std::string, unsigned>> counts;
  std::map<std::string, std::vector<std::int64_t>> starts;
  for (const auto &ask : callers.script()) {
    const auto it = callers.answers().find(ask.Key);
    ++counts[ask.Account]["asked"];
    if (it == callers.answers().end())
      continue;
    ++counts[ask.Account][it->second.Outcome];
    if (const auto ms = timeToStart(ask, it->second, records))
      starts[ask.Account].push_back(*ms);
  }
  for (auto &[account, n] : counts)
    fmt::print("{:<18} {:>6} {:>6} {:>8} {:>8} {:>8} {:>14} {:>14}\n", account,
               n["asked"], n["done"], n["failed"], n["not_run"], n["unknown"],
               quantile(starts[account], 0.5), quantile(starts[account], 0.99));
}

int conclude(const Callers &callers, const testing::Site &site) {
  const Records records = readRecords(site.historyPath());
  const Verdict verdict = judge(callers.script(), callers.answers(), records);
  printTable(callers, records);
  const auto answered = std::count_if(
      callers.script().begin(), callers.script().end(), [&](const Ask &it) {
        const auto found = callers.answers().find(it.Key);
        return found != callers.answers().end() &&
               !found->second.Outcome.empty();
      });
  fmt::print("answers that were another's or not whole: {}; \"not run\" that "
             "ran: {}\n",
             verdict.Crossed, verdict.Untruthful);
  fmt::print(
      "demo: asked {}, answered {}, lost {}, doubled {}, partial gangs {}\n",
      callers.script().size(), answered, verdict.Lost, verdict.Doubled,
      verdict.PartialGangs);
  const bool good =
      static_cast<std::size_t>(answered) == callers.script().size() &&
      verdict.Lost == 0 && verdict.Doubled == 0 && verdict.PartialGangs == 0 &&
      verdict.Crossed == 0 && verdict.Untruthful == 0;
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

int runDemo(const std::string &binDir, const std::string &exampleDir) {
  const std::string directory = makeDirectory();
  testing::Site site({{"lahore-1", "lahore-2", "lahore-3", "lahore-4"}}, binDir,
                     directory);
  fmt::print("logs and records: {}\n", directory);
  if (!site.start())
    return EXIT_FAILURE;
  std::this_thread::sleep_for(Millis(1500));
  const int published =
      runCli(site, {"publish", "--at", site.nodes()[0].Http.str(), "--plans",
                    exampleDir + "/plans.ini", "--entitlements",
                    exampleDir + "/entitlements.ini", "--operator", "demo"});
  EventLoop loop;
  HttpClient client(loop, "");
  if (published != 0 || !waitUntilReady(loop, client, site)) {
    fmt::print("demo: the deployment did not come up (publish exit code {})\n",
               published);
    return EXIT_FAILURE;
  }
  const std::string victim = ownerOfFirstPod(loop, client, site);
  const MonoTime begin = monoNow();
  Callers callers(loop, site, duskHour(Seed, begin, DuskLength), Seed);
  callers.start([&] { loop.stop(); });
  const Timer killer = loop.at(begin + DuskLength / 2 + DuskLength / 4, [&] {
    fmt::print("killing {}, the owner of pod lahore-1\n", victim);
    site.processes().signal(victim, SIGKILL);
  });
  loop.runUntil(begin + RunLimit);
  return conclude(callers, site);
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    fmt::print(stderr, "usage: citrongap_demo BUILD_DIR EXAMPLE_DIR\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return runDemo(argv[1], argv[2]);
}
