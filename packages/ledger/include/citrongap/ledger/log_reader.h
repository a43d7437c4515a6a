// Follows one stream of the platform's log: long polls, paced when quiet,
// with backoff and jitter during outages.
#ifndef CITRONGAP_LEDGER_LOG_READER_H
#define CITRONGAP_LEDGER_LOG_READER_H

#include "citrongap/base/random.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/platform/log_port.h"

#include <functional>
#include <memory>
#include <sigc++/sigc++.h>
#include <string>

namespace citrongap {

struct LogReaderSettings {
  /// How long the log may hold a read that finds no record.
  Millis LongPoll{3000};
  /// Added to `LongPoll` before a read counts as unanswered.
  Millis AnswerMargin{2000};
  /// Least time between the starts of two reads, unless hurried.
  Millis Pace{1000};
  Millis FirstBackoff{250};
  Millis LongestBackoff{8000};
};

class LogReader {
public:
  /// `position` gives the next offset to read.
  LogReader(EventLoop &loop, LogPort &log, std::string stream,
            std::function<LogOffset()> position, const Random &random,
            LogReaderSettings settings);

  void start();
  /// Reads as soon as possible: somebody waits for a record.
  void hurry();
  /// False before the first answer, and after a read that got none.
  bool reachable() const { return Reachable; }

  /// Every page, in order. Emitted before the next read starts.
  sigc::signal<void(const LogPage &)> PageRead;
  /// Emitted when reachable() changes.
  sigc::signal<void(bool)> ReachableChanged;

private:
  void read();
  void onAnswer(const PortResult<LogPage> &result);
  void setReachable(bool reachable);
  void readAt(MonoTime at);

  EventLoop &Loop;
  LogPort &Port;
  std::string Stream;
  std::function<LogOffset()> Position;
  Random Jitter;
  LogReaderSettings Settings;
  MonoTime LastStart;
  Millis Backoff{0};
  bool Reachable = false;
  bool Hurried = false;
  /// Invariant: while a read is in flight, `Next` is not pending.
  bool InFlight = false;
  Timer Next;
  /// Answers that arrive after the reader's end find it expired.
  std::shared_ptr<int> Alive = std::make_shared<int>();
};

} // namespace citrongap

#endif // CITRONGAP_LEDGER_LOG_READER_H
