// A child process of the runner: started, signalled and reaped by its own pid.
#ifndef CITRONGAP_SCENARIO_SRC_PROCESS_H
#define CITRONGAP_SCENARIO_SRC_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace citrongap::scenario {

class Process {
public:
  /// Starts `arguments` with standard error in `logPath`. The child dies with
  /// the runner.
  Process(std::vector<std::string> arguments, const std::string &logPath);
  /// Kills it and waits for its end.
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Does nothing once it has ended.
  void signal(int number);
  bool running();
  /// Its exit code; null while it runs or when a signal ended it.
  std::optional<int> exitCode() const { return Code; }

private:
  /// -1 when it could not be started; reaped only when `Ended`.
  pid_t Pid = -1;
  bool Ended = false;
  std::optional<int> Code;
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_PROCESS_H
