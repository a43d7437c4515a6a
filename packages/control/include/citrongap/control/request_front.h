// Answers callers on one entry VM. A submission is stored before it is
// accepted; job states come from the registry. "Not run" is definite: nothing
// of the request was stored or will be.
#ifndef CITRONGAP_CONTROL_REQUEST_FRONT_H
#define CITRONGAP_CONTROL_REQUEST_FRONT_H

#include "citrongap/base/event_log.h"
#include "citrongap/control/query_relay.h"
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

struct FrontOptions {
  /// Unknown jobs and keys are answered as such only if the registry and the
  /// configuration were read to the end within this time.
  Millis MaxReadAge{2000};
  /// With an older configuration every request is refused. The platform's bound
  /// on applying a change while the store is disturbed.
  Millis MaxConfigurationAge{6000};
  /// Time before the caller's deadline that is left for sending the answer.
  Millis AnswerMargin{250};
  /// A query for an unfinished job is answered from a registry of at most this
  /// age, or waits up to `RefreshTimeout` for a read to update it; five times
  /// the usual duration of a read.
  Millis MaxRegistryAge{20};
  Millis RefreshTimeout{40};
  /// Callers often query a job just as it ends, while its end is being stored.
  /// A query for a running job waits this long for the end; a server's report,
  /// an append and a read take about 25 ms.
  Millis EndWaitTimeout{80};
  /// Delay before the jobs are read for such a query, if no read is in flight.
  /// While the query waits, the next read follows `EndReadInterval` after each
  /// answer.
  Millis EndReadDelay{25};
  Millis EndReadInterval{10};
};

/// Parses the body of a submission.
using SubmissionParser = std::function<Checked<WorkSpec>(const std::string &)>;

class RequestFront {
public:
  using Reply = std::function<void(const CallerAnswer &)>;

  RequestFront(EventLoop &loop, WorkRegistry &registry, TopicReader &jobsReader,
               TopicReader &configurationReader, BatchAppender &appender,
               EventLog &log, SubmissionParser parseSubmission,
               FrontOptions options);

  /// Calls `reply` exactly once, possibly before it returns.
  void handle(const CallerRequest &request, const Reply &reply);
  /// Answers a question from the jobs that this entry VM has loaded; calls
  /// `reply` exactly once.
  void answer(const JobQuestion &question, const Reply &reply);
  /// Asks another entry VM while this one has not loaded the jobs. Without it,
  /// such questions are refused.
  std::function<void(const JobQuestion &, QueryRelay::Reply)> AskPeer;
  void setConfiguration(SiteConfiguration configuration);
  const SiteConfiguration *configuration() const {
    return Configuration ? &*Configuration : nullptr;
  }
  /// Answers every pending request: "not run" if its records were not sent,
  /// else "unknown". Deferred queries are answered from the registry.
  void failPendingRequests();
  /// Refuses requests whose records are queued behind an unanswered append.
  /// They have not been sent, and another entry VM may be able to store them.
  void refuseUnsent();
  /// Number of requests that wait for the store.
  std::size_t pendingRequests() const { return Pending.size(); }
  /// Whether the configuration is loaded and the store was reached recently, so
  /// that submissions can be accepted.
  bool connected() const;
  /// A read of the jobs topic was answered.
  void onJobsRead();

private:
  struct PendingRequest {
    Reply Answer;
    std::uint64_t Ticket = 0;
    Timer TimeoutTimer;
  };

  /// Wraps `reply` so that each answer is logged with its reason.
  Reply withLogging(const CallerRequest &request, const Reply &reply);
  void submit(const CallerRequest &request, const QueueRules &queue,
              const ClientAccountId &account, const WorkId &id,
              const Reply &reply);
  /// The job has ended.
  struct JobEnd {};
  /// A read of the jobs topic was answered.
  struct AnyRead {};
  /// The job is known, or all jobs that the store had at this time are.
  struct ReadUpTo {
    MonoTime At;
  };
  using Awaited = std::variant<JobEnd, AnyRead, ReadUpTo>;
  /// A query or cancellation that waits for a read of the jobs topic.
  struct DeferredQuery {
    WorkId Id;
    /// Before `Deadline`, only this or the end of the job completes it.
    Awaited WaitsFor;
    MonoTime Deadline;
    std::function<void()> Answer;
  };

  /// Calls `answer` after the registry is up to date or a time limit has
  /// passed; at once if the job has ended or the store is unreachable.
  void answerWhenCurrent(const WorkId &id, std::function<void()> answer);
  /// Answers the queries that are due; `afterRead`: after a read of the jobs.
  void answerDueQueries(bool afterRead);
  void scheduleDueQueries();
  /// Reads the jobs topic after `wait` unless a read is scheduled.
  void scheduleJobsRead(Millis wait);
  void askPeer(const JobQuestion &question, const Reply &reply);
  void query(const JobQuestion &question, const Reply &reply);
  /// Cancels the job. If it is not known, first waits until all jobs are that
  /// were accepted before the question.
  void cancelWhenCurrent(const JobQuestion &question, const Reply &reply);
  void cancel(const JobQuestion &question, MonoTime askedAt,
              const Reply &reply);
  /// Cancels a job of which the store holds no submission. One may still be
  /// stored later: its entry VM retries it.
  void cancelEarly(const JobQuestion &question, const Reply &reply);
  bool hasOccurred(const Awaited &awaited, const WorkId &id,
                   bool afterRead) const;
  /// All jobs that the store had at this time are known.
  bool hasReadUpTo(MonoTime at) const;
  /// The job if it is known and belongs to the account or to none.
  const RegistryEntry *findVisible(const WorkId &id,
                                   const ClientAccountId &account) const;
  /// "No such job" if the registry is up to date, else "not run".
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
  /// Requests whose records are queued or in flight, by an id of their own.
  std::map<std::uint64_t, PendingRequest> Pending;
  std::vector<DeferredQuery> DeferredQueries;
  Timer QueryTimer;
  Timer JobsReadTimer;
  std::uint64_t NextPending = 1;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_REQUEST_FRONT_H
