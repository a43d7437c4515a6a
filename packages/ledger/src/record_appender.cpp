// Batches of records in front of the log.
#include "citrongap/ledger/record_appender.h"

#include "citrongap/ledger/configuration_change.h"

#include <algorithm>
#include <utility>

namespace citrongap {

RecordAppender::RecordAppender(EventLoop &loop, LogPort &log,
                               std::string stream,
                               RecordAppenderSettings settings)
    : Loop(loop), Port(log), Stream(std::move(stream)), Settings(settings) {}

void RecordAppender::onAppended(std::function<void()> callback) {
  Appended = std::move(callback);
}

void RecordAppender::submit(const std::string &id, std::string body,
                            MonoTime sendBy, MonoTime deadline,
                            RecordCallback callback) {
  if (body.size() > MaxRecordBytes) {
    callback(RecordNeverSent{"the record is too large"});
    return;
  }
  if (Records.size() >= Settings.MaxPending) {
    callback(RecordNeverSent{"too many records wait for the log"});
    return;
  }
  Record record{
      std::move(body), deadline, std::move(callback), false, false, {}, {}};
  record.Expiry = Loop.at(deadline, [this, id] { expire(id); });
  // Until it is sent for the first time, this timer bounds its wait.
  record.Retry =
      Loop.at(std::min(sendBy, deadline), [this, id] { expireUnsent(id); });
  Records.emplace(id, std::move(record));
  Queue.push_back(id);
  flush();
}

void RecordAppender::setReachable(bool reachable) {
  Reachable = reachable;
  Pause.cancel();
  flush();
}

std::vector<std::string>
RecordAppender::takeBatch(std::vector<std::string> &ids) {
  std::vector<std::string> bodies;
  std::size_t bytes = 0;
  while (!Queue.empty() && bodies.size() < Settings.MaxBatchRecords) {
    const auto it = Records.find(Queue.front());
    if (it != Records.end() && !it->second.InFlight) {
      bytes += it->second.Body.size();
      if (bytes > Settings.MaxBatchBytes && !bodies.empty())
        break;
      it->second.InFlight = true;
      it->second.Retry.cancel();
      bodies.push_back(it->second.Body);
      ids.push_back(it->first);
    }
    Queue.pop_front();
  }
  return bodies;
}

void RecordAppender::flush() {
  if (Busy || !reachable())
    return;
  std::vector<std::string> ids;
  std::vector<std::string> bodies = takeBatch(ids);
  if (bodies.empty())
    return;
  Busy = true;
  Flight = {ids.begin(), ids.end()};
  const std::uint64_t flight = ++Appends;
  Port.append(Stream, std::move(bodies), monoNow() + Settings.AppendTime,
              [this, ids, flight, alive = std::weak_ptr<int>(Alive)](
                  const PortResult<LogOffset> &result) {
                if (!alive.expired() && Busy && flight == Appends)
                  onAnswer(ids, result);
              });
}

void RecordAppender::onAnswer(const std::vector<std::string> &ids,
                              const PortResult<LogOffset> &result) {
  Busy = false;
  const bool refused = std::holds_alternative<Rejected>(result);
  if (!std::holds_alternative<LogOffset>(result))
    Pause = Loop.at(monoNow() + Settings.RetryAfter, [this] {
      Pause.cancel();
      flush();
    });
  for (const auto &id : ids) {
    const auto it = Records.find(id);
    if (it == Records.end())
      continue;
    it->second.InFlight = false;
    it->second.MaySent |= !refused;
    enqueueLater(id);
  }
  if (Appended)
    Appended();
  flush();
}

void RecordAppender::enqueueLater(const std::string &id) {
  Records.at(id).Retry = Loop.at(monoNow() + Settings.RetryAfter, [this, id] {
    Queue.push_back(id);
    flush();
  });
}

void RecordAppender::onRead(const std::string &id, bool effective) {
  // An append whose records were all read back has no answer to wait for.
  const bool landed = Flight.erase(id) > 0 && Flight.empty();
  settle(id, RecordRead{effective});
  if (!landed || !Busy)
    return;
  Busy = false;
  flush();
}

void RecordAppender::expire(const std::string &id) {
  const auto it = Records.find(id);
  if (it == Records.end())
    return;
  if (it->second.MaySent || it->second.InFlight)
    settle(id, RecordUnread{});
  else
    settle(id, RecordNeverSent{"the log is not reachable"});
}

void RecordAppender::expireUnsent(const std::string &id) {
  const auto it = Records.find(id);
  if (it != Records.end() && !reachable())
    settle(id, RecordNeverSent{"the log is not reachable"});
}

void RecordAppender::settle(const std::string &id, const RecordFate &fate) {
  auto node = Records.extract(id);
  if (node.empty())
    return;
  if (!reachable())
    std::erase(Queue, id);
  node.mapped().Callback(fate);
}

} // namespace citrongap
