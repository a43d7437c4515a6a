// Job records survive a round trip through the codec, and malformed bytes
// become findings. Also checks the validation of job specifications.
#include "citrongap/workload/work_state.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

WorkRecord sample() {
  WorkRecord record;
  record.Phase = WorkPhase::Running;
  Occurrence &occurrence = record.Occurrences.emplace_back();
  StepRecord &step = occurrence.Steps.emplace_back();
  TaskRecord &task = step.Tasks.emplace_back();
  task.Stage = TaskStage::Placed;
  task.Run = 3;
  task.Failures = 1;
  task.Server = {BackendServerId("i-1"), 1234};
  task.Checkpoint = "00000bb87a21d94b";
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(record_round_trips) {
  const auto read = decodeWorkRecord(encode(sample()));
  BOOST_REQUIRE(std::holds_alternative<WorkRecord>(read));
  const auto &record = std::get<WorkRecord>(read);
  const TaskRecord &task = record.Occurrences[0].Steps[0].Tasks[0];
  BOOST_TEST((record.Phase == WorkPhase::Running));
  BOOST_TEST((task.Stage == TaskStage::Placed));
  BOOST_TEST(task.Run == 3U);
  BOOST_TEST((task.Server == ServerIncarnation{BackendServerId("i-1"), 1234}));
  BOOST_TEST(task.Checkpoint == "00000bb87a21d94b");
}

BOOST_AUTO_TEST_CASE(summary_is_read_without_the_tasks) {
  const auto read = decodeWorkSummary(encode(sample()));
  BOOST_REQUIRE(std::holds_alternative<WorkSummary>(read));
  BOOST_TEST((std::get<WorkSummary>(read).Phase == WorkPhase::Running));
}

BOOST_AUTO_TEST_CASE(record_of_a_wide_job_takes_few_bytes_a_task) {
  WorkRecord record = sample();
  StepRecord &step = record.Occurrences[0].Steps[0];
  step.Tasks.assign(200, step.Tasks[0]);
  for (std::size_t n = 0; n < step.Tasks.size(); ++n) {
    step.Tasks[n].Checkpoint.clear();
    step.Tasks[n].Server.Id = BackendServerId(std::to_string(n / 8));
    if (n % 2 == 0)
      step.Tasks[n].Stage = TaskStage::Done;
  }
  // A link of 10 Mbit/s carries 200 records of this size a second.
  BOOST_TEST(encode(record).size() < 1500U);
}

BOOST_AUTO_TEST_CASE(every_truncated_record_is_a_finding) {
  const std::string whole = encode(sample());
  for (std::size_t n = 0; n < whole.size(); ++n)
    BOOST_TEST(
        std::holds_alternative<Findings>(decodeWorkRecord(whole.substr(0, n))));
}

BOOST_AUTO_TEST_CASE(task_names_round_trip) {
  const TaskName name{WorkId("5c0e7a21d94b36f8"), 2, 1, 17};
  const auto read = parseTaskName(name.str());
  BOOST_REQUIRE(std::holds_alternative<TaskName>(read));
  BOOST_TEST((std::get<TaskName>(read) == name));
  for (const char *it : {"", ".0.1.2", "a.0.1", "a.0.1.x", "a.0.-1.2"})
    BOOST_TEST(std::holds_alternative<Findings>(parseTaskName(it)));
}

BOOST_AUTO_TEST_CASE(specification_written_without_an_objective_is_read) {
  WorkSpec spec;
  spec.Id = WorkId("a");
  spec.Objective = {1.5, 250};
  const std::string whole = encode(spec);
  const auto read = decodeWorkSpec(whole);
  BOOST_REQUIRE(std::holds_alternative<WorkSpec>(read));
  BOOST_TEST((std::get<WorkSpec>(read).Objective == spec.Objective));
  constexpr std::size_t ObjectiveBytes = 16;
  const auto older =
      decodeWorkSpec(whole.substr(0, whole.size() - ObjectiveBytes));
  BOOST_REQUIRE(std::holds_alternative<WorkSpec>(older));
  BOOST_TEST(std::get<WorkSpec>(older).Id.str() == "a");
  BOOST_TEST(!std::get<WorkSpec>(older).Objective.isSet());
}

BOOST_AUTO_TEST_CASE(critical_path_of_a_step_is_the_longest_to_the_end) {
  // 1 and 2 depend on 0, and 3 on both; 4 is independent.
  std::vector<StepSpec> steps(5);
  steps[1].DependsOn = {0};
  steps[2].DependsOn = {0};
  steps[3].DependsOn = {1, 2};
  const std::vector<Millis> runs{Millis(1), Millis(20), Millis(300),
                                 Millis(4000), Millis(50000)};
  const std::vector<Millis> paths = remainingCriticalPaths(steps, runs);
  BOOST_TEST(paths[0].count() == 4301);
  BOOST_TEST(paths[1].count() == 4020);
  BOOST_TEST(paths[2].count() == 4300);
  BOOST_TEST(paths[3].count() == 4000);
  BOOST_TEST(paths[4].count() == 50000);
}

BOOST_AUTO_TEST_CASE(step_that_depends_on_itself_is_a_finding) {
  WorkSpec spec;
  spec.Steps.resize(2);
  spec.Steps[1].DependsOn = {1};
  BOOST_TEST(!checkWork(spec).empty());
  spec.Steps[1].DependsOn = {0};
  BOOST_TEST(checkWork(spec).empty());
}
