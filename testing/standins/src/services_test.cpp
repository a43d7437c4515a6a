// The stand-ins' HTTP side against the project's own adapters.
#include "citrongap/platform/http_ports.h"
#include "citrongap/standins/backend_service.h"
#include "citrongap/standins/platform_service.h"
#include "citrongap/testing/loopback.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace citrongap;
using namespace citrongap::standins;
using nlohmann::json;

namespace {

constexpr std::uint16_t Port = 18561;
const std::string CallerIp = testing::loopbackIp(3);
const EntryVmId Holder("lahore-1-e1");

/// Runs the loop until `call` has its result.
template <typename T> class Await {
public:
  explicit Await(EventLoop &loop) : Loop(loop) {}
  PortCallback<T> callback() {
    return [this](PortResult<T> it) {
      Result = std::move(it);
      Loop.stop();
    };
  }
  const PortResult<T> &result() {
    Loop.runUntil(monoNow() + Seconds(5));
    BOOST_REQUIRE(Result.has_value());
    return *Result;
  }

private:
  EventLoop &Loop;
  std::optional<PortResult<T>> Result;
};

struct PlatformFixture {
  EventLoop Loop;
  Endpoint At{testing::loopbackIp(1), Port};
  PlatformService Service{Loop, options()};
  HttpClient Http{Loop, CallerIp};
  HttpLogPort Log{Http, At};

  PlatformFixture() { BOOST_REQUIRE(Service.listen(At)); }

  static PlatformOptions options() {
    PlatformOptions out;
    out.MaxAppendsPerSecond = 100;
    out.ListLag = Millis(0);
    out.Vms = json::array({{{"id", "lahore-1-b1"},
                            {"role", "backend"},
                            {"data_centre", "lahore-1"},
                            {"rack", "r1"},
                            {"ip", "127.0.1.1"},
                            {"port", 7000},
                            {"accelerators", 8},
                            {"state", "live"}}});
    return out;
  }

  void control(const json &faults) {
    Http.call(At, {"POST", "/control", faults.dump(), ""},
              monoNow() + Seconds(2),
              [this](const HttpResult &) { Loop.stop(); });
    Loop.runUntil(monoNow() + Seconds(3));
  }

  PortResult<LogOffset> append(const std::string &body,
                               Millis patience = Millis(1000)) {
    Await<LogOffset> answer(Loop);
    Log.append("claims", {body}, monoNow() + patience, answer.callback());
    return answer.result();
  }

  std::size_t readCount() {
    Await<LogPage> answer(Loop);
    Log.read("claims", LogOffset(0), Millis(0), monoNow() + Seconds(1),
             answer.callback());
    const auto &result = answer.result();
    BOOST_REQUIRE(std::holds_alternative<LogPage>(result));
    return std::get<LogPage>(result).Records.size();
  }
};

struct BackendFixture {
  EventLoop Loop;
  Endpoint At{testing::loopbackIp(2), Port};
  HistoryFile History{""};
  BackendService Service{Loop, BackendServerId("lahore-1-b1"), 8, History};
  HttpClient Http{Loop, CallerIp};
  HttpBackendPort Backend{Http};

  BackendFixture() { BOOST_REQUIRE(Service.listen(At)); }

  MonoTime soon() const { return monoNow() + Seconds(2); }

  ServerTime serverNow() {
    Await<ServerTime> answer(Loop);
    Backend.clock(At, soon(), answer.callback());
    const auto &result = answer.result();
    BOOST_REQUIRE(std::holds_alternative<ServerTime>(result));
    return std::get<ServerTime>(result);
  }

  FencingToken acquire() {
    Await<FencingToken> answer(Loop);
    Backend.acquire(At, Holder, Millis(2000), serverNow(), {}, soon(),
                    answer.callback());
    const auto &result = answer.result();
    BOOST_REQUIRE(std::holds_alternative<FencingToken>(result));
    return std::get<FencingToken>(result);
  }

  void prepare(FencingToken token, const std::string &payload) {
    PrepareTask task;
    task.Task = TaskId("t1");
    task.Job = {ClientAccountId("garam"), RequestKey("k1")};
    task.Slots = {0, 1};
    task.Request = json{{"payload", payload}}.dump();
    task.StartBy = Millis(1000);
    task.TaskTerm = Millis(2000);
    Await<std::monostate> answer(Loop);
    Backend.prepare(At, token, task, soon(), answer.callback());
    BOOST_REQUIRE(std::holds_alternative<std::monostate>(answer.result()));
  }

  void release(FencingToken token) {
    Await<std::monostate> answer(Loop);
    Backend.release(At, token, TaskId("t1"), serverNow(), soon(),
                    answer.callback());
    BOOST_REQUIRE(std::holds_alternative<std::monostate>(answer.result()));
  }

  PortResult<SyncAnswer> sync(FencingToken token, std::uint64_t since,
                              Millis wait) {
    Await<SyncAnswer> answer(Loop);
    Backend.sync(
        At, {token, Millis(2000), Millis(2000), since, wait, {}, serverNow()},
        soon(), answer.callback());
    return answer.result();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_append_is_read_back, PlatformFixture) {
  const auto first = append(R"({"a":1})");
  BOOST_REQUIRE(std::holds_alternative<LogOffset>(first));
  BOOST_TEST(std::get<LogOffset>(first).value() == 0U);
  BOOST_TEST(readCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_leaves_the_record, PlatformFixture) {
  control({{"lose_answers", 1}});
  BOOST_CHECK(
      std::holds_alternative<NoAnswer>(append(R"({"a":1})", Millis(100))));
  BOOST_TEST(readCount() == 1U);
  BOOST_CHECK(std::holds_alternative<LogOffset>(append(R"({"a":2})")));
}

BOOST_FIXTURE_TEST_CASE(an_outage_takes_no_append, PlatformFixture) {
  control({{"outage", true}});
  BOOST_CHECK(std::holds_alternative<Rejected>(append(R"({"a":1})")));
  control({{"outage", false}});
  BOOST_TEST(readCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_cut_caller_gets_no_answer, PlatformFixture) {
  control({{"refuse_from", {CallerIp}}});
  BOOST_CHECK(
      std::holds_alternative<NoAnswer>(append(R"({"a":1})", Millis(100))));
  control({{"refuse_from", json::array()}});
  BOOST_TEST(readCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_slow_append_lands_after_its_caller_gave_up,
                        PlatformFixture) {
  control({{"delay_ms", 200}});
  BOOST_CHECK(
      std::holds_alternative<NoAnswer>(append(R"({"a":1})", Millis(50))));
  control({{"delay_ms", 0}});
  BOOST_TEST(readCount() == 0U);
  Loop.runUntil(monoNow() + Millis(250));
  BOOST_TEST(readCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_waiting_read_sees_a_new_record, PlatformFixture) {
  Await<LogPage> answer(Loop);
  Log.read("claims", LogOffset(0), Millis(3000), monoNow() + Seconds(4),
           answer.callback());
  const Timer later = Loop.at(monoNow() + Millis(50), [this] {
    Log.append("claims", {R"({"a":1})"}, monoNow() + Seconds(1),
               [](const PortResult<LogOffset> &) {});
  });
  const auto &result = answer.result();
  BOOST_REQUIRE(std::holds_alternative<LogPage>(result));
  BOOST_TEST(std::get<LogPage>(result).Records.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(appends_beyond_the_rate_are_refused, PlatformFixture) {
  int refused = 0;
  for (int i = 0; i < 250; ++i)
    if (std::holds_alternative<Rejected>(append(R"({"a":1})")))
      ++refused;
  BOOST_TEST(refused > 0);
  BOOST_TEST(readCount() == static_cast<std::size_t>(250 - refused));
}

BOOST_FIXTURE_TEST_CASE(the_list_of_vms_is_served, PlatformFixture) {
  HttpVmListPort vms(Http, At, DataCentreId("lahore-1"));
  control({{"mark_leaving", {"lahore-1-b1"}}});
  Await<VmList> answer(Loop);
  vms.fetch(monoNow() + Seconds(1), answer.callback());
  const auto &result = answer.result();
  BOOST_REQUIRE(std::holds_alternative<VmList>(result));
  BOOST_REQUIRE(std::get<VmList>(result).BackendServers.size() == 1U);
  BOOST_TEST(std::get<VmList>(result).BackendServers[0].Leaving);
}

BOOST_FIXTURE_TEST_CASE(a_task_runs_to_its_result, BackendFixture) {
  const auto token = acquire();
  prepare(token, R"({"run_ms":50,"result":"labels"})");
  release(token);
  const auto running = sync(token, 0, Millis(0));
  BOOST_REQUIRE(std::holds_alternative<SyncAnswer>(running));
  const auto done =
      sync(token, std::get<SyncAnswer>(running).Version, Millis(1500));
  BOOST_REQUIRE(std::holds_alternative<SyncAnswer>(done));
  const auto &tasks = std::get<SyncAnswer>(done).Tasks;
  BOOST_REQUIRE(tasks.size() == 1U);
  BOOST_CHECK(tasks[0].Status == TaskStatus::Done);
  BOOST_TEST(json::parse(tasks[0].Result)["result"] == "labels");
}

BOOST_FIXTURE_TEST_CASE(a_waiting_holder_learns_that_it_is_fenced,
                        BackendFixture) {
  const auto token = acquire();
  const ServerTime from = serverNow();
  const Timer later = Loop.at(monoNow() + Millis(50), [&] {
    Backend.acquire(At, EntryVmId("lahore-1-e2"), Millis(1000), from, token,
                    soon(), [](const PortResult<FencingToken> &) {});
  });
  const auto result = sync(token, 0, Millis(1500));
  BOOST_REQUIRE(std::holds_alternative<Rejected>(result));
  BOOST_TEST(std::get<Rejected>(result).CurrentToken.value() > token.value());
}

BOOST_FIXTURE_TEST_CASE(a_dead_server_gives_no_answer, BackendFixture) {
  const auto token = acquire();
  const ServerTime from = serverNow();
  Http.call(At, {"POST", "/control", R"({"dead":true})", ""}, soon(),
            [this](const HttpResult &) { Loop.stop(); });
  Loop.runUntil(monoNow() + Seconds(2));
  Await<std::monostate> answer(Loop);
  Backend.release(At, token, TaskId("t1"), from, monoNow() + Millis(100),
                  answer.callback());
  BOOST_CHECK(std::holds_alternative<NoAnswer>(answer.result()));
}
