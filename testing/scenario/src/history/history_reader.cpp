// Reads history lines (docs/TESTING.md) into values.
#include "citrongap/history/history.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace citrongap::history {

using nlohmann::json;

namespace {

constexpr std::array<std::pair<const char *, AnswerKind>, 8> AnswerNames{
    {{"done", AnswerKind::Done},
     {"failed", AnswerKind::Failed},
     {"not_run", AnswerKind::NotRun},
     {"unknown", AnswerKind::Unknown},
     {"accepted", AnswerKind::Accepted},
     {"not_sent", AnswerKind::NotSent},
     {"cut", AnswerKind::Cut},
     {"timed_out", AnswerKind::TimedOut}}};

constexpr std::array<std::pair<const char *, TaskStatus>, 5> EndNames{
    {{"done", TaskStatus::Done},
     {"failed", TaskStatus::Failed},
     {"stopped", TaskStatus::Stopped},
     {"lapsed", TaskStatus::Lapsed},
     {"dropped", TaskStatus::Dropped}}};

constexpr std::array<std::pair<const char *, CallKind>, 3> CallNames{
    {{"submit", CallKind::Submit},
     {"query", CallKind::Query},
     {"cancel", CallKind::Cancel}}};

/// Typed reads of one line; `Wrong` names the first bad member.
struct Fields {
  const json &Line;
  std::string Wrong;

  std::string text(const char *name) {
    const auto it = Line.find(name);
    if (it != Line.end() && it->is_string())
      return it->get<std::string>();
    fail(name);
    return "";
  }
  std::string optionalText(const char *name) {
    return Line.contains(name) ? text(name) : "";
  }
  std::int64_t number(const char *name) {
    const auto it = Line.find(name);
    if (it != Line.end() && it->is_number_integer())
      return it->get<std::int64_t>();
    fail(name);
    return 0;
  }
  std::uint32_t count(const char *name) {
    const auto n = number(name);
    if (n < 0 || n > UINT32_MAX)
      fail(name);
    return static_cast<std::uint32_t>(n);
  }
  bool flag(const char *name) {
    const auto it = Line.find(name);
    if (it != Line.end() && it->is_boolean())
      return it->get<bool>();
    fail(name);
    return false;
  }
  const json &array(const char *name) {
    static const json None = json::array();
    const auto it = Line.find(name);
    if (it != Line.end() && it->is_array())
      return *it;
    fail(name);
    return None;
  }
  MonoTime time(const char *name) { return monoFromMillis(number(name)); }
  JobId job() {
    return {ClientAccountId(text("account")), RequestKey(text("key"))};
  }
  void fail(const char *name) {
    if (Wrong.empty())
      Wrong = name;
  }
};

template <typename Value, std::size_t N>
Value named(const std::array<std::pair<const char *, Value>, N> &names,
            Fields &fields, const char *member) {
  const std::string text = fields.text(member);
  for (const auto &[name, value] : names)
    if (text == name)
      return value;
  fields.fail(member);
  return names[0].second;
}

PartResult readResult(const json &item, Fields &fields) {
  if (!item.is_object()) {
    fields.fail("results");
    return {};
  }
  Fields own{item, ""};
  PartResult out{TaskId(own.text("task")), own.count("part"),
                 own.text("result")};
  if (!own.Wrong.empty())
    fields.fail("results");
  return out;
}

} // namespace

const char *toString(AnswerKind it) {
  for (const auto &[name, kind] : AnswerNames)
    if (kind == it)
      return name;
  return "?";
}

/// Applies one line to the history.
struct LineReader {
  HistoryReader &Reader;
  Fields In;

  History &out() { return Reader.Out; }

  void read() {
    const std::string who = In.text("who");
    const std::string event = In.text("event");
    const MonoTime at = In.time("at");
    if (who == "caller" && event == "asked")
      asked(at);
    else if (who == "caller" && event == "answered")
      answered(at);
    else if (who == "backend")
      backend(event, at);
    else if (who == "node" && event == "in_force")
      inForce(at);
    else if (who == "scenario")
      action(event, at);
    else
      In.fail("who or event");
    if (In.Wrong.empty())
      out().End = std::max(out().End, at);
  }

  void asked(MonoTime at) {
    Ask ask;
    ask.Id = In.text("ask");
    ask.At = at;
    ask.Job = In.job();
    ask.Repeatable = In.flag("repeatable");
    ask.Kind = named(CallNames, In, "call");
    ask.Gang = {In.count("gang")};
    ask.Node = EntryVmId(In.text("node"));
    ask.Expected = In.text("expected");
    if (!Reader.AskById.emplace(ask.Id, out().Asks.size()).second)
      In.fail("ask");
    if (In.Wrong.empty())
      out().Asks.push_back(std::move(ask));
  }

  void answered(MonoTime at) {
    Answer answer;
    answer.At = at;
    answer.Kind = named(AnswerNames, In, "outcome");
    if (answer.Kind == AnswerKind::Done)
      for (const auto &it : In.array("results"))
        answer.Results.push_back(readResult(it, In));
    const auto ask = Reader.AskById.find(In.text("ask"));
    if (ask == Reader.AskById.end() || out().Asks[ask->second].Got)
      In.fail("ask");
    else if (In.Wrong.empty())
      out().Asks[ask->second].Got = std::move(answer);
  }

  void backend(const std::string &event, MonoTime at) {
    const bool moves =
        event == "prepared" || event == "released" || event == "ended";
    if (!moves)
      return;
    Run &run = runOfLine();
    if (!In.Wrong.empty())
      return;
    if (event == "prepared") {
      run.PreparedAt = at;
    } else if (event == "released") {
      run.ReleasedAt = at;
    } else {
      run.EndedAt = at;
      run.Status = named(EndNames, In, "status");
      run.Result = In.text("result");
    }
  }

  Run &runOfLine() {
    static Run none;
    Run run;
    run.Server = BackendServerId(In.text("server"));
    run.Task = TaskId(In.text("task"));
    run.Job = In.job();
    run.Part = In.count("part");
    run.Parts = In.count("parts");
    run.Slots = {static_cast<std::uint32_t>(In.array("slots").size())};
    if (!In.Wrong.empty())
      return none;
    const auto [it, added] = Reader.RunByTask.emplace(
        std::pair(run.Server, run.Task), out().Runs.size());
    if (added)
      out().Runs.push_back(std::move(run));
    return out().Runs[it->second];
  }

  void inForce(MonoTime at) {
    const auto revision = static_cast<std::uint64_t>(In.number("revision"));
    InForce it{at, EntryVmId(In.text("node")), Revision(revision),
               In.optionalText("digest")};
    if (In.Wrong.empty())
      out().Configurations.push_back(std::move(it));
  }

  void action(const std::string &event, MonoTime at) {
    if (event == "fault")
      out().Faults.push_back(
          {at, EntryVmId(In.optionalText("node")), In.text("what")});
    else if (event == "planned_stop")
      ++out().PlannedStops;
    else if (event == "leaving")
      out().LeavingServers.push_back(
          {BackendServerId(In.text("server")), In.time("seen_at")});
    else if (event == "converge")
      converge();
    else if (event != "note")
      In.fail("event");
  }

  void converge() {
    const auto revision = static_cast<std::uint64_t>(In.number("revision"));
    MustConverge it{In.time("by"), Revision(revision), {}};
    for (const auto &node : In.array("nodes"))
      if (node.is_string())
        it.Nodes.emplace_back(node.get<std::string>());
    out().Convergences.push_back(std::move(it));
  }
};

void HistoryReader::read(const std::string &name, std::istream &lines,
                         Findings &findings) {
  std::string text;
  for (std::size_t number = 1; std::getline(lines, text); ++number) {
    const std::string place = fmt::format("{}:{}", name, number);
    const auto line = json::parse(text, nullptr, false);
    if (line.is_discarded() || !line.is_object()) {
      findings.add(place, "not a JSON object");
      continue;
    }
    LineReader reader{*this, {line, ""}};
    reader.read();
    if (!reader.In.Wrong.empty())
      findings.add(place, "missing or malformed: " + reader.In.Wrong);
  }
}

std::map<JobId, std::vector<const Ask *>> History::asksByJob() const {
  std::map<JobId, std::vector<const Ask *>> out;
  for (const auto &it : Asks)
    out[it.Job].push_back(&it);
  return out;
}

std::map<JobId, std::vector<const Run *>> History::runsByJob() const {
  std::map<JobId, std::vector<const Run *>> out;
  for (const auto &it : Runs)
    out[it.Job].push_back(&it);
  return out;
}

} // namespace citrongap::history
