// citrongap: the command line of operators and callers.
#include "citrongap/cli/commands.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <string_view>

using namespace citrongap::cli;

namespace {

struct Command {
  std::string_view Name;
  int (*Run)(const Arguments &);
  std::string_view About;
};

constexpr std::array<Command, 7> Commands{
    {{"check", runCheck, "report findings in settings or in the two lists"},
     {"publish", runPublish, "show what will change and publish it"},
     {"submit", runSubmit, "submit a job"},
     {"wait", runWait, "wait until a job has ended"},
     {"cancel", runCancel, "cancel a job"},
     {"status", runStatus, "members, pods, queues and servers"},
     {"histogram", runHistogram, "time to finish per account and class"}}};

void printHelp(std::FILE *to) {
  fmt::print(to, "citrongap: gangs of accelerators under guarantees\n\nUsage: "
                 "citrongap COMMAND [OPTION...]\n\n");
  for (const auto &it : Commands)
    fmt::print(to, "  {:<10} {}\n", it.Name, it.About);
  fmt::print(
      to,
      "\n`citrongap COMMAND --help` tells a command's options.\n"
      "Exit codes: 0 done, 1 refused, failed or not run, 2 wrong arguments,\n"
      "3 findings, 4 no entry VM answered, 5 unknown (ask again with the same "
      "key).\n");
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--version") {
    fmt::print("citrongap {}\n", CITRONGAP_VERSION);
    return ExitOk;
  }
  if (name == "--help" || name == "-h") {
    printHelp(stdout);
    return ExitOk;
  }
  for (const auto &it : Commands)
    if (it.Name == name)
      return it.Run(Arguments(argv + 2, argv + argc));
  printHelp(stderr);
  return ExitUsage;
}
