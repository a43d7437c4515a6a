// Questions about jobs that an entry VM without the jobs passes on to one that
// has loaded them. A question takes one hop: a peer that does not know the jobs
// says so instead of passing it on.
#ifndef CITRONGAP_CONTROL_QUERY_RELAY_H
#define CITRONGAP_CONTROL_QUERY_RELAY_H

#include "citrongap/base/random.h"
#include "citrongap/control/caller_answer.h"
#include "citrongap/store/store_relay.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citrongap {

/// A caller's question whose key and queue have been checked.
struct JobQuestion {
  CallerVerb Verb = CallerVerb::Query;
  QueueId Queue;
  ClientAccountId Account;
  /// Empty: the question is about the whole queue.
  WorkId Id;
  /// End of the caller's wait.
  MonoTime Deadline;
};

/// Encoding for the peer protocol. The deadline is sent as the remaining time;
/// `now` is the time of the decoding. Decoding gives nothing for malformed
/// bytes.
std::string encode(const JobQuestion &question, MonoTime now);
std::optional<JobQuestion> decodeJobQuestion(const std::string &bytes,
                                             MonoTime now);
/// An answer, or nothing if the peer does not know the jobs.
std::string encode(const std::optional<CallerAnswer> &answer);
/// The outer value is empty for malformed bytes.
std::optional<std::optional<CallerAnswer>>
decodePeerAnswer(const std::string &bytes);

/// Limits of a QueryRelay.
struct QueryRelayOptions {
  /// Limit for one peer's answer. A peer may wait 80 ms for the end of a job.
  Millis PeerTimeout{400};
  /// Upper bound of the peers that are asked one question.
  int MaxPeers = 3;
};

class QueryRelay {
public:
  using Reply = std::function<void(const std::optional<CallerAnswer> &)>;

  QueryRelay(PeerTransport transport, QueryRelayOptions options);

  /// Adds a peer that loads all jobs, or changes its address.
  void setHolder(const std::string &name, const Endpoint &at);
  /// Asks one peer after another until one knows. Gives nothing if none did
  /// before the deadline; a cancellation may have been made nevertheless.
  void ask(const JobQuestion &question, Reply done);

private:
  struct Inquiry {
    JobQuestion Question;
    std::vector<Endpoint> Remaining;
    Reply Done;
  };

  void askNext(const std::shared_ptr<Inquiry> &inquiry);

  PeerTransport Transport;
  QueryRelayOptions Options;
  std::map<std::string, Endpoint> Holders;
  /// The peer that answered last; it is asked first.
  std::optional<Endpoint> Preferred;
  Random Order{Random::fromDevice()};
  /// Guards callbacks of calls that outlive this object.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_QUERY_RELAY_H
