// Checks a caller's request, stores what must last, and answers.
#include "citrongap/control/request_front.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace citrongap {

namespace {

constexpr std::size_t WorkIdDigits = 16;
/// Callers have about 3 s for all their tries; the least that the header can
/// say lets them find the store, or another entry VM, soonest.
constexpr Millis StoreRetry{1000};

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

RequestFront::RequestFront(EventLoop &loop, WorkRegistry &board,
                           TopicReader &jobsTail,
                           TopicReader &configurationTail,
                           BatchAppender &appender, EventLog &log,
                           ReadSubmission readSubmission, FrontOptions terms)
    : Loop(loop), Board(board), JobsTail(jobsTail),
      ConfigurationTail(configurationTail), Appender(appender), Log(log),
      Read(std::move(readSubmission)), Terms(terms) {}

void RequestFront::setConfiguration(SiteConfiguration configuration) {
  Configuration = std::move(configuration);
}

bool RequestFront::fresh(const TopicReader &tail, Millis within) const {
  const auto at = tail.currentAsOf();
  return at && monoNow() - *at <= within;
}

bool RequestFront::connected() const {
  return Configuration && JobsTail.loaded() &&
         fresh(ConfigurationTail, Terms.MaxReadAge) && !Appender.isRetrying();
}

RequestFront::Reply RequestFront::logging(const CallerRequest &request,
                                          const Reply &reply) {
  return [this, came = monoNow(), verb = request.Verb, path = request.Path,
          reply](const CallerAnswer &answer) {
    const auto *notRun = std::get_if<AnswerNotRun>(&answer);
    const auto *unknown = std::get_if<AnswerUnknown>(&answer);
    const auto *state = std::get_if<AnswerState>(&answer);
    static constexpr const char *Verbs[] = {"submit", "query", "cancel"};
    Log("front", describe(answer),
        "request={} verb={} took_ms={} revision={} phase={} why=\"{}\"",
        path.substr(path.rfind('/') + 1), Verbs[static_cast<std::size_t>(verb)],
        (monoNow() - came).count(),
        Configuration ? Configuration->InForce.value() : 0,
        state ? describe(state->Phase) : "-",
        notRun    ? notRun->Reason
        : unknown ? unknown->Reason
                  : "");
    reply(answer);
  };
}

void RequestFront::handle(const CallerRequest &request, const Reply &reply) {
  const Reply logged = logging(request, reply);
  if (!Configuration || !fresh(ConfigurationTail, Terms.MaxConfigurationAge)) {
    logged(AnswerNotRun{"no current configuration", StoreRetry});
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
  if (rest.empty() && request.Verb == CallerVerb::Query) {
    if (!JobsTail.loaded())
      logged(AnswerNotRun{"jobs are being read", StoreRetry});
    else
      logged(AnswerQueueLength{Board.waiting(queue->Id)});
    return;
  }
  if (!isWorkId(rest)) {
    Findings findings;
    findings.add("path", "does not end with an id of 16 hexadecimal digits");
    logged(AnswerInvalid{std::move(findings)});
    return;
  }
  const WorkId id(rest);
  switch (request.Verb) {
  case CallerVerb::Submit:
    submit(request, *queue, account, id, logged);
    break;
  case CallerVerb::Query:
    whenFresh(id, [this, account, id, logged] { query(account, id, logged); });
    break;
  case CallerVerb::Cancel:
    whenFresh(id, [this, request, account, id, logged] {
      cancel(request, account, id, logged);
    });
    break;
  }
}

void RequestFront::submit(const CallerRequest &request, const QueueRules &queue,
                          const ClientAccountId &account, const WorkId &id,
                          const Reply &reply) {
  if (Board.find(id)) {
    reply(AnswerAccepted{});
    return;
  }
  auto read = Read(request.Body);
  if (auto *findings = std::get_if<Findings>(&read)) {
    reply(AnswerInvalid{std::move(*findings)});
    return;
  }
  if (!connected()) {
    reply(AnswerNotRun{"the store is out of reach", StoreRetry});
    return;
  }
  WorkSpec spec = std::move(std::get<WorkSpec>(read));
  spec.Id = id;
  spec.Queue = queue.Id;
  spec.Account = account;
  spec.Priority = queue.Priority;
  spec.MaxAttempts = queue.MaxAttempts;
  spec.Service = queue.Service;
  spec.Objective = queue.Objective;
  spec.AcceptedAtMs = toMillis(wallNow());
  std::vector<KeyedRecord> records{{specKey(id), encode(spec)}};
  store(std::move(records), request.Deadline, reply,
        [this, spec = std::move(spec)]() -> CallerAnswer {
          Board.applySpec(spec);
          return AnswerAccepted{};
        });
}

const RegistryEntry *
RequestFront::visible(const WorkId &id, const ClientAccountId &account) const {
  const RegistryEntry *entry = Board.find(id);
  const bool foreign =
      entry && !entry->Spec->Account.empty() && entry->Spec->Account != account;
  return foreign ? nullptr : entry;
}

CallerAnswer RequestFront::noJob() const {
  if (JobsTail.loaded() && fresh(JobsTail, Terms.MaxReadAge))
    return AnswerJobNotFound{};
  return AnswerNotRun{"jobs are not known to the end", StoreRetry};
}

void RequestFront::whenFresh(const WorkId &id, std::function<void()> answer) {
  const RegistryEntry *entry = Board.find(id);
  const bool running = entry && entry->Phase == WorkPhase::Running;
  const bool stale = JobsTail.pausing() && !fresh(JobsTail, Terms.BoardUsable);
  const bool reachable = fresh(ConfigurationTail, Terms.MaxReadAge);
  if ((entry && ended(entry->Phase)) || !reachable || (!running && !stale)) {
    answer();
    return;
  }
  const MonoTime now = monoNow();
  Questions.push_back({id, running,
                       now + (running ? Terms.EndWithin : Terms.RefreshWithin),
                       std::move(answer)});
  if (!running)
    JobsTail.readNow();
  else
    readForEnd(Terms.ReadForEndAfter);
  watchQuestions();
}

void RequestFront::readForEnd(Millis wait) {
  if (!ReadForEnd.pending())
    ReadForEnd = Loop.at(monoNow() + wait, [this] { JobsTail.readNow(); });
}

void RequestFront::onJobsRead() { answerQuestions(true); }

void RequestFront::answerQuestions(bool read) {
  const MonoTime now = monoNow();
  std::vector<Question> due;
  std::vector<Question> open;
  for (Question &it : Questions) {
    const RegistryEntry *entry = Board.find(it.Id);
    const bool over = entry && ended(entry->Phase);
    const bool answered = over || now >= it.Until || (read && !it.ForEnd);
    (answered ? due : open).push_back(std::move(it));
  }
  Questions = std::move(open);
  watchQuestions();
  if (read && !Questions.empty())
    readForEnd(Terms.ReadAgain);
  for (const Question &it : due)
    it.Answer();
}

void RequestFront::watchQuestions() {
  NextQuestion.cancel();
  if (Questions.empty())
    return;
  const auto first = std::min_element(
      Questions.begin(), Questions.end(),
      [](const auto &lhs, const auto &rhs) { return lhs.Until < rhs.Until; });
  NextQuestion = Loop.at(first->Until, [this] { answerQuestions(false); });
}

void RequestFront::query(const ClientAccountId &account, const WorkId &id,
                         const Reply &reply) {
  const RegistryEntry *entry = visible(id, account);
  if (!entry)
    reply(noJob());
  else if (entry->CancelAsked && !ended(entry->Phase))
    reply(AnswerState{WorkPhase::Cancelled});
  else
    reply(AnswerState{entry->Phase});
}

void RequestFront::cancel(const CallerRequest &request,
                          const ClientAccountId &account, const WorkId &id,
                          const Reply &reply) {
  const RegistryEntry *entry = visible(id, account);
  if (!entry) {
    reply(noJob());
    return;
  }
  if (entry->CancelAsked || ended(entry->Phase)) {
    reply(AnswerCancelled{});
    return;
  }
  if (!connected()) {
    reply(AnswerNotRun{"the store is out of reach", StoreRetry});
    return;
  }
  const KeyedRecord record{cancelKey(id), "1"};
  store({record}, request.Deadline, reply, [this, record]() -> CallerAnswer {
    Board.apply(record);
    return AnswerCancelled{};
  });
}

void RequestFront::store(std::vector<KeyedRecord> records, MonoTime deadline,
                         const Reply &reply,
                         std::function<CallerAnswer()> onStored) {
  const std::uint64_t id = NextPending++;
  Waiting &waiting = Pending[id];
  waiting.Answer = reply;
  Appender.append(
      std::move(records),
      [this, id, onStored = std::move(onStored)](bool appended) {
        if (!appended) {
          finish(id, AnswerNotRun{"the store refused the record", StoreRetry});
          return;
        }
        const CallerAnswer answer = onStored();
        finish(id, answer);
      });
  waiting.Ticket = Appender.lastTicket();
  // A caller that waits shorter than the margin still gets most of its time.
  const MonoTime now = monoNow();
  const MonoTime giveUpAt =
      std::max(deadline - Terms.AnswerMargin, now + (deadline - now) * 3 / 4);
  waiting.GiveUp =
      Loop.at(giveUpAt, [this, id] { giveUp(id, "the store is silent"); });
}

void RequestFront::giveUp(std::uint64_t id, const char *reason) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  if (Appender.withdraw(it->second.Ticket))
    finish(id, AnswerNotRun{reason, StoreRetry});
  else
    finish(id, AnswerUnknown{reason});
}

void RequestFront::failPendingRequests() {
  for (const Question &it : std::exchange(Questions, {}))
    it.Answer();
  while (!Pending.empty())
    giveUp(Pending.begin()->first, "this entry VM is stopping");
}

void RequestFront::refuseUnsent() {
  std::vector<std::uint64_t> unsent;
  for (const auto &[id, waiting] : Pending)
    if (Appender.withdraw(waiting.Ticket))
      unsent.push_back(id);
  for (const std::uint64_t it : unsent)
    finish(it, AnswerNotRun{"the store is out of reach", StoreRetry});
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
