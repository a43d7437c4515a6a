// Child processes of a test by name.
#ifndef CITRONGAP_TESTING_PROCESSES_H
#define CITRONGAP_TESTING_PROCESSES_H

#include "citrongap/testing/process.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citrongap::testing {

/// Ends with SIGKILL whatever it started and still runs.
class Processes {
public:
  /// Starts `command`; its output goes to `logPath`. False when it can't be
  /// started.
  bool start(const std::string &name, const std::vector<std::string> &command,
             const std::string &logPath);
  /// False when no such process runs.
  bool signal(const std::string &name, int number);
  bool running(const std::string &name);
  /// Waits for the end; gives the exit code, or -1 after a signal.
  int wait(const std::string &name);

private:
  std::map<std::string, std::unique_ptr<Process>> Children;
};

} // namespace citrongap::testing

#endif // CITRONGAP_TESTING_PROCESSES_H
