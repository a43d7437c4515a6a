// Property tests of the guarantees of a pod under generated histories of jobs,
// server failures, cancellations and changes of the guarantees.
#include "citrongap/base/random.h"
#include "pod_model_test.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace citrongap;

namespace {

constexpr std::uint32_t PerRack = 6;
constexpr std::uint32_t Servers = 2 * PerRack;

struct Step {
  std::uint32_t Action = 0;
  std::uint32_t Selector = 0;
  std::uint32_t Gang = 1;
};

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Action, rc::gen::inRange(0U, 20U)),
      rc::gen::set(&Step::Selector, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::Gang,
                   rc::gen::element(1U, 2U, 3U, 4U, 8U, 12U, 16U, 24U, 64U)));
}

JobId pick(const std::map<JobId, std::pair<JobRequest, Placement>> &running,
           std::uint32_t selector) {
  return std::next(running.begin(),
                   static_cast<std::ptrdiff_t>(selector % running.size()))
      ->first;
}

/// Changes the state of a server. If it is lost, the jobs on it fail.
void changeServer(PodModel &pod, const Step &step) {
  static const std::array<ServerState, 4> States{
      ServerState::Live, ServerState::Live, ServerState::Leaving,
      ServerState::Lost};
  const ServerState state = States[step.Gang % States.size()];
  const std::uint32_t at = step.Selector % Servers;
  pod.setState(at, state, PerRack);
  if (state != ServerState::Lost)
    return;
  const BackendServerId lost("s" + std::to_string(100 + at));
  std::set<JobId> failed;
  for (const auto &[slot, job] : pod.JobOnSlot)
    if (slot.first == lost)
      failed.insert(job);
  for (const JobId &job : failed) {
    pod.finish(job);
    pod.Pod.jobEnded(job, {false, 10, {lost}}, pod.Now);
  }
}

void apply(PodModel &pod, const Step &step, std::uint32_t n) {
  const std::string account(1, static_cast<char>('a' + step.Selector % 3));
  if (step.Action < 9) {
    pod.submit(account, std::to_string(n), step.Gang, step.Selector % 2 == 0,
               static_cast<ServiceClass>(step.Selector % 3));
  } else if (step.Action < 13) {
    if (!pod.Running.empty())
      pod.end(pick(pod.Running, step.Selector));
  } else if (step.Action < 15) {
    changeServer(pod, step);
  } else if (step.Action < 17) {
    pod.stopRevoked();
  } else if (step.Action < 18) {
    pod.advance(Seconds(40));
  } else if (step.Action < 19) {
    pod.Pod.cancelQueued(
        PodModel::id(account, std::to_string(step.Selector % n)));
  } else {
    pod.addAccount("a", {{{step.Gang % 32 + 1}, 1}, {{8}, step.Selector % 3}});
  }
}

void addAccounts(PodModel &pod) {
  pod.addAccount("a", {{{16}, 1}, {{4}, 2}});
  pod.addAccount("b", {{{8}, 2}, {{1}, 3}});
  pod.addAccount("c", {});
}

/// Checks that each placed shape without work of its own account can be
/// reclaimed: submits a job of "b" for each such footprint cell of 8.
void reclaimAll(PodModel &pod) {
  std::vector<JobId> jobs;
  for (const Placement &cell : pod.Pod.footprint(ClientAccountId("b"))) {
    bool idle = true;
    std::size_t slots = 0;
    for (const PlacementPart &part : cell.Parts)
      for (const std::uint32_t slot : part.Slots) {
        ++slots;
        const auto it = pod.JobOnSlot.find({part.Server, slot});
        idle = idle && (it == pod.JobOnSlot.end() ||
                        it->second.Account != ClientAccountId("b"));
      }
    if (idle && slots == 8)
      jobs.push_back(pod.submit("b", "reclaim" + std::to_string(jobs.size()), 8,
                                false, ServiceClass::Urgent));
  }
  pod.decide();
  pod.stopRevoked();
  pod.decide();
  for (const JobId &job : jobs)
    RC_ASSERT(pod.Running.contains(job));
}

/// Runs random steps 1 to `length` - 1, in which "b" submits no jobs.
void runRandomSteps(PodModel &pod, Random &random, std::uint64_t length) {
  for (std::uint32_t n = 1; n < length; ++n) {
    Step step;
    step.Action = static_cast<std::uint32_t>(random.between(0, 18));
    step.Selector = static_cast<std::uint32_t>(random.between(0, 1000));
    step.Gang = static_cast<std::uint32_t>(random.between(1, 24));
    step.Selector -= step.Selector % 3 == 1 ? 1 : 0;
    apply(pod, step, n);
    pod.decide();
  }
}

/// Makes `second` the owner. It may see other server states than `first`, and
/// it places footprints before it has adopted all running jobs.
void takeOver(const PodModel &first, PodModel &second, Random &random) {
  for (std::uint32_t i = 0; i < Servers; ++i)
    if (random.between(0, 5) == 0)
      second.setState(i, ServerState::Leaving, PerRack);
  second.Pod.configure(first.Config, second.Now);
  second.Config = first.Config;
  for (const auto &[job, run] : first.Running) {
    if (random.between(0, 3) == 0)
      second.decide();
    second.Pod.adopt(run.first, run.second, second.Now);
    second.Running[job] = run;
    for (const auto &[slot, user] : first.JobOnSlot)
      if (user == job)
        second.JobOnSlot[slot] = user;
  }
  second.decide();
}

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_hold_under_any_history) {
  const bool passed = rc::check("any history", [] {
    PodModel pod(2, PerRack);
    addAccounts(pod);
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    std::uint32_t n = 1;
    for (const Step &step : steps) {
      apply(pod, step, n++);
      pod.decide();
      RC_ASSERT(pod.Violations == std::vector<std::string>());
    }
    for (const auto &it : pod.Pod.queueLengths())
      if (it.first == ClientAccountId("b"))
        return;
    reclaimAll(pod);
    RC_ASSERT(pod.Violations == std::vector<std::string>());
  });
  BOOST_TEST(passed);
}

/// Long histories from a fixed number of seeds, with the reclaim after a random
/// number of steps.
BOOST_AUTO_TEST_CASE(reclaim_is_possible_at_any_moment_over_many_seeds) {
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Random random(seed);
      PodModel pod(2, PerRack);
      addAccounts(pod);
      runRandomSteps(pod, random, random.between(10, 200));
      reclaimAll(pod);
      for (const std::string &it : pod.Violations)
        BOOST_ERROR(it);
    }
  }
}

BOOST_AUTO_TEST_CASE(guarantees_survive_a_successor_with_another_view) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Random random(seed);
      PodModel first(2, PerRack);
      addAccounts(first);
      runRandomSteps(first, random, random.between(10, 100));
      PodModel second(2, PerRack);
      takeOver(first, second, random);
      runRandomSteps(second, random, random.between(1, 50));
      reclaimAll(second);
      for (const std::string &it : second.Violations)
        BOOST_ERROR(it);
    }
  }
}
