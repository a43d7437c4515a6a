// Blocking reads after poll(2); one request at a time on a connection.
#include "canned_server.h"

#include "measure.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace citrongap {

namespace {

constexpr int PollMs = 20;
constexpr int Backlog = 64;
/// Connections that one server port gets at most in these runs.
constexpr std::size_t ConnectionsPerPort = 2;
/// Descriptors that trafficTo() looks at.
constexpr int MaxDescriptor = 4096;

sockaddr *generic(sockaddr_in &address) {
  return reinterpret_cast<sockaddr *>(&address);
}

std::string withHead(const std::string &body) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     body.size(), body);
}

/// Length of the whole request, or 0 while its head is not there.
std::size_t wholeLength(std::string_view bytes) {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  constexpr std::string_view Length = "Content-Length: ";
  const auto end = bytes.find(HeadEnd);
  if (end == std::string_view::npos)
    return 0;
  const auto at = bytes.substr(0, end).find(Length);
  std::size_t body = 0;
  if (at != std::string_view::npos)
    for (auto i = at + Length.size(); bytes[i] >= '0' && bytes[i] <= '9'; ++i)
      body = body * 10 + static_cast<std::size_t>(bytes[i] - '0');
  return end + HeadEnd.size() + body;
}

void sendAll(int socket, const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return;
    sent += static_cast<std::size_t>(n);
  }
}

} // namespace

CannedServer::CannedServer(std::size_t ports, const CannedAnswers &answers)
    : Answers{withHead(answers.Lease),   withHead(answers.AllTasks),
              withHead(answers.NoTasks), withHead(answers.Document),
              answers.HoldSyncs,         answers.Delay} {
  for (std::size_t i = 0; i < ports; ++i)
    listenOnce();
  Connections.reserve(ports * ConnectionsPerPort);
  Thread = std::thread([this] { serve(); });
}

CannedServer::~CannedServer() {
  Stopping = true;
  Thread.join();
  for (const int it : Listeners)
    close(it);
  for (const Connection &it : Connections)
    close(it.Socket);
}

void CannedServer::listenOnce() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  if (bind(listener, generic(address), length) != 0 ||
      listen(listener, Backlog) != 0)
    giveUp("can't listen on 127.0.0.1");
  getsockname(listener, generic(address), &length);
  Listeners.push_back(listener);
  At.push_back({"127.0.0.1", ntohs(address.sin_port)});
}

void CannedServer::serve() {
  std::vector<pollfd> polled;
  polled.reserve(Listeners.size() + Connections.capacity());
  while (!Stopping) {
    polled.clear();
    for (const int it : Listeners)
      polled.push_back({it, POLLIN, 0});
    for (const Connection &it : Connections)
      polled.push_back({it.Socket, POLLIN, 0});
    poll(polled.data(), polled.size(), PollMs);
    for (std::size_t i = Listeners.size(); i < polled.size(); ++i)
      if (polled[i].revents != 0)
        receive(Connections[i - Listeners.size()]);
    for (std::size_t i = 0; i < Listeners.size(); ++i)
      if (polled[i].revents != 0)
        acceptFrom(polled[i].fd);
    std::erase_if(Connections, [](const auto &it) { return it.Socket < 0; });
  }
}

void CannedServer::acceptFrom(int listener) {
  const int socket = accept(listener, nullptr, nullptr);
  if (socket < 0)
    return;
  if (Connections.size() == Connections.capacity()) {
    close(socket);
    return;
  }
  Connections.emplace_back();
  Connections.back().Socket = socket;
}

void CannedServer::receive(Connection &from) {
  const auto n = recv(from.Socket, from.Bytes.data() + from.Used,
                      from.Bytes.size() - from.Used, 0);
  if (n <= 0) {
    close(from.Socket);
    from.Socket = -1;
    return;
  }
  from.Used += static_cast<std::size_t>(n);
  const std::string_view bytes(from.Bytes.data(), from.Used);
  const std::size_t whole = wholeLength(bytes);
  if (whole == 0 || bytes.size() < whole)
    return;
  from.Used = 0;
  std::this_thread::sleep_for(Answers.Delay);
  if (const std::string *answer = answerTo(bytes))
    sendAll(from.Socket, *answer);
}

const std::string *CannedServer::answerTo(std::string_view request) const {
  if (request.starts_with("GET"))
    return &Answers.Document;
  if (request.starts_with("POST /lease"))
    return &Answers.Lease;
  if (request.find("\"since\":0,") != std::string_view::npos)
    return &Answers.AllTasks;
  return Answers.HoldSyncs ? nullptr : &Answers.NoTasks;
}

Traffic trafficTo(const std::vector<Endpoint> &servers) {
  std::set<std::uint16_t> ports;
  for (const Endpoint &it : servers)
    ports.insert(it.Port);
  Traffic sum;
  for (int fd = 0; fd < MaxDescriptor; ++fd) {
    sockaddr_in peer{};
    socklen_t length = sizeof(peer);
    if (getpeername(fd, generic(peer), &length) != 0 ||
        peer.sin_family != AF_INET || !ports.contains(ntohs(peer.sin_port)))
      continue;
    tcp_info info{};
    length = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
      continue;
    sum.Sent += static_cast<double>(info.tcpi_bytes_acked);
    sum.Received += static_cast<double>(info.tcpi_bytes_received);
    sum.Packets += info.tcpi_segs_out + info.tcpi_segs_in;
  }
  return sum;
}

} // namespace citrongap
