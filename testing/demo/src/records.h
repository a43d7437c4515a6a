// What the backend servers recorded, judged against what callers were told.
#ifndef CITRONGAP_DEMO_RECORDS_H
#define CITRONGAP_DEMO_RECORDS_H

#include "callers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citrongap::demo {

/// One attempt of a job, as the servers saw it.
struct Attempt {
  unsigned Parts = 1;
  /// Parts that ran, with the time of their start and end in milliseconds.
  std::map<unsigned, std::int64_t> Started;
  std::map<unsigned, std::int64_t> Ended;
  unsigned Done = 0;
};

/// By "account/key", then by attempt.
using Records = std::map<std::string, std::map<std::string, Attempt>>;

Records readRecords(const std::string &path);

struct Verdict {
  unsigned Lost = 0;
  unsigned Doubled = 0;
  unsigned PartialGangs = 0;
  /// "Not run" was told of a request that ran.
  unsigned Untruthful = 0;
  /// Another caller's answer, or part of one.
  unsigned Crossed = 0;
};

Verdict judge(const std::vector<Ask> &script,
              const std::map<std::string, Answered> &answers,
              const Records &records);

/// Milliseconds from asking to the first start; null when it never started.
std::optional<std::int64_t>
timeToStart(const Ask &ask, const Answered &answered, const Records &records);

} // namespace citrongap::demo

#endif // CITRONGAP_DEMO_RECORDS_H
