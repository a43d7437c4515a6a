// Judges a history: each rule is one promise of the product.
#ifndef CITRONGAP_HISTORY_CHECKER_H
#define CITRONGAP_HISTORY_CHECKER_H

#include "citrongap/history/history.h"

#include <string>
#include <vector>

namespace citrongap::history {

enum class Rule : std::uint8_t {
  AtMostOnce,
  TruthfulNotRun,
  TruthfulFailed,
  OwnAnswer,
  WholeAnswer,
  OneResultPerKey,
  WholeGang,
  NotTwiceAtOnce,
  MonotoneConfiguration,
  Convergence,
  LeavingServer,
  NoCutRequest,
  EveryRequestAnswered
};

const char *toString(Rule it);

struct Violation {
  Rule Broken;
  /// When it was seen.
  MonoTime At;
  std::string What;
};

/// What the rules allow.
struct Bounds {
  /// The longest time that only some parts of a gang run.
  Millis PartialGang{1000};
  /// The longest time that one part of a repeatable job runs twice.
  Millis DoubleRun{1000};
  /// From the list showing a leaving server to its last new task.
  Millis LeavingGrace{3000};
};

/// All violations, by rule and then by time.
std::vector<Violation> check(const History &history, const Bounds &bounds);

struct Counts {
  /// Jobs asked, by account and key.
  std::size_t Jobs = 0;
  std::size_t Calls = 0;
  /// Jobs by their last outcome.
  std::size_t Done = 0;
  std::size_t Failed = 0;
  std::size_t NotRun = 0;
  std::size_t Unknown = 0;
  std::size_t Unanswered = 0;
  /// Released tasks.
  std::size_t Runs = 0;
  /// From the first call of a job to its first start, for jobs that started.
  Millis StartMedian{0};
  Millis Start99{0};
};

Counts count(const History &history);

/// Rising: from the first call of a job to its first start, for the jobs of
/// `account` that started; of all accounts when it is empty.
std::vector<Millis> startTimes(const History &history,
                               const ClientAccountId &account);
/// 0 when there is none.
Millis quantile(const std::vector<Millis> &rising, std::size_t percent);

} // namespace citrongap::history

#endif // CITRONGAP_HISTORY_CHECKER_H
