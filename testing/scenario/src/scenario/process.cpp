// Children of the runner.
#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace citrongap::scenario {

namespace {

constexpr int ExitNotStarted = 127;
constexpr int LogMode = 0644;

[[noreturn]] void becomeProgram(std::vector<char *> &argv, const char *log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
  if (fd >= 0) {
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
  }
  execv(argv[0], argv.data());
  _exit(ExitNotStarted);
}

} // namespace

Process::Process(std::vector<std::string> arguments,
                 const std::string &logPath) {
  std::vector<char *> argv;
  argv.reserve(arguments.size() + 1);
  for (auto &it : arguments)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  Pid = fork();
  if (Pid == 0)
    becomeProgram(argv, logPath.c_str());
  Ended = Pid < 0;
}

Process::~Process() {
  signal(SIGKILL);
  if (!Ended)
    waitpid(Pid, nullptr, 0);
}

void Process::signal(int number) {
  if (running())
    kill(Pid, number);
}

bool Process::running() {
  if (Ended)
    return false;
  int status = 0;
  if (waitpid(Pid, &status, WNOHANG) != Pid)
    return true;
  Ended = true;
  if (WIFEXITED(status))
    Code = WEXITSTATUS(status);
  return false;
}

} // namespace citrongap::scenario
