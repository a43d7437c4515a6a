#include "workers.h"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>

namespace review {

using wire::Json;

std::string Program::text() const {
  return fmt::format("work={} lasts={} fails={} cpu={} memory={} gpu={}",
                     WorkMs, Lasts ? 1 : 0, Fails ? 1 : 0, Takes.Cpu,
                     Takes.Memory, Takes.Gpu);
}

Program Program::parse(const std::string &text) {
  long long work = 0;
  long long cpu = 0;
  long long memory = 0;
  long long gpu = 0;
  int lasts = 0;
  int fails = 0;
  std::sscanf(text.c_str(),
              "work=%lld lasts=%d fails=%d cpu=%lld memory=%lld gpu=%lld",
              &work, &lasts, &fails, &cpu, &memory, &gpu);
  return {work, lasts != 0, fails != 0, {cpu, memory, gpu}};
}

WorkerStandin::WorkerStandin(EventLoop &loop, std::string id, Sink sink)
    : Loop(loop), Id(std::move(id)), Emit(std::move(sink)),
      Server(loop, {}, [this](const HttpRequest &it, const HttpResponder &to) {
        handle(it, to);
      }) {
  Born = toMillis(wallNow());
  BornAt = monoNow();
  Tick = Loop.every(Millis(5), [this] { tick(); });
}

void WorkerStandin::crash() {
  Alive = false;
  for (const auto &[task, run] : Running)
    emit("lost", task, run.Number, "");
  Running.clear();
  Highest.clear();
  Ends.clear();
  NextEnd = 1;
  Token = 0;
  HeldUntil = 0;
  for (const WaitingPoll &it : Polls)
    Unanswered.push_back(it.To);
  Polls.clear();
}

void WorkerStandin::startAgain() {
  Alive = true;
  Born = toMillis(wallNow());
  BornAt = monoNow();
}

std::int64_t WorkerStandin::clock() const {
  return (monoNow() - BornAt).count();
}

void WorkerStandin::emit(const std::string &kind, const std::string &task,
                         std::uint32_t run, const std::string &how) {
  Emit({kind, monoNow(), Id, task, run, how});
}

void WorkerStandin::reply(const HttpResponder &to, int status,
                          const std::string &reason) {
  Json out{{"clock_ms", clock()}};
  if (!reason.empty())
    out["reason"] = reason;
  to.send({status, out.dump()});
}

void WorkerStandin::handle(const HttpRequest &request,
                           const HttpResponder &to) {
  if (!Alive) {
    // Nothing is there that could answer.
    Unanswered.push_back(to);
    return;
  }
  tick();
  const Json body = Json::parse(request.Body, nullptr, false);
  if (headerOf(request.Headers, "Expected-Instance") != Id)
    reply(to, 421, "");
  else if (!body.is_object())
    reply(to, 400, "unreadable");
  else if (!acceptToken(body))
    reply(to, 409, "fence");
  else if (request.Target == "/citrongap/run-start")
    start(body, to);
  else if (request.Target == "/citrongap/run-stop")
    stop(body, to);
  else if (request.Target == "/citrongap/hold")
    hold(body, to);
  else
    reply(to, 400, "unknown call");
}

bool WorkerStandin::acceptToken(const Json &body) {
  const auto token = body.value("fencing_token", std::uint64_t(0));
  if (token < Token)
    return false;
  Token = token;
  return true;
}

void WorkerStandin::extend(const Json &body) {
  const auto until = body.value("until_ms", std::int64_t(0));
  HeldUntil = std::max(HeldUntil, std::min(until, clock() + HoldMaxMs));
}

void WorkerStandin::start(const Json &body, const HttpResponder &to) {
  const std::string task = body.value("task", "");
  const auto number = body.value("run", std::uint32_t(0));
  const Program does = Program::parse(body.value("task_spec", ""));
  if (body.value("until_ms", std::int64_t(0)) <= clock()) {
    reply(to, 409, "late");
    return;
  }
  extend(body);
  const auto running = Running.find(task);
  if (running != Running.end()) {
    const bool same = running->second.Number == number;
    reply(to, same ? 200 : 409, same ? "" : "old");
    return;
  }
  if (const auto it = Highest.find(task);
      it != Highest.end() && number <= it->second) {
    reply(to, 409, "old");
    return;
  }
  Size used = does.Takes;
  for (const auto &[name, run] : Running) {
    used.Cpu += run.Does.Takes.Cpu;
    used.Memory += run.Does.Takes.Memory;
    used.Gpu += run.Does.Takes.Gpu;
  }
  if (used.Cpu > Capacity.Cpu || used.Memory > Capacity.Memory ||
      used.Gpu > Capacity.Gpu) {
    reply(to, 409, "room");
    return;
  }
  Run run;
  run.Number = number;
  run.Does = does;
  run.StartedAt = monoNow();
  if (Faulty)
    run.EndsAt = monoNow() + Millis(20);
  else if (!does.Lasts)
    run.EndsAt = monoNow() + Millis(does.WorkMs);
  Running.emplace(task, run);
  emit("started", task, number, "");
  reply(to, 200, "");
}

void WorkerStandin::stop(const Json &body, const HttpResponder &to) {
  const std::string task = body.value("task", "");
  const auto number = body.value("run", std::uint32_t(0));
  Highest[task] = std::max(Highest[task], number);
  const auto it = Running.find(task);
  if (it != Running.end() && it->second.Number <= number &&
      !it->second.Stopping) {
    it->second.Stopping = true;
    it->second.EndsAt = monoNow() + Millis(StopMs);
  }
  reply(to, 200, "");
}

void WorkerStandin::hold(const Json &body, const HttpResponder &to) {
  if (body.contains("until_ms"))
    extend(body);
  const auto seen = body.value("seen_upto", std::uint64_t(0));
  std::erase_if(Ends, [&](const End &it) {
    if (it.Number > seen)
      return false;
    emit("taken note of", it.Task, it.Run, it.How);
    return true;
  });
  const auto wait = body.value("wait_ms", std::int64_t(0));
  if (wait > 0 && Ends.empty())
    Polls.push_back(
        {to, monoNow() + Millis(std::min<std::int64_t>(wait, 2000))});
  else
    to.send({200, lists().dump()});
}

Json WorkerStandin::lists() const {
  Json running = Json::array();
  const MonoTime now = monoNow();
  for (const auto &[task, run] : Running) {
    const std::int64_t ran = (now - run.StartedAt).count();
    const std::int64_t percent =
        run.Does.Lasts
            ? (ran >= 500 ? 100 : 0)
            : std::min<std::int64_t>(
                  99, 100 * ran / std::max<std::int64_t>(run.Does.WorkMs, 1));
    running.push_back(Json::array({task, run.Number, "", percent, 0}));
  }
  Json ended = Json::array();
  for (const End &it : Ends) {
    if (ended.size() == MostEnds)
      break;
    ended.push_back(Json::array({it.Number, it.Task, it.Run, it.How, ""}));
  }
  return {{"clock_ms", clock()},
          {"born", Born},
          {"running", running},
          {"ended", ended}};
}

void WorkerStandin::end(const std::string &task, const std::string &how) {
  const auto node = Running.extract(task);
  const std::uint32_t number = node.mapped().Number;
  Highest[task] = std::max(Highest[task], number);
  Ends.push_back({NextEnd++, task, number, how});
  emit("ended", task, number, how);
}

void WorkerStandin::tick() {
  if (!Alive)
    return;
  const MonoTime now = monoNow();
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto &[task, run] : Running) {
    if (clock() >= HeldUntil)
      due.emplace_back(task, "lapsed");
    else if (run.EndsAt && now >= *run.EndsAt)
      due.emplace_back(task, run.Stopping               ? "stopped"
                             : Faulty || run.Does.Fails ? "failed"
                                                        : "done");
  }
  for (const auto &[task, how] : due)
    end(task, how);
  for (WaitingPoll &it : std::exchange(Polls, {}))
    if (!Ends.empty() || now >= it.Until)
      it.To.send({200, lists().dump()});
    else
      Polls.push_back(std::move(it));
}

} // namespace review
