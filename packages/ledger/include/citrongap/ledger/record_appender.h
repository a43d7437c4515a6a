// Group commit of records: one append in flight, the next batch gathers
// meanwhile. What became of a record is only ever read from the log.
#ifndef CITRONGAP_LEDGER_RECORD_APPENDER_H
#define CITRONGAP_LEDGER_RECORD_APPENDER_H

#include "citrongap/net/event_loop.h"
#include "citrongap/platform/log_port.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace citrongap {

/// Read back at its place in the log.
struct RecordRead {
  /// Whether it was in effect there.
  bool Effective = false;
};

/// No append that held it was ever sent, or each was refused without effect.
struct RecordNeverSent {
  std::string Reason;
};

/// Sent, not read back by its deadline; it may stand in the log or may land
/// later.
struct RecordUnread {};

using RecordFate = std::variant<RecordRead, RecordNeverSent, RecordUnread>;
using RecordCallback = std::function<void(const RecordFate &)>;

struct RecordAppenderSettings {
  /// How long one append may take.
  Millis AppendTime{2000};
  /// A record that was not read back is appended again after it; nothing is
  /// sent for so long after a failed append.
  Millis RetryAfter{500};
  std::size_t MaxBatchRecords = 256;
  std::size_t MaxBatchBytes = 1U << 20U;
  /// Records that may wait at the same time; further ones are not sent.
  std::size_t MaxPending = 4096;
};

class RecordAppender {
public:
  RecordAppender(EventLoop &loop, LogPort &log, std::string stream,
                 RecordAppenderSettings settings);

  /// `body` carries `id`. Given up when not sent by `sendBy`, for want of the
  /// log, or not read by `deadline`. The callback comes once, and no append
  /// of the record is started after it.
  void submit(const std::string &id, std::string body, MonoTime sendBy,
              MonoTime deadline, RecordCallback callback);
  /// The owner has read the record in the log.
  void onRead(const std::string &id, bool effective);
  /// While the log is not reachable nothing is sent.
  void setReachable(bool reachable);
  bool reachable() const { return Reachable && !Pause.pending(); }
  /// Called after each append that was answered or given up.
  void onAppended(std::function<void()> callback);

  std::size_t pending() const { return Records.size(); }
  std::uint64_t appends() const { return Appends; }

private:
  struct Record {
    std::string Body;
    MonoTime Deadline;
    RecordCallback Callback;
    /// True once an append that may have taken effect held it.
    bool MaySent = false;
    /// True while an append that holds it is in flight.
    bool InFlight = false;
    Timer Expiry;
    Timer Retry;
  };

  void flush();
  std::vector<std::string> takeBatch(std::vector<std::string> &ids);
  void onAnswer(const std::vector<std::string> &ids,
                const PortResult<LogOffset> &result);
  void enqueueLater(const std::string &id);
  void expire(const std::string &id);
  void expireUnsent(const std::string &id);
  void settle(const std::string &id, const RecordFate &fate);

  EventLoop &Loop;
  LogPort &Port;
  std::string Stream;
  RecordAppenderSettings Settings;
  /// By record id: submitted and not settled.
  std::map<std::string, Record> Records;
  /// Ids to send next; those that were settled meanwhile are skipped.
  std::deque<std::string> Queue;
  bool Busy = false;
  /// Records of the append in flight that were not read back yet.
  std::set<std::string> Flight;
  bool Reachable = false;
  /// Pending after a failed append.
  Timer Pause;
  std::uint64_t Appends = 0;
  std::function<void()> Appended;
  std::shared_ptr<int> Alive = std::make_shared<int>();
};

} // namespace citrongap

#endif // CITRONGAP_LEDGER_RECORD_APPENDER_H
