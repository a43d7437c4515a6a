// Routes of the callers' interface.
#include "citrongap/daemon/http_api.h"

#include "citrongap/daemon/job_json.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace citrongap {

namespace {

constexpr int Accepted = 202;
constexpr int BadRequest = 400;
constexpr int Missing = 404;
constexpr int NotAllowed = 405;
constexpr int Conflict = 409;
constexpr int TooMany = 429;
constexpr int Unavailable = 503;
constexpr int NoOutcome = 504;
constexpr std::int64_t MaxWaitMs = 600000;
constexpr std::int64_t DefaultWaitMs = 0;
constexpr std::int64_t RateRetryMs = 1000;
constexpr Millis CancelPatience{5000};
constexpr std::string_view JobsPath = "/v1/jobs/";

HttpResponse errorResponse(int status, const std::string &text) {
  Findings findings;
  findings.add("/", text);
  return {status, findingsJson(findings)};
}

HttpResponse outcomeResponse(const JobId &job, const Outcome &outcome) {
  const int status =
      std::visit(Overloaded{[](const Done &) { return 200; },
                            [](const Failed &) { return 200; },
                            [](const NotRun &it) {
                              return it.RetryAfterMs > 0 ? Unavailable : 200;
                            },
                            [](const Unknown &) { return NoOutcome; }},
                 outcome);
  return {status, outcomeJson(job, outcome)};
}

/// Refused before anybody was asked whether the key ran: it can't be "not run",
/// since an earlier call with the key may have started it.
HttpResponse notLookedAt(int status, const JobId &job,
                         const std::string &reason) {
  return {status,
          answerJson(job,
                     {{"outcome", "unknown"},
                      {"reason", reason + "; this call started nothing"},
                      {"retry_after_ms", std::to_string(RateRetryMs)}},
                     {})};
}

/// Nobody asked knows the key; an owner that died may have run it.
HttpResponse expiredResponse(const JobId &job) {
  Findings findings;
  findings.add("/deadline_ms", "has passed");
  return {BadRequest,
          answerJson(job,
                     {{"outcome", "unknown"},
                      {"reason", "the deadline has passed and nothing "
                                 "starts; an earlier call with this key "
                                 "may have run"}},
                     findings)};
}

HttpResponse stageResponse(const JobId &job, JobStage stage) {
  if (stage == JobStage::NotKnown)
    return errorResponse(
        Missing, "no such job is known; submit it again with the same key");
  const char *name = stage == JobStage::Running ? "running" : "waiting";
  return {Accepted, answerJson(job,
                               {{"state", name},
                                {"ask_again", "GET /v1/jobs/" + job.str()}},
                               {})};
}

HttpResponse answerResponse(const JobId &job, const JobFront::Answer &answer) {
  return std::visit(
      Overloaded{[&](const Outcome &it) { return outcomeResponse(job, it); },
                 [&](JobStage it) { return stageResponse(job, it); }},
      answer);
}

/// The `wait_ms` parameter; null when it is not a number in range.
std::optional<Millis> waitOf(const std::string &target) {
  const std::string text = queryParameter(target, "wait_ms");
  if (text.empty())
    return Millis(DefaultWaitMs);
  std::int64_t n = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || ptr != end || n < 0 || n > MaxWaitMs)
    return std::nullopt;
  return Millis(n);
}

/// "/v1/jobs/ACCOUNT/KEY" gives the job.
std::optional<JobId> jobOf(const std::string &path) {
  if (!path.starts_with(JobsPath))
    return std::nullopt;
  const std::string rest = path.substr(JobsPath.size());
  const auto slash = rest.find('/');
  if (slash == 0 || slash == std::string::npos || slash + 1 == rest.size())
    return std::nullopt;
  if (rest.find('/', slash + 1) != std::string::npos)
    return std::nullopt;
  return JobId{ClientAccountId(rest.substr(0, slash)),
               RequestKey(rest.substr(slash + 1))};
}

} // namespace

HttpApi::HttpApi(NodeServices &node, JobFront &front, Metrics &metrics,
                 std::size_t maxOpenRequests)
    : Node(node), Front(front), Counted(metrics), MaxOpen(maxOpenRequests) {}

void HttpApi::handle(const HttpRequest &request,
                     const HttpResponder &responder) {
  const std::string path = pathOf(request.Target);
  if (Node.leaving())
    responder.closeAfter();
  if (path == "/v1/status")
    return responder.send({200, Node.statusJson()});
  if (path == "/metrics")
    return responder.send(
        {200, Node.metricsText(), "text/plain; version=0.0.4"});
  if (path == "/v1/configuration" && request.Method == "GET")
    return responder.send({200, Node.configurationJson()});
  if (path == "/v1/configuration" && request.Method == "POST")
    return Node.publish(request.Body, [responder](const HttpResponse &it) {
      responder.send(it);
    });
  if (path == "/v1/jobs" && request.Method == "POST")
    return submit(request, responder);
  const auto job = jobOf(path);
  if (!job)
    return responder.send(errorResponse(
        Missing, fmt::format("there is no {} {}", request.Method, path)));
  if (request.Method == "GET")
    return await(*job, request, responder);
  if (request.Method == "DELETE")
    return cancel(*job, responder);
  responder.send(errorResponse(
      NotAllowed, fmt::format("{} is not allowed here", request.Method)));
}

void HttpApi::submit(const HttpRequest &request,
                     const HttpResponder &responder) {
  const auto parsed = parseSubmission(request.Body);
  if (const auto *findings = std::get_if<Findings>(&parsed))
    return responder.send({BadRequest, findingsJson(*findings)});
  auto job = std::get<JobRequest>(parsed);
  job.SubmissionId = Ids.uniqueId();
  Findings findings = check(job);
  const auto wait = waitOf(request.Target);
  if (!wait)
    findings.add("?wait_ms",
                 fmt::format("is not a whole number from 0 to {}", MaxWaitMs));
  if (!findings.empty())
    return responder.send({BadRequest, findingsJson(findings)});
  if (job.Deadline <= wallNow())
    return answerExpired(job.Id, responder);
  const bool tooFast = rateExceeded(job.Id.Account);
  if (tooFast || *Open >= MaxOpen) {
    Counted.onTurnedAway(job.Id.Account, job.Class);
    return responder.send(
        tooFast ? notLookedAt(TooMany, job.Id,
                              "the account's request rate is exceeded")
                : notLookedAt(Unavailable, job.Id, "too many open requests"));
  }
  ++*Open;
  const auto submitted = Front.submit(
      Node.homeOf(job.Id), job, monoNow() + *wait,
      [responder, id = job.Id, it = job.Class, open = Open, came = monoNow(),
       &counted = Counted](const JobFront::Answer &answer) {
        --*open;
        if (const auto *outcome = std::get_if<Outcome>(&answer))
          counted.onOutcome(id.Account, it, *outcome, monoNow() - came);
        else
          counted.onOpen(id.Account, it);
        responder.send(answerResponse(id, answer));
      });
  if (std::holds_alternative<JobFront::KeyReused>(submitted)) {
    --*Open;
    responder.send(errorResponse(
        Conflict, "the key was used for another request of this account"));
  }
}

void HttpApi::await(const JobId &job, const HttpRequest &request,
                    const HttpResponder &responder) {
  const auto wait = waitOf(request.Target);
  if (!wait)
    return responder.send(errorResponse(
        BadRequest,
        fmt::format("wait_ms is not a whole number from 0 to {}", MaxWaitMs)));
  ++*Open;
  Front.await(Node.homeOf(job), job, monoNow() + *wait,
              [responder, job, open = Open](const JobFront::Answer &answer) {
                --*open;
                responder.send(answerResponse(job, answer));
              });
}

void HttpApi::answerExpired(const JobId &job, const HttpResponder &responder) {
  ++*Open;
  Front.await(Node.homeOf(job), job, monoNow(),
              [responder, job, open = Open](const JobFront::Answer &answer) {
                --*open;
                const auto *stage = std::get_if<JobStage>(&answer);
                if (!stage || *stage != JobStage::NotKnown)
                  return responder.send(answerResponse(job, answer));
                responder.send(expiredResponse(job));
              });
}

void HttpApi::cancel(const JobId &job, const HttpResponder &responder) {
  ++*Open;
  Front.cancel(Node.homeOf(job), job, monoNow() + CancelPatience,
               [responder, job, open = Open](const JobFront::Answer &answer) {
                 --*open;
                 responder.send(answerResponse(job, answer));
               });
}

Findings HttpApi::check(const JobRequest &job) const {
  Findings findings;
  const PlanEntry *plan = Node.configuration().planOf(job.Id.Account);
  if (!plan)
    findings.add("/account",
                 fmt::format("'{}' is not in the list of customers' plans",
                             job.Id.Account.str()));
  if (plan && job.Gang > plan->LargestGang)
    findings.add("/gang", fmt::format("is {}, but the plan allows at most {}",
                                      job.Gang.Count, plan->LargestGang.Count));
  if (plan && !Node.fitsSomePod(job.Gang))
    findings.add("/gang",
                 fmt::format("is {}, which no pod holds", job.Gang.Count));
  return findings;
}

bool HttpApi::rateExceeded(const ClientAccountId &account) {
  const PlanEntry *plan = Node.configuration().planOf(account);
  RateWindow &window = Rates[account];
  const MonoTime now = monoNow();
  if (now >= window.EndsAt)
    window = {now + Seconds(1), 0};
  if (window.Taken >= plan->RequestsPerSecond)
    return true;
  ++window.Taken;
  return false;
}

} // namespace citrongap
