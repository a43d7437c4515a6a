// What became of a request. Every request ends in exactly one outcome.
#ifndef CITRONGAP_BASE_OUTCOME_H
#define CITRONGAP_BASE_OUTCOME_H

#include "citrongap/base/time.h"

#include <string>
#include <variant>

namespace citrongap {

/// It ran to its end. `Result` is the whole answer of the job.
struct Done {
  std::string Result;
  bool operator==(const Done &) const = default;
  template <typename Archive> void serialize(Archive &ar) { ar(Result); }
};

/// It ran, at least in part, and did not end well.
struct Failed {
  std::string Reason;
  bool operator==(const Failed &) const = default;
  template <typename Archive> void serialize(Archive &ar) { ar(Reason); }
};

/// No part of it ran, and none will under this submission.
struct NotRun {
  std::string Reason;
  /// Milliseconds until asking again makes sense; 0 when it never will.
  std::int64_t RetryAfterMs = 0;
  bool operator==(const NotRun &) const = default;
  template <typename Archive> void serialize(Archive &ar) {
    ar(Reason, RetryAfterMs);
  }
};

/// Whether it ran can't be told yet; the same key may be asked again.
struct Unknown {
  std::string Reason;
  bool operator==(const Unknown &) const = default;
  template <typename Archive> void serialize(Archive &ar) { ar(Reason); }
};

using Outcome = std::variant<Done, Failed, NotRun, Unknown>;

/// The same key may be submitted anew: it did not run, and it makes sense to
/// ask again.
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
