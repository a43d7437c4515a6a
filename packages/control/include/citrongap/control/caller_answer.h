// Requests of callers and the answers to them.
#ifndef CITRONGAP_CONTROL_CALLER_ANSWER_H
#define CITRONGAP_CONTROL_CALLER_ANSWER_H

#include "citrongap/base/findings.h"
#include "citrongap/base/time.h"
#include "citrongap/workload/work_state.h"

#include <cstdint>
#include <string>
#include <variant>

namespace citrongap {

enum class CallerVerb : std::uint8_t { Submit, Query, Cancel };

struct CallerRequest {
  CallerVerb Verb = CallerVerb::Query;
  std::string Host;
  /// Path without the query string.
  std::string Path;
  std::string ApiKey;
  std::string Body;
  /// End of the caller's wait.
  MonoTime Deadline;
};

struct AnswerAccepted {};
struct AnswerCancelled {};
struct AnswerState {
  WorkPhase Phase = WorkPhase::Queued;
};
/// Answer to a query for a whole queue.
struct AnswerQueueLength {
  std::size_t QueuedJobs = 0;
};
/// Also the answer for a job of another account.
struct AnswerJobNotFound {};
struct AnswerQueueNotFound {};
struct AnswerUnauthorized {};
/// The request had no effect and will have none.
struct AnswerNotRun {
  std::string Reason;
  Millis RetryAfter{1000};
};
/// The records may have been stored; the caller may retry.
struct AnswerUnknown {
  std::string Reason;
};
struct AnswerInvalid {
  Findings What;
};

using CallerAnswer = std::variant<AnswerAccepted, AnswerCancelled, AnswerState,
                                  AnswerQueueLength, AnswerJobNotFound,
                                  AnswerQueueNotFound, AnswerUnauthorized,
                                  AnswerNotRun, AnswerUnknown, AnswerInvalid>;
/// Value of the `answer` label and event name in the log.
const char *describe(const CallerAnswer &answer);

} // namespace citrongap

#endif // CITRONGAP_CONTROL_CALLER_ANSWER_H
