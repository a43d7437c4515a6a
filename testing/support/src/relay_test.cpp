// A relay forwards both protocols, and nothing while it is cut.
#include "citrongap/testing/relay.h"

#include "citrongap/net/http_client.h"
#include "citrongap/net/http_server.h"
#include "citrongap/testing/loopback.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const Endpoint Target{loopbackIp(1), 18661};
const Endpoint Through{loopbackIp(2), 18661};

/// A UDP socket that is closed with the test.
class Udp {
public:
  explicit Udp(const Endpoint &at) : Fd(socket(AF_INET, SOCK_DGRAM, 0)) {
    const sockaddr_in address = addressOf(at);
    BOOST_REQUIRE(bind(Fd, reinterpret_cast<const sockaddr *>(&address),
                       sizeof address) == 0);
  }
  ~Udp() { close(Fd); }
  Udp(const Udp &) = delete;
  Udp &operator=(const Udp &) = delete;

  static sockaddr_in addressOf(const Endpoint &at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.Port);
    out.sin_addr.s_addr = inet_addr(at.Ip.c_str());
    return out;
  }
  void send(const sockaddr_in &to) const {
    sendto(Fd, "x", 1, 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
  }
  /// The sender of the next datagram; null when there is none.
  std::optional<sockaddr_in> receive() const {
    char byte = 0;
    sockaddr_in from{};
    socklen_t size = sizeof from;
    if (recvfrom(Fd, &byte, 1, MSG_DONTWAIT,
                 reinterpret_cast<sockaddr *>(&from), &size) != 1)
      return std::nullopt;
    return from;
  }

private:
  int Fd;
};

bool answered(EventLoop &loop, HttpClient &client) {
  bool ok = false;
  client.call(Through, {"GET", "/", "", ""}, monoNow() + Millis(200),
              [&](const HttpResult &it) {
                ok = std::holds_alternative<HttpResponse>(it);
                loop.stop();
              });
  loop.runUntil(monoNow() + Millis(500));
  return ok;
}

void turn(EventLoop &loop) { loop.runUntil(monoNow() + Millis(50)); }

} // namespace

BOOST_AUTO_TEST_CASE(tcp_passes_but_not_while_cut) {
  EventLoop loop;
  HttpServer server(loop, {},
                    [](const HttpRequest &, const HttpResponder &responder) {
                      responder.send({200, "{}"});
                    });
  BOOST_REQUIRE(server.listen(Target));
  Relay relay(loop, Through, Target);
  BOOST_REQUIRE(relay.ok());
  HttpClient client(loop, "");
  BOOST_TEST(answered(loop, client));
  relay.setCut(true);
  BOOST_TEST(!answered(loop, client));
  relay.setCut(false);
  BOOST_TEST(answered(loop, client));
}

BOOST_AUTO_TEST_CASE(udp_passes_both_ways_but_not_while_cut) {
  EventLoop loop;
  Relay relay(loop, Through, Target);
  BOOST_REQUIRE(relay.ok());
  const Udp far(Target);
  const Udp near({loopbackIp(3), 18662});
  near.send(Udp::addressOf(Through));
  turn(loop);
  const auto from = far.receive();
  BOOST_REQUIRE(from.has_value());
  far.send(*from);
  turn(loop);
  BOOST_TEST(near.receive().has_value());
  relay.setCut(true);
  near.send(Udp::addressOf(Through));
  far.send(*from);
  turn(loop);
  BOOST_TEST(!far.receive().has_value());
  BOOST_TEST(!near.receive().has_value());
}
