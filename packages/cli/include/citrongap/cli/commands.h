// The commands of `citrongap`. Each takes its own arguments and gives the exit
// code of the process.
#ifndef CITRONGAP_CLI_COMMANDS_H
#define CITRONGAP_CLI_COMMANDS_H

#include <string>
#include <vector>

namespace citrongap::cli {

/// Exit codes of `citrongap`.
enum ExitCode : int {
  ExitOk = 0,
  /// The job failed, did not run or was refused; a change was refused.
  ExitRefused = 1,
  ExitUsage = 2,
  /// Findings in a file or in a request.
  ExitFindings = 3,
  /// No entry VM answered.
  ExitNoAnswer = 4,
  /// The outcome is unknown; ask again with the same key.
  ExitUnknown = 5
};

/// Arguments after the command's name.
using Arguments = std::vector<std::string>;

int runCheck(const Arguments &arguments);
int runPublish(const Arguments &arguments);
int runSubmit(const Arguments &arguments);
int runWait(const Arguments &arguments);
int runCancel(const Arguments &arguments);
int runStatus(const Arguments &arguments);
int runHistogram(const Arguments &arguments);

} // namespace citrongap::cli

#endif // CITRONGAP_CLI_COMMANDS_H
