// A child process of a test: started, signalled and reaped by its own pid.
#ifndef CITRONGAP_TESTING_PROCESS_H
#define CITRONGAP_TESTING_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace citrongap::testing {

class Process {
public:
  /// Starts `arguments` with its output appended to `logPath`. The child dies
  /// with the test.
  Process(std::vector<std::string> arguments, const std::string &logPath);
  /// Kills it and waits for its end.
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Does nothing once it has ended.
  void signal(int number);
  bool running();
  /// -1 when it could not be started.
  pid_t pid() const { return Pid; }
  /// Waits for its end.
  void wait();
  /// Its exit code; null while it runs or when a signal ended it.
  std::optional<int> exitCode() const { return Code; }
  /// The signal that ended it; null while it runs or when it exited.
  std::optional<int> endSignal() const { return Signal; }

private:
  void noteEnd(int status);

  /// -1 when it could not be started; reaped only when `Ended`.
  pid_t Pid = -1;
  bool Ended = false;
  std::optional<int> Code;
  std::optional<int> Signal;
};

} // namespace citrongap::testing

#endif // CITRONGAP_TESTING_PROCESS_H
