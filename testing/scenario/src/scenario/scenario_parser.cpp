// Reads the text form of a scenario, line by line.
#include "citrongap/scenario/scenario.h"
#include "line_parser.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap::scenario {

namespace {

JobShape readJob(LineParser &in) {
  JobShape job;
  job.Account = ClientAccountId(in.word());
  if (std::find(std::begin(Accounts), std::end(Accounts), job.Account.str()) ==
      std::end(Accounts))
    in.fail("'" + job.Account.str() + "' is not a known account");
  const auto serviceClass = serviceClassFrom(in.word());
  if (!serviceClass)
    in.fail("expected urgent, standard or background");
  job.Class = serviceClass.value_or(ServiceClass::Standard);
  return job;
}

void readJobOptions(LineParser &in, JobShape &job) {
  while (!in.atEnd() && in.fault().empty()) {
    if (in.accept("gang"))
      job.Gang = {in.number()};
    else if (in.accept("run"))
      job.Run = in.duration();
    else if (in.accept("cancel"))
      job.CancelAfter = in.duration();
    else if (in.accept("unrepeatable"))
      job.Repeatable = false;
    else if (in.accept("queried"))
      job.OnlyQueried = true;
    else if (in.accept("failing"))
      job.Fails = true;
    else
      in.fail("'" + in.word() + "' is not an option of a job");
  }
}

Action readCut(LineParser &in) {
  const std::string name = in.word();
  in.expect("from");
  const std::string from = in.word();
  const Millis length = in.forDuration();
  if (from == "platform")
    return CutPlatform{DataCentreId(name), length};
  if (from == "servers")
    return CutServers{EntryVmId(name), length};
  return CutCentres{DataCentreId(name), DataCentreId(from), length};
}

Action readPlatform(LineParser &in) {
  const std::string what = in.word();
  if (what == "outage" || what == "silent")
    return PlatformFault{what, fmt::format(R"({{"{}":true}})", what),
                         fmt::format(R"({{"{}":false}})", what),
                         in.forDuration()};
  if (what == "slow") {
    const Millis delay = in.duration();
    return PlatformFault{what,
                         fmt::format(R"({{"delay_ms":{}}})", delay.count()),
                         R"({"delay_ms":0})", in.forDuration()};
  }
  if (what != "lose")
    in.fail("expected outage, silent, slow or lose");
  const std::uint32_t n = in.number();
  in.expect("answers");
  return PlatformFault{what, fmt::format(R"({{"lose_answers":{}}})", n), "",
                       Millis(0)};
}

Action readServer(LineParser &in) {
  ServerFault out;
  out.Server = BackendServerId(in.word());
  out.What = in.word();
  if (out.What == "dead") {
    out.Begin = R"({"dead":true})";
    out.End = R"({"dead":false})";
  } else if (out.What == "failing") {
    out.Begin = R"({"fail_all":true})";
    out.End = R"({"fail_all":false})";
  } else if (out.What == "slow") {
    out.Begin = fmt::format(R"({{"slow_ms":{}}})", in.duration().count());
    out.End = R"({"slow_ms":0})";
  } else {
    in.fail("expected dead, failing or slow");
  }
  out.For = in.forDuration();
  return out;
}

Action readLoad(LineParser &in, const std::string &verb) {
  if (verb == "submit") {
    Submit out;
    out.Count = in.number();
    out.Job = readJob(in);
    readJobOptions(in, out.Job);
    return out;
  }
  Flood out;
  out.Job = readJob(in);
  out.PerSecond = in.rate();
  out.For = in.forDuration();
  readJobOptions(in, out.Job);
  return out;
}

Action readAction(LineParser &in) {
  const std::string verb = in.word();
  if (verb == "kill")
    return KillNode{EntryVmId(in.word())};
  if (verb == "start")
    return StartNode{EntryVmId(in.word())};
  if (verb == "drain")
    return DrainNode{EntryVmId(in.word())};
  if (verb == "freeze") {
    const EntryVmId node(in.word());
    return FreezeNode{node, in.forDuration()};
  }
  if (verb == "cut")
    return readCut(in);
  if (verb == "platform")
    return readPlatform(in);
  if (verb == "server")
    return readServer(in);
  if (verb == "leave")
    return LeaveServer{BackendServerId(in.word())};
  if (verb == "submit" || verb == "flood")
    return readLoad(in, verb);
  if (verb == "publish")
    return Publish{{EntryVmId(in.word())}};
  if (verb == "race") {
    in.expect("publish");
    const EntryVmId one(in.word());
    return Publish{{one, EntryVmId(in.word())}};
  }
  in.fail("'" + verb + "' is not an action");
  return KillNode{};
}

SiteShape readSite(LineParser &in) {
  SiteShape out;
  out.Name = in.word();
  while (!in.atEnd() && in.fault().empty()) {
    if (in.accept("centres"))
      out.Centres = in.number();
    else if (in.accept("entries"))
      out.Entries = in.number();
    else if (in.accept("servers"))
      out.Servers = in.number();
    else if (in.accept("racks"))
      out.Racks = in.number();
    else
      in.fail("'" + in.word() + "' is not a part of a site");
  }
  if (out.Racks == 0 || out.Servers % out.Racks != 0)
    in.fail("servers must fill the racks evenly");
  return out;
}

void readBound(LineParser &in, Scenario &out) {
  if (in.accept("gang"))
    out.Bounds.PartialGang = in.duration();
  else if (in.accept("double"))
    out.Bounds.DoubleRun = in.duration();
  else if (in.accept("leaving"))
    out.Bounds.LeavingGrace = in.duration();
  else if (in.accept("converge"))
    out.ConvergeWithin = in.duration();
  else
    in.fail("expected gang, double, leaving or converge");
}

Expectation readExpectation(LineParser &in) {
  Expectation out;
  if (in.accept("failed"))
    out.What = Measure::Failed;
  else if (in.accept("not_run"))
    out.What = Measure::NotRun;
  else if (in.accept("unknown"))
    out.What = Measure::Unknown;
  else
    in.expect("done");
  in.expect("at");
  out.AtLeast = in.accept("least");
  if (!out.AtLeast)
    in.expect("most");
  out.Percent = in.percent();
  return out;
}

StartExpectation readStart(LineParser &in) {
  StartExpectation out;
  if (in.accept("of"))
    out.Account = ClientAccountId(in.word());
  in.expect("p99");
  in.expect("at");
  in.expect("most");
  out.AtMost = in.duration();
  return out;
}

RandomFaults readRandom(LineParser &in) {
  RandomFaults out;
  in.expect("faults");
  out.Count = in.number();
  in.expect("between");
  out.From = in.duration();
  in.expect("and");
  out.To = in.duration();
  if (out.To <= out.From)
    in.fail("the second time must be later");
  return out;
}

void readLine(LineParser &in, const std::string &text, Scenario &out) {
  if (in.accept("site")) {
    out.Site = readSite(in);
  } else if (in.accept("setting")) {
    const std::string section = in.word();
    const std::string key = in.word();
    out.Settings[section][key] = in.word();
  } else if (in.accept("plan")) {
    const std::string key = in.word();
    out.Plan[key] = in.word();
  } else if (in.accept("bound")) {
    readBound(in, out);
  } else if (in.accept("settle")) {
    out.Settle = in.duration();
  } else if (in.accept("expect")) {
    if (in.accept("start"))
      out.ExpectedStarts.push_back(readStart(in));
    else
      out.Expected.push_back(readExpectation(in));
  } else if (in.accept("random")) {
    out.Random.push_back(readRandom(in));
  } else {
    in.expect("at");
    const Millis after = in.duration();
    out.Actions.push_back({after, readAction(in), text});
  }
}

} // namespace

Checked<Scenario> readScenario(const std::string &name, std::istream &text) {
  Scenario out;
  Findings findings;
  std::string line;
  for (int number = 1; std::getline(text, line); ++number) {
    LineParser in(line);
    if (in.atEnd())
      continue;
    readLine(in, line, out);
    if (!in.atEnd())
      in.fail("'" + in.word() + "' is not expected here");
    if (!in.fault().empty())
      findings.add(fmt::format("{}:{}", name, number), in.fault());
  }
  if (!findings.empty())
    return findings;
  return out;
}

} // namespace citrongap::scenario
