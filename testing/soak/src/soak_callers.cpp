// What callers send, and what they make of the answers.
#include "soak_callers.h"

#include "site_messages.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace citrongap::soak {

namespace {

constexpr Millis CallWithin{3000};
constexpr Millis TryAgainAfter{250};
constexpr Millis AskEvery{300};
constexpr int MaxTries = 12;
constexpr std::size_t IdDigits = 16;
constexpr std::uint32_t DueOccurrences = 600;
constexpr Millis ShortWork{100};
constexpr unsigned CancelPercent = 8;
constexpr unsigned FailPercent = 4;
constexpr unsigned GangPercent = 40;
constexpr unsigned LongPercent = 30;
/// A connection that ends within this of its process may have lost a request
/// that was never read.
constexpr Millis EndRace{60};
/// Until the end of a process is noticed; twice the interval of looks.
constexpr Millis NoticeEndWithin{100};

} // namespace

Callers::Callers(EventLoop &loop, SoakSite &site, Judge &judge,
                 std::uint64_t seed)
    : Loop(loop), Site(site), Judging(judge), Numbers(seed), Http(loop, "") {}

void Callers::later(Millis wait, std::function<void()> what) {
  std::erase_if(Timers, [](const Timer &it) { return !it.pending(); });
  Timers.push_back(Loop.at(monoNow() + wait, std::move(what)));
}

SoakVm &Callers::choose() {
  std::vector<SoakVm *> ready;
  for (SoakVm &it : Site.vms())
    if (it.Ready)
      ready.push_back(&it);
  if (ready.empty())
    return Site.vms()[Numbers.between(0, Site.vms().size() - 1)];
  return *ready[Numbers.between(0, ready.size() - 1)];
}

HttpRequest Callers::request(const char *method,
                             const std::string &path) const {
  HttpRequest out;
  out.Method = method;
  out.Target = path;
  out.Headers = {{"Host", "soak.example"},
                 {"Api-Key", "key-quetta"},
                 {"Deadline-Ms", std::to_string(CallWithin.count())}};
  return out;
}

std::string Callers::pathOf(const WorkId &id) const {
  const bool urgent = Judging.story(id).Spec.Priority == 0;
  return fmt::format("/{}/{}", urgent ? "urgent" : "batch", id.str());
}

void Callers::submitOne() {
  const WorkId id(Numbers.uniqueId().substr(0, IdDigits));
  JobStory &job = Judging.story(id);
  const auto dice = [this](unsigned percent) {
    return Numbers.between(1, 100) <= percent;
  };
  StepSpec step;
  step.Gang = dice(GangPercent);
  step.Count = static_cast<std::uint32_t>(Numbers.between(1, 6));
  step.Requested = {1000, 1000, 1};
  // Some outlast a fault and what it leaves behind.
  const auto longest =
      static_cast<std::uint64_t>(Site.shape().LongestWork.count());
  job.Program.Work = Millis(dice(LongPercent) ? Numbers.between(1500, longest)
                                              : Numbers.between(100, 1500));
  job.Program.Gang = step.Gang ? step.Count : 1;
  job.Program.Fails = dice(FailPercent);
  step.EstimateMs = job.Program.Work.count();
  job.Spec.Priority = dice(50) ? 0 : 1;
  job.Spec.Payload = job.Program.str();
  job.Spec.Steps.push_back(step);
  ++Undecided;
  submit(id, 1);
  if (dice(CancelPercent))
    later(Millis(Numbers.between(50, 2000)), [this, id] { cancel(id); });
}

void Callers::submitSeries() {
  const WorkId id(Numbers.uniqueId().substr(0, IdDigits));
  JobStory &job = Judging.story(id);
  StepSpec step;
  step.Count = 1;
  step.Requested = {1000, 1000, 1};
  job.Program.Work = ShortWork;
  step.EstimateMs = job.Program.Work.count();
  job.Spec.Priority = 1;
  job.Spec.Payload = job.Program.str();
  job.Spec.Steps.push_back(step);
  job.Spec.Repetitions = DueOccurrences;
  job.Spec.IntervalMs = ShortWork.count();
  job.Spec.FirstDueMs =
      toMillis(wallNow()) - job.Spec.IntervalMs * DueOccurrences;
  ++Undecided;
  submit(id, 1);
}

void Callers::submit(const WorkId &id, int tries) {
  SoakVm &vm = choose();
  HttpRequest out = request("POST", pathOf(id));
  JobStory &job = Judging.story(id);
  out.Body = wire::encodeSubmission(job.Spec);
  ++job.MaybeStored;
  const Call call{vm.Name, monoNow()};
  Http.call(vm.Callers, std::move(out), call.SentAt + CallWithin,
            [this, id, tries, call](const HttpResult &result) {
              onSubmitted(id, tries, call, result);
            });
}

void Callers::onSubmitted(const WorkId &id, int tries, const Call &call,
                          const HttpResult &result) {
  checkCut(call, result);
  JobStory &job = Judging.story(id);
  const auto *response = std::get_if<HttpResponse>(&result);
  const auto *error = std::get_if<HttpError>(&result);
  const int status = response ? response->Status : 0;
  if (status == 200) {
    if (!job.AcceptedAt) {
      job.AcceptedAt = monoNow();
      ++Accepted;
      --Undecided;
      later(AskEvery, [this, id] { ask(id); });
    }
    return;
  }
  const bool refused =
      status == 429 || status == 503 || (error && *error == HttpError::NotSent);
  if (refused) {
    --job.MaybeStored;
    ++job.Refusals;
  } else if (response && status != 504 && status != 502) {
    Judging.add(monoNow(), fmt::format("answer: {} got {} from {}", id.str(),
                                       status, call.Vm));
  }
  if (CancelsUndecided && job.MaybeStored > 0 && !job.AcceptedAt &&
      tries % 2 == 1) {
    --Undecided;
    job.CancelSent = true;
    sendCancel(id);
    return;
  }
  if (tries < MaxTries && Trying) {
    later(TryAgainAfter, [this, id, tries] { submit(id, tries + 1); });
    return;
  }
  --Undecided;
  Refused += job.MaybeStored == 0 ? 1U : 0U;
}

void Callers::ask(const WorkId &id) {
  if (Judging.story(id).Ended)
    return;
  SoakVm &vm = choose();
  const Call call{vm.Name, monoNow()};
  Http.call(vm.Callers, request("GET", pathOf(id)), call.SentAt + CallWithin,
            [this, id, call](const HttpResult &result) {
              checkCut(call, result);
              const auto *response = std::get_if<HttpResponse>(&result);
              const MonoTime now = monoNow();
              if (response && response->Status == 200)
                Judging.onState(id, wire::phaseIn(*response), now);
              else if (response && response->Status == 410)
                Judging.onState(id, std::nullopt, now);
              later(AskEvery, [this, id] { ask(id); });
            });
}

void Callers::cancel(const WorkId &id) {
  JobStory &job = Judging.story(id);
  if (!job.AcceptedAt || job.Ended)
    return;
  job.CancelSent = true;
  sendCancel(id);
}

void Callers::sendCancel(const WorkId &id) {
  SoakVm &vm = choose();
  const Call call{vm.Name, monoNow()};
  Http.call(vm.Callers, request("DELETE", pathOf(id)), call.SentAt + CallWithin,
            [this, id, call](const HttpResult &result) {
              checkCut(call, result);
              const auto *response = std::get_if<HttpResponse>(&result);
              const int status = response ? response->Status : 0;
              const auto *error = std::get_if<HttpError>(&result);
              const bool refused =
                  status == 503 || (error && *error == HttpError::NotSent);
              const JobStory &job = Judging.story(id);
              if (status == 200 || (status == 410 && !job.AcceptedAt))
                Judging.story(id).CancelledAt = monoNow();
              if (refused && !job.Ended)
                later(TryAgainAfter, [this, id] { sendCancel(id); });
            });
}

void Callers::checkCut(const Call &call, const HttpResult &result) {
  const auto *error = std::get_if<HttpError>(&result);
  if (!error || (*error != HttpError::Broken && *error != HttpError::Truncated))
    return;
  const auto vm =
      std::find_if(Site.vms().begin(), Site.vms().end(),
                   [&](const SoakVm &it) { return it.Name == call.Vm; });
  const MonoTime now = monoNow();
  if (!vm->StoppedAt || now <= vm->DisturbedUntil)
    return;
  // A process that is ending has closed its connections before its end shows.
  later(NoticeEndWithin, [this, vm, call, now] {
    // Not the end of an earlier process.
    const bool racesEnd =
        vm->EndedAt && *vm->EndedAt >= call.SentAt &&
        *vm->EndedAt <= call.SentAt + EndRace + NoticeEndWithin;
    if (racesEnd)
      return;
    Judging.add(
        now, fmt::format("cut: {} ended a request by a planned stop", call.Vm));
  });
}

void Callers::probe() {
  for (SoakVm &it : Site.vms())
    Http.call(it.Readiness, request("GET", "/"), monoNow() + Millis(400),
              [&it](const HttpResult &result) {
                const auto *response = std::get_if<HttpResponse>(&result);
                it.Ready = response && response->Status == 200;
              });
}

std::size_t Callers::open() const {
  const auto &stories = Judging.stories();
  return Undecided + static_cast<std::size_t>(std::count_if(
                         stories.begin(), stories.end(), [](const auto &it) {
                           return it.second.AcceptedAt && !it.second.Ended;
                         }));
}

void Callers::checkConfiguration(bool withExtra) {
  for (SoakVm &it : Site.vms())
    Http.call(it.Callers, request("GET", "/extra/"), monoNow() + CallWithin,
              [this, name = it.Name, withExtra](const HttpResult &result) {
                const auto *response = std::get_if<HttpResponse>(&result);
                const int status = response ? response->Status : 0;
                if (status != (withExtra ? 200 : 404))
                  Judging.add(monoNow(),
                              fmt::format("configuration: {} answers {} for a "
                                          "queue that is {}",
                                          name, status,
                                          withExtra ? "there" : "gone"));
              });
}

} // namespace citrongap::soak
