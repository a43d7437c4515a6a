// Builds small histories for the checker's tests.
#ifndef CITRONGAP_SCENARIO_SRC_HISTORY_STORY_H
#define CITRONGAP_SCENARIO_SRC_HISTORY_STORY_H

#include "citrongap/history/checker.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>
#include <sstream>

namespace citrongap::history {

/// Writes a history line by line.
class Story {
public:
  Story &asked(int at, const std::string &ask, const std::string &key,
               bool repeatable = true, int gang = 1) {
    return line(fmt::format(
        R"({{"at":{},"who":"caller","event":"asked","ask":"{}","account":"garam","key":"{}","call":"submit","repeatable":{},"gang":{},"node":"e1","expected":"{}"}})",
        at, ask, key, repeatable, gang, key));
  }
  Story &answered(int at, const std::string &ask, const std::string &outcome) {
    return line(fmt::format(
        R"({{"at":{},"who":"caller","event":"answered","ask":"{}","outcome":"{}"}})",
        at, ask, outcome));
  }
  /// `results` are JSON objects, joined by commas.
  Story &done(int at, const std::string &ask, const std::string &results) {
    return line(fmt::format(
        R"({{"at":{},"who":"caller","event":"answered","ask":"{}","outcome":"done","results":[{}]}})",
        at, ask, results));
  }
  Story &prepared(int at, const std::string &key, const std::string &task,
                  const std::string &server = "b1") {
    return task_(at, "prepared", key, task, 0, 1, server, "");
  }
  Story &released(int at, const std::string &key, const std::string &task,
                  int part = 0, int parts = 1,
                  const std::string &server = "b1") {
    return task_(at, "released", key, task, part, parts, server, "");
  }
  Story &ended(int at, const std::string &key, const std::string &task,
               const std::string &status = "done", int part = 0, int parts = 1,
               const std::string &server = "b1") {
    return task_(at, "ended", key, task, part, parts, server,
                 fmt::format(R"(,"status":"{}","result":"")", status));
  }
  Story &inForce(int at, const std::string &node, int revision,
                 const std::string &digest = "") {
    return line(fmt::format(
        R"({{"at":{},"who":"node","event":"in_force","node":"{}","revision":{},"digest":"{}"}})",
        at, node, revision, digest));
  }
  Story &line(const std::string &text) {
    Text += text + "\n";
    return *this;
  }

  History history() const {
    HistoryReader reader;
    Findings findings;
    std::istringstream lines(Text);
    reader.read("story", lines, findings);
    BOOST_TEST(findings.text() == "");
    return reader.history();
  }

  /// The rules that the story breaks.
  std::set<Rule> broken() const {
    std::set<Rule> out;
    for (const auto &it : check(history(), Bounds{}))
      out.insert(it.Broken);
    return out;
  }

private:
  Story &task_(int at, const std::string &event, const std::string &key,
               const std::string &task, int part, int parts,
               const std::string &server, const std::string &more) {
    return line(fmt::format(
        R"({{"at":{},"who":"backend","event":"{}","server":"{}","account":"garam","key":"{}","task":"{}","part":{},"parts":{},"slots":[0]{}}})",
        at, event, server, key, task, part, parts, more));
  }

  std::string Text;
};

inline std::string result(const std::string &task, int part,
                          const std::string &text) {
  return fmt::format(R"({{"task":"{}","part":{},"result":"{}"}})", task, part,
                     text);
}

inline const std::set<Rule> Good;

inline std::set<Rule> only(Rule it) { return {it}; }

} // namespace citrongap::history

BOOST_TEST_DONT_PRINT_LOG_VALUE(std::set<citrongap::history::Rule>)

#endif // CITRONGAP_SCENARIO_SRC_HISTORY_STORY_H
