// Jobs and outcomes as JSON: callers' requests, answers, and what a backend
// server keeps of a task.
#ifndef CITRONGAP_DAEMON_JOB_JSON_H
#define CITRONGAP_DAEMON_JOB_JSON_H

#include "citrongap/base/findings.h"
#include "citrongap/base/outcome.h"
#include "citrongap/policy/job.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citrongap {

/// Reads a submission; findings carry JSON pointers ("/gang").
Checked<JobRequest> parseSubmission(const std::string &body);

/// `{"error":TEXT,"findings":[{"place":P,"message":M},...]}`.
std::string findingsJson(const Findings &findings);

/// `{"account":A,"key":K,"outcome":"done"|"failed"|"not_run"|"unknown",...}`.
std::string outcomeJson(const JobId &job, const Outcome &outcome);

/// `{"account":A,"key":K,MEMBER...}`, with findings when there are any. A
/// member named `retry_after_ms` becomes a number.
std::string
answerJson(const JobId &job,
           const std::vector<std::pair<std::string, std::string>> &members,
           const Findings &findings);

/// What one attempt of a job leaves with each of its servers.
struct AttemptRecord {
  JobRequest Job;
  std::string Attempt;
  Placement Where;
};

std::string encodeAttempt(const AttemptRecord &record);
std::optional<AttemptRecord> decodeAttempt(const std::string &text);

} // namespace citrongap

#endif // CITRONGAP_DAEMON_JOB_JSON_H
