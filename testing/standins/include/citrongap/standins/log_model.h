// Streams of the log service as a pure model: offsets, retention, reads. Time
// is passed in.
#ifndef CITRONGAP_STANDINS_LOG_MODEL_H
#define CITRONGAP_STANDINS_LOG_MODEL_H

#include "citrongap/base/time.h"
#include "citrongap/platform/log_port.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace citrongap::standins {

struct LogRetention {
  Millis Age{3'600'000};
  std::size_t MaxRecords = 1'000'000;
};

/// Caps of one read.
struct ReadLimits {
  std::size_t MaxRecords = 1000;
  std::size_t MaxBytes = 4U << 20U;
};

class LogModel {
public:
  explicit LogModel(LogRetention retention) : Retention(retention) {}

  /// Gives the offset of the first record; they stand together.
  LogOffset append(const std::string &stream, std::vector<std::string> bodies,
                   MonoTime now);
  /// Starts at the first retained record when `from` is below it.
  LogPage read(const std::string &stream, LogOffset from, ReadLimits limits,
               MonoTime now);
  /// Every record ever appended, whatever the retention dropped.
  LogPage dump(const std::string &stream) const;

private:
  struct Stream {
    /// All records; the offset of a record is its index.
    std::deque<std::string> Bodies;
    /// When each record was appended; as long as `Bodies`.
    std::vector<MonoTime> AppendedAt;
    /// Never decreases, at most `Bodies.size()`.
    std::size_t FirstRetained = 0;
  };

  void dropOld(Stream &stream, MonoTime now) const;

  LogRetention Retention;
  std::map<std::string, Stream> Streams;
};

/// True for `[a-z0-9-]+`.
bool isStreamName(const std::string &text);

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_LOG_MODEL_H
