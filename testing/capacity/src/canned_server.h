// A server that answers HTTP with fixed texts, in a thread and with buffers of
// its own: what it costs is not counted for the client that is measured.
#ifndef CITRONGAP_CAPACITY_CANNED_SERVER_H
#define CITRONGAP_CAPACITY_CANNED_SERVER_H

#include "citrongap/net/endpoint.h"

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace citrongap {

struct CannedAnswers {
  std::string Lease;
  /// To a sync that asks for all tasks, and to one that knows them.
  std::string AllTasks;
  std::string NoTasks;
  /// To any GET.
  std::string Document;
  /// A sync that knows all tasks gets no answer, as in a long poll.
  bool HoldSyncs = false;
  /// Each answer comes so late; other connections wait too.
  std::chrono::milliseconds Delay{0};
};

class CannedServer {
public:
  /// Listens on `ports` ports of 127.0.0.1, each one server to the client.
  CannedServer(std::size_t ports, const CannedAnswers &answers);
  ~CannedServer();
  CannedServer(const CannedServer &) = delete;
  CannedServer &operator=(const CannedServer &) = delete;

  const std::vector<Endpoint> &endpoints() const { return At; }

private:
  static constexpr std::size_t MaxRequestBytes = 4096;

  struct Connection {
    int Socket = -1;
    std::size_t Used = 0;
    std::array<char, MaxRequestBytes> Bytes{};
  };

  void listenOnce();
  void serve();
  void acceptFrom(int listener);
  void receive(Connection &from);
  const std::string *answerTo(std::string_view request) const;

  CannedAnswers Answers;
  std::vector<Endpoint> At;
  std::vector<int> Listeners;
  std::vector<Connection> Connections;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

/// Bytes and packets of all TCP connections to ports of `servers`, as the
/// kernel counts them, seen from the client.
struct Traffic {
  double Sent = 0;
  double Received = 0;
  double Packets = 0;

  /// IPv4 and TCP heads with time stamps.
  static constexpr double HeadBytes = 52;
  double onWire() const { return Sent + Received + Packets * HeadBytes; }
  Traffic operator-(const Traffic &it) const {
    return {Sent - it.Sent, Received - it.Received, Packets - it.Packets};
  }
};

Traffic trafficTo(const std::vector<Endpoint> &servers);

} // namespace citrongap

#endif // CITRONGAP_CAPACITY_CANNED_SERVER_H
