// fork and exec for tests.
#include "citrongap/testing/process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace citrongap::testing {

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
  wait();
}

void Process::signal(int number) {
  if (running())
    kill(Pid, number);
}

bool Process::running() {
  int status = 0;
  if (!Ended && waitpid(Pid, &status, WNOHANG) == Pid)
    noteEnd(status);
  return !Ended;
}

void Process::wait() {
  int status = 0;
  if (!Ended && waitpid(Pid, &status, 0) == Pid)
    noteEnd(status);
}

void Process::noteEnd(int status) {
  Ended = true;
  if (WIFEXITED(status))
    Code = WEXITSTATUS(status);
  else if (WIFSIGNALED(status))
    Signal = WTERMSIG(status);
}

} // namespace citrongap::testing
