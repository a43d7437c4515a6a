// The platform's append-only log: streams of records with offsets.
#ifndef CITRONGAP_PLATFORM_LOG_PORT_H
#define CITRONGAP_PLATFORM_LOG_PORT_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/platform/port_error.h"

#include <string>
#include <vector>

namespace citrongap {

/// One record; `Body` is a JSON object.
struct LogRecord {
  LogOffset Offset;
  std::string Body;
};

struct LogPage {
  /// Older records are gone.
  LogOffset FirstRetained;
  /// The offset that the next append gets.
  LogOffset End;
  std::vector<LogRecord> Records;
};

class LogPort {
public:
  virtual ~LogPort() = default;

  /// Appends `bodies` together; gives the offset of the first. After
  /// `NoAnswer` they may be there, or appear later.
  virtual void append(const std::string &stream,
                      std::vector<std::string> bodies, MonoTime deadline,
                      PortCallback<LogOffset> callback) = 0;
  /// Reads from `from`; waits up to `wait` for a record when there is none.
  virtual void read(const std::string &stream, LogOffset from, Millis wait,
                    MonoTime deadline, PortCallback<LogPage> callback) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_LOG_PORT_H
