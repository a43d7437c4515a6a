// Children by name.
#include "citrongap/testing/processes.h"

namespace citrongap::testing {

bool Processes::start(const std::string &name,
                      const std::vector<std::string> &command,
                      const std::string &logPath) {
  auto child = std::make_unique<Process>(command, logPath);
  if (!child->running())
    return false;
  Children[name] = std::move(child);
  return true;
}

bool Processes::signal(const std::string &name, int number) {
  if (!running(name))
    return false;
  Children.at(name)->signal(number);
  return true;
}

bool Processes::running(const std::string &name) {
  const auto it = Children.find(name);
  return it != Children.end() && it->second->running();
}

int Processes::wait(const std::string &name) {
  const auto it = Children.find(name);
  if (it == Children.end())
    return -1;
  it->second->wait();
  return it->second->exitCode().value_or(-1);
}

} // namespace citrongap::testing
