// Questions to other pods and delegated jobs.
#include "citrongap/daemon/peer_broker.h"

#include "citrongap/base/hash.h"
#include "citrongap/base/log.h"
#include "citrongap/policy/guarantee_packing.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"broker"};
constexpr Millis QuestionPatience{300};
constexpr Millis CancelPatience{2000};
constexpr Seconds GraceAfterDeadline{40};

} // namespace

struct PeerBroker::Question {
  PodId Home;
  JobRequest Job;
  std::function<void(PodId)> Callback;
  std::size_t Open = 0;
  /// Set by the first pod that knows the job.
  PodId FoundAt;
};

PeerBroker::PeerBroker(EventLoop &loop, PodDirectory &directory)
    : Directory(directory), Delegates(loop, directory, true) {}

void PeerBroker::configure(const Configuration &configuration) {
  Lists = configuration;
  Guaranteed.clear();
  for (const auto &[dataCentre, shapes] : packGuarantees(Lists).AssignedShapes)
    for (const auto &it : shapes) {
      Accelerators &largest = Guaranteed[{PodId(dataCentre.str()), it.Account}];
      largest = std::max(largest, it.Shape.Gang);
    }
}

void PeerBroker::onReport(const PodReport &report) {
  Summaries[report.Pod] = report.Summary;
}

std::vector<PodCandidate>
PeerBroker::candidatesFor(const PodId &home, const JobRequest &job) const {
  std::vector<PodCandidate> out;
  for (const auto &[dataCentre, entry] : Lists.DataCentres) {
    PodCandidate it;
    it.Pod = PodId(dataCentre.str());
    if (it.Pod != home && Directory.ownerOf(it.Pod).empty())
      continue;
    it.DeclaredCapacity = entry.total();
    const auto summary = Summaries.find(it.Pod);
    if (summary != Summaries.end())
      it.Summary = summary->second;
    const auto shape = Guaranteed.find({it.Pod, job.Id.Account});
    it.HasGuaranteedShape =
        shape != Guaranteed.end() && shape->second >= job.Gang;
    out.push_back(std::move(it));
  }
  return out;
}

void PeerBroker::choose(const PodId &home, const JobRequest &job,
                        std::function<void(PodId)> callback) {
  auto question = std::make_shared<Question>();
  question->Home = home;
  question->Job = job;
  question->Callback = std::move(callback);
  std::vector<PodId> others;
  for (const auto &it : candidatesFor(home, job))
    if (it.Pod != home)
      others.push_back(it.Pod);
  question->Open = others.size();
  if (others.empty()) {
    answerQuestion(question);
    return;
  }
  for (const auto &pod : others)
    Directory.query({pod, job.Id}, monoNow() + QuestionPatience,
                    [this, question](const std::optional<JobView> &view) {
                      if (view && view->Stage != JobStage::NotKnown)
                        question->FoundAt = view->At;
                      if (--question->Open == 0)
                        answerQuestion(question);
                    });
}

void PeerBroker::answerQuestion(const std::shared_ptr<Question> &question) {
  const auto callback = std::exchange(question->Callback, nullptr);
  if (!question->FoundAt.empty()) {
    LogLine("{} is known at pod {}", question->Job.Id.str(),
            question->FoundAt.str());
    callback(question->FoundAt);
    return;
  }
  const auto pod = choosePod(question->Job, question->Home,
                             candidatesFor(question->Home, question->Job));
  callback(pod.value_or(question->Home));
}

void PeerBroker::delegate(const PodId &pod, const JobRequest &job,
                          std::function<void(const Outcome &)> callback) {
  const Millis patience =
      std::max(Millis(0), job.Deadline - wallNow()) + GraceAfterDeadline;
  const auto submitted = Delegates.submit(
      pod, job, monoNow() + patience,
      [callback](const JobFront::Answer &answer) {
        const auto *outcome = std::get_if<Outcome>(&answer);
        callback(outcome ? *outcome
                         : Outcome(Unknown{"the pod that runs it is silent"}));
      });
  if (std::holds_alternative<JobFront::KeyReused>(submitted))
    callback(NotRun{"the key was used for another request", 0});
}

PodId PeerBroker::homeOf(const JobId &job) const {
  std::vector<std::string_view> names;
  for (const auto &[id, it] : Lists.DataCentres)
    names.push_back(id.str());
  const std::size_t picked = rendezvousPick(job.str(), names);
  return picked == names.size() ? PodId() : PodId(std::string(names[picked]));
}

void PeerBroker::cancelDelegated(const PodId &pod, const JobId &job) {
  Delegates.cancel(pod, job, monoNow() + CancelPatience,
                   [](const JobFront::Answer &) {});
}

} // namespace citrongap
