// Answers callers on one entry VM: submissions are stored before they are
// accepted, states are read from the board. A refusal is true: nothing of the
// request was stored, and nothing will be.
#ifndef CITRONGAP_CONTROL_REQUEST_FRONT_H
#define CITRONGAP_CONTROL_REQUEST_FRONT_H

#include "citrongap/base/event_log.h"
#include "citrongap/control/site_configuration.h"
#include "citrongap/control/work_registry.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/store/batch_appender.h"
#include "citrongap/store/topic_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

enum class CallerVerb : std::uint8_t { Submit, Query, Cancel };

struct CallerRequest {
  CallerVerb Verb = CallerVerb::Query;
  std::string Host;
  /// Path without query.
  std::string Path;
  std::string ApiKey;
  std::string Body;
  /// Until when the caller waits.
  MonoTime Deadline;
};

struct AnswerAccepted {};
struct AnswerCancelled {};
struct AnswerState {
  WorkPhase Phase = WorkPhase::Queued;
};
struct AnswerQueueLength {
  std::size_t QueuedJobs = 0;
};
struct AnswerJobNotFound {};
struct AnswerQueueNotFound {};
struct AnswerUnauthorized {};
/// It was not run and will not be, by this request.
struct AnswerNotRun {
  std::string Reason;
  Millis RetryAfter{1000};
};
/// Whether it was stored is not known; the caller may ask again.
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
/// A short word for logs and counters.
const char *describe(const CallerAnswer &answer);

struct FrontOptions {
  /// Answers about unknown jobs and keys are given only when the board and the
  /// configuration were read to the end within this time.
  Millis MaxReadAge{2000};
  /// With an older configuration nothing is answered; the platform's bound on
  /// applying a change, with the store disturbed.
  Millis MaxConfigurationAge{6000};
  /// Before the caller's deadline, so that the answer still arrives.
  Millis AnswerMargin{250};
  /// A question about a job that has not ended is answered from a board that
  /// is so old, or waits `RefreshWithin` for a read that brings it up to date;
  /// five times what a read usually takes.
  Millis MaxRegistryAge{20};
  Millis RefreshTimeout{40};
  /// Callers often ask at the very end of a job, while that is being stored. A
  /// question about a running job waits so long for it; a server's report, an
  /// append and a read take about 25 ms.
  Millis EndWaitTimeout{80};
  /// After this the jobs are read, if no read is out, and again `ReadAgain`
  /// after each answer.
  Millis EndReadDelay{25};
  Millis EndReadInterval{10};
};

/// Reads the body of a submission.
using SubmissionParser = std::function<Checked<WorkSpec>(const std::string &)>;

class RequestFront {
public:
  using Reply = std::function<void(const CallerAnswer &)>;

  RequestFront(EventLoop &loop, WorkRegistry &registry, TopicReader &jobsReader,
               TopicReader &configurationReader, BatchAppender &appender,
               EventLog &log, SubmissionParser parseSubmission,
               FrontOptions options);

  /// Replies exactly once.
  void handle(const CallerRequest &request, const Reply &reply);
  void setConfiguration(SiteConfiguration configuration);
  const SiteConfiguration *configuration() const {
    return Configuration ? &*Configuration : nullptr;
  }
  /// Answers every request that waits for the store: "not run" where that is
  /// certain, else "unknown".
  void failPendingRequests();
  /// Refuses requests whose records wait behind one that has no answer: they
  /// have not been sent, and callers are better off elsewhere.
  void refuseUnsent();
  /// Requests that wait for the store.
  std::size_t pendingRequests() const { return Pending.size(); }
  /// The store was reached of late.
  bool connected() const;
  /// A read of the jobs was answered.
  void onJobsRead();

private:
  struct PendingRequest {
    Reply Answer;
    std::uint64_t Ticket = 0;
    Timer TimeoutTimer;
  };

  /// `reply`, and a log line with what decided the answer.
  Reply withLogging(const CallerRequest &request, const Reply &reply);
  void submit(const CallerRequest &request, const QueueRules &queue,
              const ClientAccountId &account, const WorkId &id,
              const Reply &reply);
  /// A question about a job that waits for a read of the jobs.
  struct DeferredQuery {
    WorkId Id;
    /// Only the end of the job answers it sooner than `Until`.
    bool WaitsForEnd = false;
    MonoTime Deadline;
    std::function<void()> Answer;
  };

  /// Answers once the board is up to date, or the time for that is over; at
  /// once when the job has ended or the store is out of reach.
  void answerWhenCurrent(const WorkId &id, std::function<void()> answer);
  /// Answers the questions that need not wait any more.
  void answerDueQueries(bool afterRead);
  void scheduleDueQueries();
  /// Has the jobs read after `wait`, unless that is due already.
  void scheduleJobsRead(Millis wait);
  void query(const ClientAccountId &account, const WorkId &id,
             const Reply &reply);
  void cancel(const CallerRequest &request, const ClientAccountId &account,
              const WorkId &id, const Reply &reply);
  /// The job, if it is known and the account may see it.
  const RegistryEntry *findVisible(const WorkId &id,
                                   const ClientAccountId &account) const;
  /// "No such job" if that is certain, else "not run".
  CallerAnswer jobNotFound() const;
  void storeRecords(std::vector<KeyedRecord> records, MonoTime deadline,
                    const Reply &reply, std::function<CallerAnswer()> onStored);
  void abandon(std::uint64_t id, const char *reason);
  void finish(std::uint64_t id, const CallerAnswer &answer);
  bool isCurrent(const TopicReader &reader, Millis maxAge) const;

  EventLoop &Loop;
  WorkRegistry &Registry;
  TopicReader &JobsReader;
  TopicReader &ConfigurationReader;
  BatchAppender &Appender;
  EventLog &Log;
  SubmissionParser ParseSubmission;
  FrontOptions Options;
  std::optional<SiteConfiguration> Configuration;
  /// Requests whose records are on their way to the store.
  std::map<std::uint64_t, PendingRequest> Pending;
  std::vector<DeferredQuery> DeferredQueries;
  Timer QueryTimer;
  Timer JobsReadTimer;
  std::uint64_t NextPending = 1;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_REQUEST_FRONT_H
