// fork and exec for tests.
#include "citrongap/testing/processes.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace citrongap::testing {

Processes::~Processes() {
  for (const auto &[name, pid] : Pids) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

bool Processes::start(const std::string &name,
                      const std::vector<std::string> &command,
                      const std::string &logPath) {
  std::vector<char *> argv;
  argv.reserve(command.size() + 1);
  for (const auto &it : command)
    argv.push_back(const_cast<char *>(it.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0)
    return false;
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0)
      dup2(fd, STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
  Pids[name] = pid;
  return true;
}

bool Processes::signal(const std::string &name, int number) {
  const auto it = Pids.find(name);
  return it != Pids.end() && kill(it->second, number) == 0;
}

bool Processes::running(const std::string &name) {
  const auto it = Pids.find(name);
  if (it == Pids.end())
    return false;
  if (waitpid(it->second, nullptr, WNOHANG) == 0)
    return true;
  Pids.erase(it);
  return false;
}

int Processes::wait(const std::string &name) {
  const auto it = Pids.find(name);
  if (it == Pids.end())
    return -1;
  int status = 0;
  waitpid(it->second, &status, 0);
  Pids.erase(it);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace citrongap::testing
