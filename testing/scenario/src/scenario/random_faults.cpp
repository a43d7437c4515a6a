// Draws the faults of a scenario from its seed.
#include "citrongap/scenario/scenario.h"

#include <fmt/format.h>
#include <sstream>

namespace citrongap::scenario {

namespace {

/// One fault as a line of the scenario's text form.
std::string drawLine(const SiteShape &site, Random &random) {
  const auto centre =
      fmt::format("{}-{}", site.Name, random.between(1, site.Centres));
  const auto node =
      fmt::format("{}-e{}", centre, random.between(1, site.Entries));
  const auto server =
      fmt::format("{}-b{}", centre, random.between(1, site.Servers));
  const auto ms = random.between(500, 4000);
  switch (random.between(0, 10)) {
  case 0:
    return fmt::format("kill {}", node);
  case 1:
    return fmt::format("freeze {} for {}ms", node, ms);
  case 2:
    return fmt::format("drain {}", node);
  case 3:
    return fmt::format("cut {} from platform for {}ms", centre, ms);
  case 4:
    return fmt::format("cut {} from servers for {}ms", node, ms);
  case 5:
    return fmt::format("platform outage for {}ms", ms);
  case 6:
    return fmt::format("platform silent for {}ms", ms);
  case 7:
    return fmt::format("platform slow {}ms for {}ms", random.between(100, 900),
                       ms);
  case 8:
    return fmt::format("platform lose {} answers", random.between(1, 5));
  case 9:
    return fmt::format("server {} dead for {}ms", server, ms);
  default:
    return fmt::format("server {} slow {}ms for {}ms", server,
                       random.between(100, 900), ms);
  }
}

} // namespace

void drawFaults(Scenario &scenario, Random &random) {
  std::ostringstream text;
  for (const auto &it : scenario.Random)
    for (std::uint32_t i = 0; i < it.Count; ++i)
      text << fmt::format(
          "at {}ms {}\n",
          random.between(static_cast<std::uint64_t>(it.From.count()),
                         static_cast<std::uint64_t>(it.To.count())),
          drawLine(scenario.Site, random));
  std::istringstream lines(text.str());
  const auto drawn = readScenario("random faults", lines);
  const auto *faults = std::get_if<Scenario>(&drawn);
  if (faults)
    scenario.Actions.insert(scenario.Actions.end(), faults->Actions.begin(),
                            faults->Actions.end());
  scenario.Random.clear();
}

} // namespace citrongap::scenario
