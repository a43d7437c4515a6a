// Two links on loopback, and links against raw and broken peers.
#include "citrongap/peer/tcp_peer_link.h"

#include "citrongap/testing/loopback.h"
#include "frame.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace citrongap;

namespace {

const Endpoint EndpointA{testing::loopbackIp(1), 18471};
const Endpoint EndpointB{testing::loopbackIp(2), 18471};
const EntryVmId A("vm-a");
const EntryVmId B("vm-b");

std::string text(const PeerResult &result) {
  if (const auto *answer = std::get_if<std::string>(&result))
    return *answer;
  return std::get<PeerError>(result) == PeerError::NotSent ? "not sent"
                                                           : "no answer";
}

struct Fixture {
  EventLoop Loop;
  TcpPeerLink LinkA{Loop, A, EndpointA};
  std::optional<TcpPeerLink> LinkB;
  std::vector<std::string> Results;
  std::vector<PeerResponder> Held;

  Fixture() {
    LinkB.emplace(Loop, B, EndpointB);
    BOOST_REQUIRE(LinkB->listening());
    LinkA.setAddress(B, EndpointB);
  }

  void ask(const std::string &body, Millis patience = Millis(2000)) {
    LinkA.request(B, body, monoNow() + patience, [this](const PeerResult &it) {
      Results.push_back(text(it));
    });
  }
  void echo() {
    LinkB->setHandler([](const EntryVmId &from, const std::string &body,
                         const PeerResponder &respond) {
      respond(from.str() + ":" + body);
      respond("a second answer");
    });
  }
  void hold() {
    LinkB->setHandler(
        [this](const EntryVmId &, const std::string &,
               const PeerResponder &respond) { Held.push_back(respond); });
  }
  /// Runs until there are `count` results, a second at most.
  void run(std::size_t count) {
    const MonoTime end = monoNow() + Millis(1000);
    while (Results.size() < count && monoNow() < end)
      Loop.runUntil(monoNow() + Millis(5));
    BOOST_TEST(Results.size() == count);
  }
  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }
};

/// A listener of plain sockets in the place of B.
class RawPeer {
public:
  explicit RawPeer(bool accepting = true)
      : Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address();
    BOOST_REQUIRE(bind(Listener, reinterpret_cast<const sockaddr *>(&at),
                       sizeof at) == 0);
    if (accepting)
      BOOST_REQUIRE(listen(Listener, 8) == 0);
  }
  ~RawPeer() {
    close(Listener);
    if (Connection >= 0)
      close(Connection);
  }
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  static sockaddr_in address() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(EndpointB.Port);
    inet_pton(AF_INET, EndpointB.Ip.c_str(), &at.sin_addr);
    return at;
  }
  /// The IP number that the connection came from.
  std::string accept() {
    sockaddr_in from{};
    socklen_t n = sizeof from;
    Connection = ::accept(Listener, reinterpret_cast<sockaddr *>(&from), &n);
    BOOST_REQUIRE(Connection >= 0);
    return inet_ntoa(from.sin_addr);
  }
  void hangUp() { close(std::exchange(Connection, -1)); }
  void write(const std::string &bytes) const {
    BOOST_REQUIRE(::write(Connection, bytes.data(), bytes.size()) ==
                  static_cast<ssize_t>(bytes.size()));
  }

private:
  int Listener;
  int Connection = -1;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tcp_peer_link, Fixture)

BOOST_AUTO_TEST_CASE(answer_reaches_its_request_once) {
  echo();
  ask("one");
  BOOST_TEST(Results.empty());
  run(1);
  BOOST_TEST(Results.at(0) == "vm-a:one");
  runFor(Millis(30));
  BOOST_TEST(Results.size() == 1U);
}

BOOST_AUTO_TEST_CASE(crossed_answers_reach_their_own_requests) {
  hold();
  std::map<std::string, std::string> answers;
  for (const char *it : {"1", "2", "3"})
    LinkA.request(
        B, it, monoNow() + Millis(1000),
        [&, it](const PeerResult &result) { answers[it] = text(result); });
  runFor(Millis(50));
  BOOST_REQUIRE(Held.size() == 3U);
  Held[2]("c");
  Held[0]("a");
  Held[1]("b");
  runFor(Millis(50));
  BOOST_TEST((answers == std::map<std::string, std::string>{
                             {"1", "a"}, {"2", "b"}, {"3", "c"}}));
}

BOOST_AUTO_TEST_CASE(late_answer_reaches_no_other_request) {
  hold();
  ask("slow", Millis(30));
  run(1);
  BOOST_TEST(Results.at(0) == "no answer");
  ask("next");
  runFor(Millis(30));
  BOOST_REQUIRE(Held.size() == 2U);
  Held[0]("late");
  runFor(Millis(30));
  BOOST_TEST(Results.size() == 1U);
  Held[1]("own");
  run(2);
  BOOST_TEST(Results.at(1) == "own");
}

BOOST_AUTO_TEST_CASE(unknown_or_absent_peer_is_not_sent) {
  LinkA.request(EntryVmId("nobody"), "x", monoNow() + Millis(500),
                [this](const PeerResult &it) { Results.push_back(text(it)); });
  BOOST_TEST(Results.empty());
  LinkB.reset();
  ask("x");
  run(2);
  BOOST_TEST(Results.at(0) == "not sent");
  BOOST_TEST(Results.at(1) == "not sent");
}

BOOST_AUTO_TEST_CASE(connection_lost_after_the_send_is_no_answer) {
  LinkB.reset();
  RawPeer raw;
  ask("x");
  runFor(Millis(30));
  BOOST_TEST(raw.accept() == EndpointA.Ip);
  runFor(Millis(30));
  raw.hangUp();
  run(1);
  BOOST_TEST(Results.at(0) == "no answer");
}

BOOST_AUTO_TEST_CASE(peer_that_returns_is_reached_again) {
  LinkB.reset();
  ask("x");
  run(1);
  LinkB.emplace(Loop, B, EndpointB);
  echo();
  runFor(Millis(120));
  ask("again");
  run(2);
  BOOST_TEST(Results.at(1) == "vm-a:again");
}

BOOST_AUTO_TEST_CASE(peer_beyond_the_frame_limit_is_cut_off) {
  LinkB.reset();
  RawPeer raw;
  ask("x");
  runFor(Millis(30));
  raw.accept();
  raw.write("\x7f\xff\xff\xff");
  run(1);
  BOOST_TEST(Results.at(0) == "no answer");
}

BOOST_AUTO_TEST_CASE(large_body_passes_and_a_larger_one_is_not_sent) {
  echo();
  const std::size_t limit = PeerLinkLimits().MaxFrameBytes;
  ask(std::string(limit / 2, 'x'));
  ask(std::string(limit, 'x'));
  run(2);
  BOOST_TEST(Results.at(0) == "not sent");
  BOOST_TEST(Results.at(1).size() == limit / 2 + 5);
}

BOOST_AUTO_TEST_CASE(full_buffer_of_a_peer_that_reads_nothing_is_not_sent) {
  LinkB.reset();
  RawPeer raw;
  const std::string body(1U << 20U, 'x');
  for (int i = 0; i < 40; ++i) {
    ask(body, Millis(30000));
    runFor(Millis(2));
  }
  BOOST_TEST(!Results.empty());
  for (const auto &it : Results)
    BOOST_TEST(it == "not sent");
  BOOST_TEST(Results.size() >= 25U);
  raw.accept();
  raw.hangUp();
  run(40);
}

BOOST_AUTO_TEST_CASE(draining_link_answers_what_it_took_and_takes_no_more) {
  hold();
  ask("open");
  runFor(Millis(30));
  bool drained = false;
  LinkB->drain(monoNow() + Millis(1000), [&] { drained = true; });
  runFor(Millis(30));
  ask("new");
  run(1);
  BOOST_TEST(Results.at(0) == "not sent");
  BOOST_TEST(!drained);
  Held.at(0)("whole answer");
  run(2);
  BOOST_TEST(Results.at(1) == "whole answer");
  runFor(Millis(30));
  BOOST_TEST(drained);
}

BOOST_AUTO_TEST_CASE(request_on_the_way_when_the_drain_starts_is_answered) {
  echo();
  ask("opens the connection");
  run(1);
  ask("on the way");
  bool drained = false;
  LinkB->drain(monoNow() + Millis(1000), [&] { drained = true; });
  run(2);
  BOOST_TEST(Results.at(1) == "vm-a:on the way");
  runFor(Millis(30));
  BOOST_TEST(drained);
}

BOOST_AUTO_TEST_CASE(callback_may_remove_its_own_peer) {
  echo();
  LinkA.request(B, "x", monoNow() + Millis(500), [this](const PeerResult &it) {
    Results.push_back(text(it));
    LinkA.removeAddress(B);
    ask("after");
  });
  run(2);
  BOOST_TEST(Results.at(1) == "not sent");
}

BOOST_AUTO_TEST_SUITE_END()
