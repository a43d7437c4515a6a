// citrongap_entry_soak: real entry VMs under seeded faults. One seed a run;
// seeds are the same faults each time, the timing of the processes is not.
#include "fault_plan.h"
#include "soak_callers.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <unistd.h>

using namespace citrongap;
using namespace citrongap::soak;

namespace {

constexpr int ExitFaults = 1;
constexpr int ExitUsage = 2;
constexpr int ExitNotStarted = 3;
/// Until the entry VMs have elected an owner and read the configuration.
constexpr Millis StartUp{2500};
constexpr Millis ProbeEvery{300};
constexpr Millis TendEvery{50};
/// From the last fault: leases lapse (6 s), take-overs, retries; twice that.
constexpr Seconds SettleWithin{30};
/// Of a mixed site, where gangs queue for the servers with the label.
constexpr Seconds MixedSettleWithin{60};
constexpr Millis ConfigurationWithin{2000};
/// Half of the usual one, so that a series that outlasts it stays short.
constexpr Millis SeriesLease{3000};
/// Longer than a take-over and the leases that a successor counts on.
constexpr Millis SeriesWork{9000};
/// Jobs with many due occurrences, beside odd entries.
constexpr int DueSeries = 3;

struct Options {
  std::uint64_t Seed = 1;
  std::size_t Faults = 10;
  Seconds Length{12};
  unsigned JobsPerSecond = 8;
  bool Keep = false;
  unsigned Series = 0;
  std::size_t OddEntries = 0;
  SiteShape Shape;
};

class Soak {
public:
  explicit Soak(Options options)
      : Given(std::move(options)),
        Site(Loop, Given.Shape,
             [this](const wire::RunEvent &it) { Judging.onRun(it); }),
        Calling(Loop, Site, Judging, Given.Seed + 1),
        Faults(Loop, Site, Judging) {}

  int run() {
    if (!Site.start()) {
      fmt::print(stderr, "soak: an address can't be bound\n");
      return ExitNotStarted;
    }
    Tend = Loop.every(TendEvery, [this] { tend(); });
    Probe = Loop.every(ProbeEvery, [this] { Calling.probe(); });
    runFor(StartUp);
    load();
    Site.heal();
    Calling.stopTrying();
    settle();
    Site.publish(!Faults.extraPublished());
    runFor(ConfigurationWithin);
    Calling.checkConfiguration(!Faults.extraPublished());
    runFor(Seconds(1));
    Judging.atEnd(monoNow());
    return report();
  }

private:
  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }

  void load() {
    const MonoTime from = monoNow();
    const MonoTime seriesFrom = from + Given.Length;
    const MonoTime until =
        seriesFrom + seriesLength(Given.Shape) * Given.Series;
    for (const PlannedFault &it :
         (Given.Shape.Mixed ? planDataCentres : planFaults)(
             Given.Seed, Given.Faults, from, seriesFrom, Given.Shape))
      Faults.schedule(it);
    for (const PlannedFault &it :
         planSeries(Given.Seed + 2, seriesFrom, until, Given.Shape))
      Faults.schedule(it);
    if (Given.OddEntries > 0) {
      Calling.cancelUndecided();
      for (int n = 0; n < DueSeries; ++n)
        Calling.submitSeries();
    }
    for (const PlannedFault &it : planOddEntries(
             Given.Seed + 3, Given.OddEntries, from, until, Given.Shape))
      Faults.schedule(it);
    const Timer submit = Loop.every(Millis(1000 / Given.JobsPerSecond),
                                    [this] { Calling.submitOne(); });
    Loop.runUntil(until);
  }

  void settle() {
    const MonoTime until =
        monoNow() + (Given.Shape.Mixed ? MixedSettleWithin : SettleWithin);
    while (monoNow() < until &&
           (Calling.open() > 0 || Site.model().running() > 0))
      runFor(Millis(200));
  }

  void tend() {
    Site.tend();
    std::vector<ServerRoom> sound;
    for (const SoakServer &it : Site.servers()) {
      Judging.onDraining(it.Entry.Incarnation.Id, it.DrainingSince);
      if (!it.DrainingSince && !it.ReturnsAt)
        sound.push_back(
            {it.Entry.Incarnation.Id, it.Entry.Labels, it.Entry.Capacity, {}});
    }
    Site.model().advance(monoNow());
    Judging.review(std::move(sound), monoNow(), toMillis(wallNow()));
  }

  int report() {
    for (SoakVm &it : Site.vms()) {
      if (const auto code = it.Child->exitCode(); code && *code != 0)
        Judging.add(monoNow(),
                    fmt::format("{} ended by itself with {}", it.Name, *code));
      if (!it.Child->running() && !it.StoppedAt && !it.StartAt)
        Judging.add(monoNow(),
                    fmt::format("{} is gone since {}, by signal {}", it.Name,
                                toMillis(it.EndedAt.value_or(MonoTime())),
                                it.Child->endSignal().value_or(0)));
    }
    for (const std::string &it : Judging.findings())
      fmt::print("FAULT {}\n", it);
    fmt::print("idle jobs could be found in {} ms\n",
               Judging.idleJudged().count());
    fmt::print("soak seed {}: {} faults injected, {} jobs, {} accepted, {} "
               "refused, {} starts, {} findings\n",
               Given.Seed, Given.Faults, Judging.stories().size(),
               Calling.accepted(), Calling.refused(), Judging.started(),
               Judging.findings().size());
    return Judging.findings().empty() ? 0 : ExitFaults;
  }

  Options Given;
  EventLoop Loop;
  Judge Judging;
  SoakSite Site;
  Callers Calling;
  FaultRunner Faults;
  Timer Tend;
  Timer Probe;
};

int runWith(const cxxopts::ParseResult &arguments) {
  Options options;
  const std::string site = arguments["site"].as<std::string>();
  if (site == "guild") {
    options.Shape = guildSite();
    options.JobsPerSecond = 5;
    options.Length = Seconds(22);
  } else if (site != "plain") {
    fmt::print(stderr, "soak: --site is plain or guild\n");
    return ExitUsage;
  }
  options.Seed = arguments["seed"].as<std::uint64_t>();
  options.Faults = arguments["faults"].as<std::size_t>();
  if (arguments.count("seconds") > 0)
    options.Length = Seconds(arguments["seconds"].as<std::int64_t>());
  if (arguments.count("rate") > 0)
    options.JobsPerSecond = arguments["rate"].as<unsigned>();
  if (arguments.count("vms") > 0)
    options.Shape.EntryVms = arguments["vms"].as<unsigned>();
  options.OddEntries = arguments["odd-entries"].as<std::size_t>();
  options.Series = arguments["series"].as<unsigned>();
  if (options.Series > 0) {
    options.Shape.MaxLease = SeriesLease;
    options.Shape.LongestWork = SeriesWork;
  }
  if (arguments.count("servers") > 0)
    options.Shape.Servers = arguments["servers"].as<unsigned>();
  options.Shape.Program =
      arguments["build"].as<std::string>() + "/platform/citrongap_entry";
  options.Shape.Directory =
      fmt::format("{}/citrongap-entry-soak-{}-{}",
                  arguments["logs"].as<std::string>(), options.Seed, getpid());
  if (options.JobsPerSecond == 0 || options.Shape.EntryVms == 0 ||
      options.Shape.Servers == 0) {
    fmt::print(stderr, "soak: --rate, --vms and --servers start at 1\n");
    return ExitUsage;
  }
  std::filesystem::create_directories(options.Shape.Directory);
  const std::string directory = options.Shape.Directory;
  const int code = Soak(std::move(options)).run();
  if (code == 0 && arguments.count("keep") == 0)
    std::filesystem::remove_all(directory);
  else
    fmt::print("its files are in {}\n", directory);
  return code;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options("citrongap_entry_soak",
                           "Real entry VMs under seeded faults");
  options.add_options()("seed", "draws faults and jobs",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "faults", "faults during the load",
      cxxopts::value<std::size_t>()->default_value("10"))(
      "seconds", "length of the load",
      cxxopts::value<std::int64_t>()->default_value("12"))(
      "rate", "jobs a second", cxxopts::value<unsigned>()->default_value("8"))(
      "vms", "entry VMs", cxxopts::value<unsigned>()->default_value("4"))(
      "series",
      "series of faults that outlast a lease, after the others, 12 s each; "
      "leases are then 3 s",
      cxxopts::value<unsigned>()->default_value("0"))(
      "odd-entries",
      "entries of another writer in the server list; beside these, some "
      "undecided submissions are cancelled, and jobs with many due occurrences "
      "come",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "site",
      "plain, or guild: three data centres, 7 entry VMs, 48 servers of two "
      "speeds, mixed jobs, cuts of data centres; then --rate 5 --seconds 22",
      cxxopts::value<std::string>()->default_value("plain"))(
      "servers", "backend servers",
      cxxopts::value<unsigned>()->default_value("12"))(
      "build", "build tree",
      cxxopts::value<std::string>()->default_value("build"))(
      "logs", "where the site's files go",
      cxxopts::value<std::string>()->default_value("/tmp"))(
      "keep", "keep the files of a run without findings")("help", "this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      fmt::print("{}\nExit codes: 0 no finding, 1 findings, 2 wrong "
                 "arguments, 3 an address can't be bound.\n",
                 options.help());
      return 0;
    }
    return runWith(arguments);
  } catch (const cxxopts::exceptions::exception &ec) {
    fmt::print(stderr, "soak: {}; try --help\n", ec.what());
    return ExitUsage;
  }
}
