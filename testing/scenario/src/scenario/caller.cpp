// Callers: submissions, retries, cancellations.
#include "caller.h"

#include "caller_answer.h"
#include "citrongap/standins/json_fields.h"

#include <arpa/inet.h>
#include <cerrno>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citrongap::scenario {

using history::CallKind;
using nlohmann::json;

namespace {

/// How long the system may hold one call, and when its caller gives it up.
constexpr Millis CallWait{2'000};
constexpr Millis CallPatience{5'000};
constexpr Millis JobDeadline{10'000};
/// Past its deadline a caller asks for the outcome for so long.
constexpr Millis AskAfterDeadline{5'000};
constexpr Millis RetryPause{150};
/// A caller that was refused with a time to retry tries so often.
constexpr int MaxRefusals = 3;

/// A probe waits so long; a frozen process counts as listening.
constexpr int ProbeMs = 10;

/// What a balancer's probe tells: false when the connection is refused.
bool listening(const Endpoint &at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.Port);
  address.sin_addr.s_addr = inet_addr(at.Ip.c_str());
  int error = 0;
  if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) < 0)
    error = errno;
  if (error == EINPROGRESS) {
    pollfd wanted{fd, POLLOUT, 0};
    socklen_t size = sizeof error;
    error = 0;
    if (poll(&wanted, 1, ProbeMs) > 0)
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  close(fd);
  return error != ECONNREFUSED;
}

const char *nameOf(CallKind kind) {
  switch (kind) {
  case CallKind::Submit:
    return "submit";
  case CallKind::Query:
    return "query";
  case CallKind::Cancel:
    return "cancel";
  }
  return "submit";
}

} // namespace

struct Caller::Job {
  JobId Id;
  JobShape Shape;
  WallTime Deadline;
  MonoTime GiveUpAt;
  int Refusals = 0;
  bool Canceled = false;
  /// The system said that it holds the job.
  bool Held = false;
  Timer Again;
  Timer Cancel;

  std::string expected() const { return Id.str(); }
};

Caller::Caller(EventLoop &loop, const Site &site,
               standins::HistoryFile &history, Random &random)
    : Loop(loop), Where(site), History(history), Draw(random) {
  for (const auto &ip : site.callerIps())
    Clients.push_back(std::make_unique<HttpClient>(loop, ip));
}

Caller::~Caller() = default;

void Caller::submit(const JobShape &shape) {
  auto job = std::make_unique<Job>();
  job->Id = {shape.Account, RequestKey(fmt::format("k{}", NextKey++))};
  job->Shape = shape;
  job->Deadline = wallNow() + JobDeadline;
  job->GiveUpAt = monoNow() + JobDeadline + AskAfterDeadline;
  Job &it = *job;
  Open[it.Id] = std::move(job);
  if (shape.CancelAfter)
    it.Cancel =
        Loop.at(monoNow() + *shape.CancelAfter, [this, &it] { cancel(it); });
  ask(it);
}

void Caller::ask(Job &job) {
  const Site::Node &node = anyNode();
  const std::string ask = fmt::format("{}", NextAsk++);
  const bool query =
      job.Held && (job.Shape.OnlyQueried || Draw.between(0, 1) == 0);
  const auto kind = query ? CallKind::Query : CallKind::Submit;
  recordAsk(job, ask, node, kind);
  if (!listening(node.Http)) {
    recordAnswer(ask, {{"outcome", "not_sent"}});
    askAgain(job, monoNow() + RetryPause);
    return;
  }
  nextClient().call(node.Http, requestOf(job, kind), monoNow() + CallPatience,
                    [this, id = job.Id, ask](const HttpResult &it) {
                      onAnswer(id, ask, it);
                    });
}

HttpRequest Caller::requestOf(const Job &job, CallKind kind) const {
  const std::string wait = fmt::format("?wait_ms={}", CallWait.count());
  const std::string path = "/v1/jobs/" + job.Id.str();
  if (kind == CallKind::Query)
    return {"GET", path + wait, "", ""};
  if (kind == CallKind::Cancel)
    return {"DELETE", path, "", ""};
  const JobShape &shape = job.Shape;
  const json payload{{"run_ms", shape.Run.count()},
                     {"fail", shape.Fails},
                     {"result", job.expected()}};
  const json body{{"account", shape.Account.str()},
                  {"key", job.Id.Key.str()},
                  {"class", std::string(toString(shape.Class))},
                  {"gang", shape.Gang.Count},
                  {"repeatable", shape.Repeatable},
                  {"deadline_ms", toMillis(job.Deadline)},
                  {"run_ms", shape.Run.count()},
                  {"kind", "scenario"},
                  {"payload", payload}};
  return {"POST", "/v1/jobs" + wait, body.dump(), ""};
}

void Caller::cancel(Job &job) {
  const Site::Node &node = anyNode();
  if (!listening(node.Http))
    return;
  const std::string ask = fmt::format("{}", NextAsk++);
  recordAsk(job, ask, node, CallKind::Cancel);
  job.Canceled = true;
  nextClient().call(
      node.Http, requestOf(job, CallKind::Cancel), monoNow() + CallPatience,
      [this, ask](const HttpResult &it) { recordAnswer(ask, answerOf(it)); });
}

void Caller::onAnswer(const JobId &id, const std::string &ask,
                      const HttpResult &result) {
  const json answer = answerOf(result);
  recordAnswer(ask, answer);
  const auto it = Open.find(id);
  if (it == Open.end())
    return;
  Job &job = *it->second;
  const std::string outcome = standins::textField(answer, "outcome");
  job.Held = holds(result) || (job.Held && job.Shape.OnlyQueried);
  const auto after = retryAfter(result);
  const bool refused = outcome == "not_run" && after > 0 && !job.Canceled &&
                       job.Refusals < MaxRefusals;
  if (refused) {
    ++job.Refusals;
    askAgain(job, monoNow() + Millis(after));
  } else if (outcome == "done" || outcome == "failed" || outcome == "not_run") {
    Open.erase(it);
  } else {
    askAgain(job, monoNow() + RetryPause);
  }
}

void Caller::askAgain(Job &job, MonoTime at) {
  if (at >= job.GiveUpAt) {
    Open.erase(JobId(job.Id));
    return;
  }
  job.Again = Loop.at(at, [this, &job] { ask(job); });
}

void Caller::recordAsk(const Job &job, const std::string &ask,
                       const Site::Node &node, CallKind kind) {
  const json line{{"at", toMillis(monoNow())},
                  {"who", "caller"},
                  {"event", "asked"},
                  {"ask", ask},
                  {"call", nameOf(kind)},
                  {"account", job.Id.Account.str()},
                  {"key", job.Id.Key.str()},
                  {"repeatable", job.Shape.Repeatable},
                  {"gang", job.Shape.Gang.Count},
                  {"node", node.Id.str()},
                  {"expected", job.expected()}};
  History.write(line);
}

void Caller::recordAnswer(const std::string &ask, const json &answer) {
  json line = answer;
  line.update({{"at", toMillis(monoNow())},
               {"who", "caller"},
               {"event", "answered"},
               {"ask", ask}});
  History.write(line);
}

HttpClient &Caller::nextClient() {
  NextClient = (NextClient + 1) % Clients.size();
  return *Clients[NextClient];
}

void Caller::setOffered(const EntryVmId &node, bool offered) {
  if (offered)
    Withdrawn.erase(node);
  else
    Withdrawn.insert(node);
}

/// Any at all when the balancer leaves all of them out.
const Site::Node &Caller::anyNode() {
  std::vector<const Site::Node *> offered;
  for (const auto &it : Where.nodes())
    if (!Withdrawn.contains(it.Id) || Withdrawn.size() == Where.nodes().size())
      offered.push_back(&it);
  return *offered[Draw.between(0, offered.size() - 1)];
}

} // namespace citrongap::scenario
