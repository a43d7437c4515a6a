// A scenario: a site of real processes, load on it, faults at given times, and
// what is expected. docs/TESTING.md defines the text form.
#ifndef CITRONGAP_SCENARIO_SCENARIO_H
#define CITRONGAP_SCENARIO_SCENARIO_H

#include "citrongap/base/findings.h"
#include "citrongap/base/ids.h"
#include "citrongap/base/random.h"
#include "citrongap/base/time.h"
#include "citrongap/history/checker.h"
#include "citrongap/policy/job.h"

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap::scenario {

struct SiteShape {
  std::string Name = "lahore";
  std::uint32_t Centres = 1;
  /// Each in every data centre.
  std::uint32_t Entries = 2;
  std::uint32_t Servers = 4;
  std::uint32_t Racks = 1;
};

/// What one kind of job asks for.
struct JobShape {
  ClientAccountId Account;
  ServiceClass Class = ServiceClass::Standard;
  Accelerators Gang{1};
  Millis Run{100};
  bool Repeatable = true;
  bool Fails = false;
  /// Once it is taken its caller never submits it again, but only queries.
  bool OnlyQueried = false;
  /// The caller cancels it so long after asking; null for never.
  std::optional<Millis> CancelAfter;
};

struct KillNode {
  EntryVmId Node;
};
struct StartNode {
  EntryVmId Node;
};
/// SIGTERM.
struct DrainNode {
  EntryVmId Node;
};
/// SIGSTOP, and SIGCONT later.
struct FreezeNode {
  EntryVmId Node;
  Millis For;
};
struct CutPlatform {
  DataCentreId Centre;
  Millis For;
};
struct CutCentres {
  DataCentreId One;
  DataCentreId Other;
  Millis For;
};
/// The entry VM's calls to backend servers get no answer.
struct CutServers {
  EntryVmId Node;
  Millis For;
};
/// Control calls of the platform's stand-in at the start and at the end.
struct PlatformFault {
  std::string What;
  std::string Begin;
  std::string End;
  Millis For{0};
};
struct ServerFault {
  BackendServerId Server;
  std::string What;
  std::string Begin;
  std::string End;
  Millis For{0};
};
struct LeaveServer {
  BackendServerId Server;
};
struct Submit {
  std::uint32_t Count = 1;
  JobShape Job;
};
struct Flood {
  std::uint32_t PerSecond = 1;
  Millis For{0};
  JobShape Job;
};
/// Each of `Through` publishes another change on the same revision.
struct Publish {
  std::vector<EntryVmId> Through;
};

using Action = std::variant<KillNode, StartNode, DrainNode, FreezeNode,
                            CutPlatform, CutCentres, CutServers, PlatformFault,
                            ServerFault, LeaveServer, Submit, Flood, Publish>;

struct TimedAction {
  /// Counted from the moment when the whole site is ready.
  Millis After{0};
  Action Does;
  /// As written, for the log.
  std::string Text;
};

/// `Count` faults drawn by the seed, each between `From` and `To`.
struct RandomFaults {
  std::uint32_t Count = 0;
  Millis From{0};
  Millis To{0};
};

enum class Measure : std::uint8_t { Done, Failed, NotRun, Unknown };

/// A bound on the 99th percentile of the time to start.
struct StartExpectation {
  /// Empty for all jobs.
  ClientAccountId Account;
  Millis AtMost{0};
};

/// A bound on the share of jobs with one outcome, in percent.
struct Expectation {
  Measure What = Measure::Done;
  bool AtLeast = true;
  double Percent = 0;
};

struct Scenario {
  SiteShape Site;
  /// Settings of every entry VM by section and key.
  std::map<std::string, std::map<std::string, std::string>> Settings;
  /// Members of the one plan of all accounts.
  std::map<std::string, std::string> Plan;
  std::vector<TimedAction> Actions;
  std::vector<RandomFaults> Random;
  std::vector<Expectation> Expected;
  std::vector<StartExpectation> ExpectedStarts;
  history::Bounds Bounds;
  Millis ConvergeWithin{3000};
  /// After the last action callers may take so long to get their outcomes.
  Millis Settle{20'000};
};

/// Every accounts' name that a scenario may use.
inline constexpr const char *Accounts[] = {"labels-quetta", "mixes-lahore",
                                           "curves-lahore", "labels-peshawar"};

/// All findings with "name:line".
Checked<Scenario> readScenario(const std::string &name, std::istream &text);

/// Turns `Random` into actions. The same seed gives the same actions.
void drawFaults(Scenario &scenario, Random &random);

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SCENARIO_H
