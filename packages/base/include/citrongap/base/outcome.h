// Outcome of a request. Every request ends with exactly one outcome.
#ifndef CITRONGAP_BASE_OUTCOME_H
#define CITRONGAP_BASE_OUTCOME_H

#include "citrongap/base/time.h"

#include <string>
#include <variant>

namespace citrongap {

/// The job completed. `Result` is its complete result.
struct Done {
  std::string Result;
  bool operator==(const Done &) const = default;
  template <typename Archive> void serialize(Archive &ar) { ar(Result); }
};

/// The job ran, at least in part, and failed.
struct Failed {
  std::string Reason;
  bool operator==(const Failed &) const = default;
  template <typename Archive> void serialize(Archive &ar) { ar(Reason); }
};

/// No part of the job ran, and none will run under this submission.
struct NotRun {
  std::string Reason;
  /// Milliseconds after which a retry may succeed; 0 if it never will.
  std::int64_t RetryAfterMs = 0;
  bool operator==(const NotRun &) const = default;
  template <typename Archive> void serialize(Archive &ar) {
    ar(Reason, RetryAfterMs);
  }
};

/// It is not known yet whether the job ran. The client may query the same key
/// again.
struct Unknown {
  std::string Reason;
  bool operator==(const Unknown &) const = default;
  template <typename Archive> void serialize(Archive &ar) { ar(Reason); }
};

using Outcome = std::variant<Done, Failed, NotRun, Unknown>;

/// Whether the same key may be submitted again: the job did not run, and a
/// retry may succeed.
inline bool isRetryable(const Outcome &outcome) {
  const auto *notRun = std::get_if<NotRun>(&outcome);
  return notRun && notRun->RetryAfterMs > 0;
}

/// Combines lambdas into one visitor.
template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace citrongap

#endif // CITRONGAP_BASE_OUTCOME_H
