// Checks requests, stores submissions and cancellations, and answers.
#include "citrongap/control/request_front.h"

#include "citrongap/base/outcome.h"
#include "citrongap/workload/state_room.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {

constexpr std::size_t WorkIdDigits = 16;
/// Callers have about 3 s for all attempts. The smallest value that Retry-After
/// can express lets them reach the store or another entry VM soonest.
constexpr Millis StoreRetryAfter{1000};

bool isWorkId(const std::string &text) {
  return text.size() == WorkIdDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char it) { return std::isxdigit(it) != 0; });
}

} // namespace

const char *describe(const CallerAnswer &answer) {
  static constexpr const char *Names[] = {
      "accepted", "cancelled",    "state",   "waiting", "no_job",
      "no_queue", "unauthorized", "not_run", "unknown", "invalid"};
  return Names[answer.index()];
}

RequestFront::RequestFront(EventLoop &loop, WorkRegistry &registry,
                           TopicReader &jobsReader,
                           TopicReader &configurationReader,
                           BatchAppender &appender, EventLog &log,
                           SubmissionParser parseSubmission,
                           FrontOptions options)
    : Loop(loop), Registry(registry), JobsReader(jobsReader),
      ConfigurationReader(configurationReader), Appender(appender), Log(log),
      ParseSubmission(std::move(parseSubmission)), Options(options) {}

void RequestFront::setConfiguration(SiteConfiguration configuration) {
  Configuration = std::move(configuration);
}

bool RequestFront::isCurrent(const TopicReader &reader, Millis maxAge) const {
  const auto at = reader.currentAsOf();
  return at && monoNow() - *at <= maxAge;
}

bool RequestFront::connected() const {
  return Configuration && isCurrent(ConfigurationReader, Options.MaxReadAge) &&
         !Appender.isRetrying();
}

RequestFront::Reply RequestFront::withLogging(const CallerRequest &request,
                                              const Reply &reply) {
  return [this, receivedAt = monoNow(), verb = request.Verb,
          path = request.Path, reply](const CallerAnswer &answer) {
    const auto *notRun = std::get_if<AnswerNotRun>(&answer);
    const auto *unknown = std::get_if<AnswerUnknown>(&answer);
    const auto *state = std::get_if<AnswerState>(&answer);
    static constexpr const char *Verbs[] = {"submit", "query", "cancel"};
    Log("front", describe(answer),
        "request={} verb={} took_ms={} revision={} phase={} why=\"{}\"",
        path.substr(path.rfind('/') + 1), Verbs[static_cast<std::size_t>(verb)],
        (monoNow() - receivedAt).count(),
        Configuration ? Configuration->InForce.value() : 0,
        state ? describe(state->Phase) : "-",
        notRun    ? notRun->Reason
        : unknown ? unknown->Reason
                  : "");
    reply(answer);
  };
}

void RequestFront::handle(const CallerRequest &request, const Reply &reply) {
  const Reply logged = withLogging(request, reply);
  if (!Configuration ||
      !isCurrent(ConfigurationReader, Options.MaxConfigurationAge)) {
    logged(AnswerNotRun{"no current configuration", StoreRetryAfter});
    return;
  }
  const QueueRules *queue = Configuration->queueFor(request.Host, request.Path);
  if (!queue) {
    logged(AnswerQueueNotFound{});
    return;
  }
  ClientAccountId account;
  const auto key = Configuration->AccountByKey.find(request.ApiKey);
  if (key != Configuration->AccountByKey.end())
    account = key->second;
  if (account.empty() && !queue->Public) {
    logged(AnswerUnauthorized{});
    return;
  }
  const std::string rest = request.Path.substr(queue->PathPrefix.size());
  const bool aboutQueue = rest.empty() && request.Verb == CallerVerb::Query;
  if (!aboutQueue && !isWorkId(rest)) {
    Findings findings;
    findings.add("path", "does not end with an id of 16 hexadecimal digits");
    logged(AnswerInvalid{std::move(findings)});
    return;
  }
  const WorkId id(rest);
  if (request.Verb == CallerVerb::Submit) {
    submit(request, *queue, account, id, logged);
    return;
  }
  const JobQuestion question{request.Verb, queue->Id, account, id,
                             request.Deadline};
  if (JobsReader.loaded())
    answer(question, logged);
  else
    askPeer(question, logged);
}

void RequestFront::answer(const JobQuestion &question, const Reply &reply) {
  if (question.Id.empty()) {
    reply(AnswerQueueLength{Registry.queuedJobs(question.Queue)});
    return;
  }
  if (question.Verb == CallerVerb::Cancel) {
    cancelWhenCurrent(question, reply);
    return;
  }
  answerWhenCurrent(question.Id,
                    [this, question, reply] { query(question, reply); });
}

void RequestFront::askPeer(const JobQuestion &question, const Reply &reply) {
  const AnswerNotRun refusal{"jobs are being read", StoreRetryAfter};
  if (!AskPeer) {
    reply(refusal);
    return;
  }
  JobQuestion asked = question;
  asked.Deadline -= Options.AnswerMargin;
  AskPeer(asked, [verb = question.Verb, refusal,
                  reply](const std::optional<CallerAnswer> &answer) {
    if (answer)
      reply(*answer);
    else if (verb == CallerVerb::Cancel)
      reply(AnswerUnknown{"no entry VM that knows the jobs answered"});
    else
      reply(refusal);
  });
}

void RequestFront::submit(const CallerRequest &request, const QueueRules &queue,
                          const ClientAccountId &account, const WorkId &id,
                          const Reply &reply) {
  if (const RegistryEntry *known = Registry.find(id)) {
    const ClientAccountId &owner = known->Spec->Account;
    // The key of a retry on a public queue may have been revoked since.
    if (!account.empty() && !owner.empty() && account != owner) {
      Findings findings;
      findings.add("path", "ends with the id of another account's job");
      reply(AnswerInvalid{std::move(findings)});
    } else {
      reply(AnswerAccepted{});
    }
    return;
  }
  if (Registry.cancelledEarly(id, account)) {
    Findings findings;
    findings.add("path", "ends with the id of a job that was cancelled");
    reply(AnswerInvalid{std::move(findings)});
    return;
  }
  auto parsed = ParseSubmission(request.Body);
  if (auto *findings = std::get_if<Findings>(&parsed)) {
    reply(AnswerInvalid{std::move(*findings)});
    return;
  }
  if (!connected()) {
    reply(AnswerNotRun{"the store is out of reach", StoreRetryAfter});
    return;
  }
  WorkSpec spec = std::move(std::get<WorkSpec>(parsed));
  spec.Id = id;
  spec.Queue = queue.Id;
  spec.Account = account;
  spec.Priority = queue.Priority;
  spec.MaxAttempts = queue.MaxAttempts;
  spec.Service = queue.Service;
  spec.Objective = queue.Objective;
  spec.AcceptedAtMs = toMillis(wallNow());
  std::string encoded = encode(spec);
  // The store would refuse it, and all that is appended with it.
  if (encoded.size() > MaxEncodedBytes) {
    Findings findings;
    findings.add("/", fmt::format("takes {} bytes to store, more than {}",
                                  encoded.size(), MaxEncodedBytes));
    reply(AnswerInvalid{std::move(findings)});
    return;
  }
  std::vector<KeyedRecord> records{{specKey(id), std::move(encoded)}};
  storeRecords(std::move(records), request.Deadline, reply,
               [this, spec = std::move(spec)]() -> CallerAnswer {
                 Registry.applySpec(spec);
                 return AnswerAccepted{};
               });
}

const RegistryEntry *
RequestFront::findVisible(const WorkId &id,
                          const ClientAccountId &account) const {
  const RegistryEntry *entry = Registry.find(id);
  return entry && belongsTo(*entry->Spec, account) ? entry : nullptr;
}

void RequestFront::cancelWhenCurrent(const JobQuestion &question,
                                     const Reply &reply) {
  const MonoTime askedAt = monoNow();
  auto answer = [this, question, askedAt, reply] {
    cancel(question, askedAt, reply);
  };
  if (Registry.find(question.Id) || !connected()) {
    answerWhenCurrent(question.Id, std::move(answer));
    return;
  }
  DeferredQueries.push_back({question.Id, ReadUpTo{askedAt},
                             question.Deadline - Options.AnswerMargin,
                             std::move(answer)});
  JobsReader.readNow();
  scheduleDueQueries();
}

CallerAnswer RequestFront::jobNotFound() const {
  if (JobsReader.loaded() && isCurrent(JobsReader, Options.MaxReadAge))
    return AnswerJobNotFound{};
  return AnswerNotRun{"jobs are not known to the end", StoreRetryAfter};
}

void RequestFront::answerWhenCurrent(const WorkId &id,
                                     std::function<void()> answer) {
  const RegistryEntry *entry = Registry.find(id);
  const bool mayEnd =
      entry && (entry->Phase == WorkPhase::Running || entry->WasPlaced);
  const bool stale =
      JobsReader.pausing() && !isCurrent(JobsReader, Options.MaxRegistryAge);
  const bool reachable = isCurrent(ConfigurationReader, Options.MaxReadAge);
  if ((entry && ended(entry->Phase)) || !reachable || (!mayEnd && !stale)) {
    answer();
    return;
  }
  const MonoTime now = monoNow();
  DeferredQueries.push_back(
      {id, mayEnd ? Awaited(JobEnd{}) : Awaited(AnyRead{}),
       now + (mayEnd ? Options.EndWaitTimeout : Options.RefreshTimeout),
       std::move(answer)});
  if (!mayEnd)
    JobsReader.readNow();
  else
    scheduleJobsRead(Options.EndReadDelay);
  scheduleDueQueries();
}

void RequestFront::scheduleJobsRead(Millis wait) {
  if (!JobsReadTimer.pending())
    JobsReadTimer = Loop.at(monoNow() + wait, [this] { JobsReader.readNow(); });
}

void RequestFront::onJobsRead() { answerDueQueries(true); }

bool RequestFront::hasOccurred(const Awaited &awaited, const WorkId &id,
                               bool afterRead) const {
  const RegistryEntry *entry = Registry.find(id);
  if (entry && ended(entry->Phase))
    return true;
  return std::visit(Overloaded{[](const JobEnd &) { return false; },
                               [&](const AnyRead &) { return afterRead; },
                               [&](const ReadUpTo &it) {
                                 return entry || hasReadUpTo(it.At);
                               }},
                    awaited);
}

bool RequestFront::hasReadUpTo(MonoTime at) const {
  const auto asOf = JobsReader.currentAsOf();
  return JobsReader.loaded() && asOf && *asOf >= at;
}

void RequestFront::answerDueQueries(bool afterRead) {
  const MonoTime now = monoNow();
  std::vector<DeferredQuery> due;
  std::vector<DeferredQuery> deferred;
  for (DeferredQuery &it : DeferredQueries) {
    const bool answered =
        now >= it.Deadline || hasOccurred(it.WaitsFor, it.Id, afterRead);
    (answered ? due : deferred).push_back(std::move(it));
  }
  DeferredQueries = std::move(deferred);
  scheduleDueQueries();
  if (afterRead && !DeferredQueries.empty())
    scheduleJobsRead(Options.EndReadInterval);
  for (const DeferredQuery &it : due)
    it.Answer();
}

void RequestFront::scheduleDueQueries() {
  QueryTimer.cancel();
  if (DeferredQueries.empty())
    return;
  const auto first =
      std::min_element(DeferredQueries.begin(), DeferredQueries.end(),
                       [](const auto &lhs, const auto &rhs) {
                         return lhs.Deadline < rhs.Deadline;
                       });
  QueryTimer = Loop.at(first->Deadline, [this] { answerDueQueries(false); });
}

void RequestFront::query(const JobQuestion &question, const Reply &reply) {
  const RegistryEntry *entry = findVisible(question.Id, question.Account);
  if (!entry)
    reply(jobNotFound());
  else if (entry->CancelRequested && !ended(entry->Phase))
    reply(AnswerState{WorkPhase::Cancelled});
  else
    reply(AnswerState{entry->Phase});
}

void RequestFront::cancel(const JobQuestion &question, MonoTime askedAt,
                          const Reply &reply) {
  const RegistryEntry *entry = findVisible(question.Id, question.Account);
  if (!entry) {
    // Another entry VM may have accepted the job just before.
    if (!hasReadUpTo(askedAt))
      reply(AnswerNotRun{"jobs are not known to the end", StoreRetryAfter});
    else if (Registry.find(question.Id))
      reply(AnswerJobNotFound{});
    else
      cancelEarly(question, reply);
    return;
  }
  if (entry->CancelRequested || ended(entry->Phase)) {
    reply(AnswerCancelled{});
    return;
  }
  if (!connected()) {
    reply(AnswerNotRun{"the store is out of reach", StoreRetryAfter});
    return;
  }
  const KeyedRecord record = cancellation(question.Id);
  storeRecords({record}, question.Deadline, reply,
               [this, record]() -> CallerAnswer {
                 Registry.apply(record);
                 return AnswerCancelled{};
               });
}

void RequestFront::cancelEarly(const JobQuestion &question,
                               const Reply &reply) {
  if (!connected()) {
    reply(AnswerNotRun{"the store is out of reach", StoreRetryAfter});
    return;
  }
  const KeyedRecord record = earlyCancellation(question.Id, question.Account);
  storeRecords({record}, question.Deadline, reply,
               [this, question, record]() -> CallerAnswer {
                 Registry.apply(record);
                 if (findVisible(question.Id, question.Account))
                   return AnswerCancelled{};
                 return AnswerJobNotFound{};
               });
}

void RequestFront::storeRecords(std::vector<KeyedRecord> records,
                                MonoTime deadline, const Reply &reply,
                                std::function<CallerAnswer()> onStored) {
  const std::uint64_t id = NextPending++;
  PendingRequest &pending = Pending[id];
  pending.Answer = reply;
  Appender.append(std::move(records), [this, id,
                                       onStored = std::move(onStored)](
                                          AppendOutcome it) {
    if (it == AppendOutcome::Appended)
      finish(id, onStored());
    else if (it == AppendOutcome::Unknown)
      finish(id, AnswerUnknown{"the store refused a repeat of the record"});
    else
      finish(id, AnswerNotRun{"the store refused the record", StoreRetryAfter});
  });
  pending.Ticket = Appender.lastTicket();
  // A short deadline leaves no room for the margin; three quarters of the
  // remaining time are used then.
  const MonoTime now = monoNow();
  const MonoTime timeoutAt =
      std::max(deadline - Options.AnswerMargin, now + (deadline - now) * 3 / 4);
  pending.TimeoutTimer =
      Loop.at(timeoutAt, [this, id] { abandon(id, "the store is silent"); });
}

void RequestFront::abandon(std::uint64_t id, const char *reason) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  if (Appender.withdraw(it->second.Ticket))
    finish(id, AnswerNotRun{reason, StoreRetryAfter});
  else
    finish(id, AnswerUnknown{reason});
}

void RequestFront::failPendingRequests() {
  for (const DeferredQuery &it : std::exchange(DeferredQueries, {}))
    it.Answer();
  while (!Pending.empty())
    abandon(Pending.begin()->first, "this entry VM is stopping");
}

void RequestFront::refuseUnsent() {
  std::vector<std::uint64_t> unsent;
  for (const auto &[id, pending] : Pending)
    if (Appender.withdraw(pending.Ticket))
      unsent.push_back(id);
  for (const std::uint64_t it : unsent)
    finish(it, AnswerNotRun{"the store is out of reach", StoreRetryAfter});
}

void RequestFront::finish(std::uint64_t id, const CallerAnswer &answer) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  const Reply reply = std::move(it->second.Answer);
  Pending.erase(it);
  reply(answer);
}

} // namespace citrongap
