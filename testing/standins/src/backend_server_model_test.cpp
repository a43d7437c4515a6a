// Promises of a backend server: fencing, hand-over, task leases, start-by.
#include "citrongap/standins/backend_server_model.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using namespace citrongap::standins;

namespace {

const MonoTime Start = monoFromMillis(10'000);
const EntryVmId First("lahore-1-e1");
const EntryVmId Second("lahore-1-e2");
constexpr Millis Term{1000};

PrepareTask task(const std::string &id, std::vector<std::uint32_t> slots) {
  PrepareTask out;
  out.Task = TaskId(id);
  out.Job = {ClientAccountId("garam"), RequestKey("k-" + id)};
  out.Slots = std::move(slots);
  out.StartBy = Millis(500);
  out.TaskTerm = Millis(3000);
  return out;
}

ServerTime at(MonoTime time) { return ServerTime(time.time_since_epoch()); }

struct Fixture {
  std::vector<BackendEventKind> Events;
  BackendServerModel Model{
      8, [this](const BackendEvent &it) { Events.push_back(it.Kind); }};

  FencingToken acquire(const EntryVmId &holder, MonoTime now,
                       std::optional<FencingToken> previous = {}) {
    const auto result = Model.acquire(holder, Term, previous, now);
    BOOST_REQUIRE(std::holds_alternative<FencingToken>(result));
    return std::get<FencingToken>(result);
  }

  void sync(FencingToken token, MonoTime now,
            std::vector<TaskId> acknowledged = {}) {
    const SyncRequest call{token,       Term,      Millis(3000),
                           0,           Millis(0), std::move(acknowledged),
                           std::nullopt};
    BOOST_REQUIRE(
        std::holds_alternative<std::monostate>(Model.sync(call, now)));
  }

  TaskState state(const std::string &id) {
    for (const auto &[version, it] : Model.changedSince(0))
      if (it.Task.str() == id)
        return it;
    BOOST_FAIL("no task " + id);
    return {};
  }

  /// Prepares and releases.
  void run(FencingToken token, const std::string &id, Millis runs,
           MonoTime now) {
    const Program program{runs, false, ""};
    BOOST_REQUIRE(std::holds_alternative<std::monostate>(
        Model.prepare(token, task(id, {0}), program, now)));
    BOOST_REQUIRE(std::holds_alternative<std::monostate>(
        Model.release(token, TaskId(id), now)));
  }
};

template <typename T> int statusOf(const ModelResult<T> &result) {
  const auto *refusal = std::get_if<Refusal>(&result);
  return refusal ? refusal->Status : 200;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_lease_has_one_holder_until_it_lapses, Fixture) {
  const auto token = acquire(First, Start);
  const auto refused = Model.acquire(Second, Term, {}, Start + Millis(999));
  BOOST_REQUIRE(statusOf(refused) == 409);
  BOOST_TEST(std::get<Refusal>(refused).Holder.str() == First.str());
  BOOST_TEST(std::get<Refusal>(refused).Remaining.count() == 1);
  BOOST_TEST(acquire(Second, Start + Term).value() > token.value());
  BOOST_TEST(statusOf(Model.stop(token, TaskId("a"), Start + Term)) == 409);
}

BOOST_FIXTURE_TEST_CASE(the_previous_token_hands_the_lease_over, Fixture) {
  const auto token = acquire(First, Start);
  const auto next = acquire(Second, Start, token);
  BOOST_TEST(next.value() > token.value());
  BOOST_TEST(statusOf(Model.acquire(First, Term, token, Start)) == 409);
}

BOOST_FIXTURE_TEST_CASE(the_same_holder_gets_a_higher_token, Fixture) {
  const auto token = acquire(First, Start);
  BOOST_TEST(acquire(First, Start).value() > token.value());
  BOOST_TEST(statusOf(Model.prepare(token, task("a", {0}), {}, Start)) == 409);
}

BOOST_FIXTURE_TEST_CASE(a_lapsed_lease_refuses_its_own_holder, Fixture) {
  const auto token = acquire(First, Start);
  BOOST_TEST(statusOf(Model.prepare(token, task("a", {0}), {}, Start + Term)) ==
             409);
  BOOST_CHECK(Events.back() == BackendEventKind::Refused);
  BOOST_CHECK(Events[1] == BackendEventKind::LeaseLapsed);
}

BOOST_FIXTURE_TEST_CASE(sync_renews_the_lease_and_running_tasks, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(10'000), Start);
  for (int i = 1; i <= 5; ++i)
    sync(token, Start + Millis(900 * i));
  BOOST_CHECK(state("a").Status == TaskStatus::Running);
}

BOOST_FIXTURE_TEST_CASE(prepare_is_idempotent_by_task, Fixture) {
  const auto token = acquire(First, Start);
  BOOST_TEST(statusOf(Model.prepare(token, task("a", {0, 1}), {}, Start)) ==
             200);
  BOOST_TEST(statusOf(Model.prepare(token, task("a", {0, 1}), {}, Start)) ==
             200);
  BOOST_TEST(Model.busySlots() == 2U);
  BOOST_TEST(statusOf(Model.prepare(token, task("b", {1}), {}, Start)) == 409);
  BOOST_TEST(statusOf(Model.prepare(token, task("c", {8}), {}, Start)) == 400);
}

BOOST_FIXTURE_TEST_CASE(a_task_not_released_in_time_never_ran, Fixture) {
  const auto token = acquire(First, Start);
  Model.prepare(token, task("a", {0}), {}, Start);
  const MonoTime late = Start + Millis(500);
  BOOST_TEST(statusOf(Model.release(token, TaskId("a"), late)) == 404);
  BOOST_CHECK(state("a").Status == TaskStatus::Dropped);
  BOOST_TEST(!state("a").Ran);
  BOOST_TEST(Model.busySlots() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_released_task_ends_with_its_result, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(100), Start);
  BOOST_REQUIRE(Model.nextDue().has_value());
  Model.advance(Start + Millis(100));
  BOOST_CHECK(state("a").Status == TaskStatus::Done);
  BOOST_TEST(state("a").Result == R"({"part":0,"result":"k-a","task":"a"})");
  BOOST_TEST(state("a").RanMs == 100);
}

BOOST_FIXTURE_TEST_CASE(a_lapsed_task_lease_stops_the_task, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(10'000), Start);
  Model.advance(Start + Millis(2999));
  BOOST_CHECK(state("a").Status == TaskStatus::Running);
  Model.advance(Start + Millis(5000));
  BOOST_CHECK(state("a").Status == TaskStatus::Lapsed);
  BOOST_TEST(state("a").Ran);
  BOOST_TEST(state("a").RanMs == 3000);
}

BOOST_FIXTURE_TEST_CASE(a_successor_adopts_a_running_task, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(10'000), Start);
  const auto next = acquire(Second, Start + Term);
  sync(next, Start + Millis(1900));
  Model.advance(Start + Millis(4800));
  BOOST_CHECK(state("a").Status == TaskStatus::Running);
}

BOOST_FIXTURE_TEST_CASE(a_prepared_task_that_is_stopped_never_ran, Fixture) {
  const auto token = acquire(First, Start);
  Model.prepare(token, task("a", {0}), {}, Start);
  BOOST_TEST(statusOf(Model.stop(token, TaskId("a"), Start)) == 200);
  BOOST_CHECK(state("a").Status == TaskStatus::Stopped);
  BOOST_TEST(!state("a").Ran);
  BOOST_TEST(statusOf(Model.release(token, TaskId("a"), Start)) == 404);
}

BOOST_FIXTURE_TEST_CASE(ended_tasks_are_kept_until_acknowledged, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(10), Start);
  sync(token, Start + Millis(20));
  BOOST_TEST(Model.changedSince(0).size() == 1U);
  BOOST_TEST(statusOf(Model.prepare(token, task("a", {0}), {},
                                    Start + Millis(20))) == 409);
  sync(token, Start + Millis(30), {TaskId("a")});
  BOOST_TEST(Model.changedSince(0).empty());
}

BOOST_FIXTURE_TEST_CASE(a_running_task_is_not_forgotten, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(1000), Start);
  sync(token, Start, {TaskId("a")});
  BOOST_TEST(Model.changedSince(0).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(changes_raise_the_version, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(100), Start);
  const auto seen = Model.version();
  BOOST_TEST(Model.changedSince(seen).empty());
  Model.advance(Start + Millis(100));
  BOOST_TEST(Model.version() > seen);
  BOOST_TEST(Model.changedSince(seen).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_failing_server_fails_what_it_starts, Fixture) {
  const auto token = acquire(First, Start);
  Model.setFailAll(true);
  run(token, "a", Millis(10'000), Start);
  Model.advance(Start + Millis(10));
  BOOST_CHECK(state("a").Status == TaskStatus::Failed);
}

BOOST_FIXTURE_TEST_CASE(a_dying_server_ends_its_tasks, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Millis(10'000), Start);
  Model.prepare(token, task("b", {1}), {}, Start);
  Model.kill(Start + Millis(10));
  BOOST_CHECK(state("a").Status == TaskStatus::Lapsed);
  BOOST_CHECK(state("b").Status == TaskStatus::Dropped);
  BOOST_TEST(!state("b").Ran);
}

// Guards against: a call that is carried out late gives a lease that lasts
// longer than its caller counts on.
BOOST_FIXTURE_TEST_CASE(a_late_call_gives_no_time_beyond_its_end, Fixture) {
  const auto token = acquire(First, Start);
  run(token, "a", Seconds(60), Start);
  SyncRequest call{token, Term, Millis(3000), 0, Millis(0), {}, at(Start)};
  BOOST_REQUIRE(std::holds_alternative<std::monostate>(
      Model.sync(call, Start + Millis(900))));
  BOOST_TEST(!Model.refuse(token, Start + Millis(999)));
  BOOST_TEST(Model.refuse(token, Start + Term).has_value());
  Model.advance(Start + Millis(3000));
  BOOST_TEST(toString(state("a").Status) == "lapsed");
}

BOOST_FIXTURE_TEST_CASE(a_late_call_takes_no_time_away, Fixture) {
  const auto token = acquire(First, Start);
  sync(token, Start + Millis(900));
  const SyncRequest call{token,     Term, Millis(3000), 0,
                         Millis(0), {},   at(Start)};
  BOOST_REQUIRE(std::holds_alternative<std::monostate>(
      Model.sync(call, Start + Millis(950))));
  BOOST_TEST(!Model.refuse(token, Start + Millis(1899)));
}

BOOST_FIXTURE_TEST_CASE(a_call_after_the_end_that_it_asks_for_is_refused,
                        Fixture) {
  BOOST_TEST(
      statusOf(Model.acquire(First, Term, {}, Start + Term, at(Start))) == 409);
  const auto token = acquire(First, Start + Term);
  const MonoTime late = Start + Millis(1500);
  PrepareTask prepared = task("a", {0});
  prepared.From = at(Start);
  BOOST_TEST(statusOf(Model.prepare(token, prepared, {}, late)) == 409);
  prepared.From = at(late);
  BOOST_TEST(statusOf(Model.prepare(token, prepared, {}, late)) == 200);
  BOOST_TEST(statusOf(Model.release(token, TaskId("a"), late,
                                    at(late - Millis(3000)))) == 409);
  BOOST_TEST(!state("a").Ran);
}

BOOST_FIXTURE_TEST_CASE(a_term_never_counts_from_the_future, Fixture) {
  const auto lease =
      Model.acquire(First, Term, {}, Start, at(Start + Seconds(60)));
  BOOST_REQUIRE(std::holds_alternative<FencingToken>(lease));
  BOOST_TEST(
      Model.refuse(std::get<FencingToken>(lease), Start + Term).has_value());
}
