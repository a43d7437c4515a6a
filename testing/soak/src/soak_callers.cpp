// What callers send, and what they make of the answers.
#include "soak_callers.h"

#include "site_messages.h"

#include <algorithm>
#include <array>
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
// Of a mixed site.
constexpr unsigned UrgentPercent = 53;
/// Of those that are not urgent.
constexpr unsigned PreviewPercent = 48;
constexpr unsigned MixedGangPercent = 70;
constexpr unsigned OneRackPercent = 70;
constexpr unsigned SavesPercent = 45;
constexpr unsigned LabelPercent = 30;
constexpr unsigned DataRackPercent = 30;
constexpr unsigned RecurringPercent = 10;
constexpr unsigned TwoStepPercent = 30;
constexpr unsigned WidePercent = 10;
constexpr unsigned OtherAccountPercent = 40;
/// Of recurring jobs.
constexpr Millis Interval{3000};
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

HttpRequest Callers::request(const char *method, const std::string &path,
                             const std::string &account) const {
  HttpRequest out;
  out.Method = method;
  out.Target = path;
  out.Headers = {{"Host", "soak.example"},
                 {"Api-Key", "key-" + account},
                 {"Deadline-Ms", std::to_string(CallWithin.count())}};
  return out;
}

HttpRequest Callers::request(const char *method, const WorkId &id) const {
  static constexpr std::array<const char *, 3> Queues{"urgent", "batch",
                                                      "preview"};
  const WorkSpec &spec = Judging.story(id).Spec;
  return request(method,
                 fmt::format("/{}/{}", Queues.at(spec.Priority), id.str()),
                 spec.Account.str());
}

void Callers::submitOne() {
  if (Site.shape().Mixed) {
    submitMixed();
    return;
  }
  const WorkId id(Numbers.uniqueId().substr(0, IdDigits));
  JobStory &job = Judging.story(id);
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
  job.Spec.Account = ClientAccountId("quetta");
  job.Spec.Payload = job.Program.str();
  job.Spec.Steps.push_back(step);
  ++Undecided;
  submit(id, 1);
  if (dice(CancelPercent))
    later(Millis(Numbers.between(50, 2000)), [this, id] { cancel(id); });
}

StepSpec Callers::drawMixedStep(std::uint32_t priority) {
  static constexpr std::array<std::int64_t, 5> Gpus{1, 2, 4, 8, 8};
  const bool urgent = priority == 0;
  const bool preview = priority == 2;
  const auto draw = [this](unsigned low, unsigned high) {
    return static_cast<std::uint32_t>(Numbers.between(low, high));
  };
  StepSpec step;
  step.Gang = urgent || (!preview && dice(MixedGangPercent));
  step.Count =
      dice(WidePercent) ? draw(6, urgent ? 18 : 24) : draw(1, preview ? 16 : 6);
  const std::int64_t gpus = preview ? 1 : Gpus.at(draw(0, Gpus.size() - 1));
  if (urgent)
    step.Requested = {15000, 39000, gpus};
  else if (preview)
    step.Requested = {11000, 29000, gpus};
  else
    step.Requested = {52000, 140000, gpus};
  step.OneRack = step.Gang && step.Count <= Site.shape().ServersPerRack &&
                 dice(OneRackPercent);
  step.Checkpoints = !urgent && dice(SavesPercent);
  if (!urgent && dice(LabelPercent)) {
    step.RequiredLabel = RareLabel;
    // Some take a whole server each, and a quarter of the servers has it.
    step.Count = std::min(step.Count, Site.shape().Servers / 4);
  } else if (dice(DataRackPercent)) {
    step.DataRack =
        Site.servers()[draw(0, Site.shape().Servers - 1)].Entry.Rack;
  }
  return step;
}

void Callers::submitMixed() {
  const WorkId id(Numbers.uniqueId().substr(0, IdDigits));
  JobStory &job = Judging.story(id);
  WorkSpec &spec = job.Spec;
  if (!dice(UrgentPercent))
    spec.Priority = dice(PreviewPercent) ? 2 : 1;
  const bool urgent = spec.Priority == 0;
  StepSpec step = drawMixedStep(spec.Priority);
  job.Program.Work = Millis(static_cast<std::int64_t>(
      urgent ? Numbers.between(800, 3500) : Numbers.between(3000, 6000)));
  job.Program.Gang = step.Gang ? step.Count : 1;
  job.Program.Fails = dice(FailPercent);
  job.Program.Gpus = static_cast<std::uint32_t>(step.Requested.GpuCount);
  job.Program.Saves = step.Checkpoints;
  // Estimates are often too low or too high.
  step.EstimateMs = job.Program.Work.count() *
                    static_cast<std::int64_t>(Numbers.between(60, 160)) / 100;
  spec.Account =
      ClientAccountId(dice(OtherAccountPercent) ? "multan" : "quetta");
  spec.Payload = job.Program.str();
  spec.Steps.push_back(step);
  if (!step.Gang && dice(TwoStepPercent)) {
    step.Count = 1;
    step.DependsOn = {0};
    spec.Steps.push_back(step);
  }
  if (!urgent && dice(RecurringPercent)) {
    spec.Repetitions = 3;
    spec.IntervalMs = Interval.count();
    spec.FirstDueMs = toMillis(wallNow()) + Interval.count() / 2;
  }
  ++Undecided;
  submit(id, 1);
  if (dice(CancelPercent))
    later(Millis(Numbers.between(50, 4000)), [this, id] { cancel(id); });
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
  job.Spec.Account = ClientAccountId("quetta");
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
  HttpRequest out = request("POST", id);
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
  Http.call(vm.Callers, request("GET", id), call.SentAt + CallWithin,
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
  Http.call(vm.Callers, request("DELETE", id), call.SentAt + CallWithin,
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
