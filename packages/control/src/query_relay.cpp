// Chooses the peers that are asked, and encodes questions and answers with
// cereal.
#include "citrongap/control/query_relay.h"

#include "citrongap/base/bounded_input_archive.h"
#include "citrongap/base/outcome.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>
#include <utility>

namespace citrongap {

namespace {

/// Number of a peer's answer in its encoding: a known answer's place in
/// CallerAnswer, or this.
constexpr std::uint8_t NotKnown = 255;

template <typename Write> std::string toBytes(Write write) {
  std::ostringstream out(std::ios::binary);
  cereal::PortableBinaryOutputArchive ar(out);
  write(ar);
  return std::move(out).str();
}

/// False if the bytes end too early or claim a size beyond their end; cereal
/// reports that by an exception.
template <typename Read> bool fromBytes(const std::string &bytes, Read read) {
  try {
    BoundedInputArchive ar(bytes);
    read(ar);
  } catch (const std::exception &) {
    return false;
  }
  return true;
}

} // namespace

std::string encode(const JobQuestion &question, MonoTime now) {
  return toBytes([&](auto &ar) {
    const auto verb = static_cast<std::uint8_t>(question.Verb);
    const std::int64_t waitMs = (question.Deadline - now).count();
    ar(verb, question.Queue.str(), question.Account.str(), question.Id.str(),
       waitMs);
  });
}

std::optional<JobQuestion> decodeJobQuestion(const std::string &bytes,
                                             MonoTime now) {
  std::uint8_t verb = 0;
  std::string queue;
  std::string account;
  std::string id;
  std::int64_t waitMs = 0;
  if (!fromBytes(bytes,
                 [&](auto &ar) { ar(verb, queue, account, id, waitMs); }))
    return std::nullopt;
  constexpr std::int64_t LongestWaitMs = 60000;
  const bool isQuestion =
      verb == static_cast<std::uint8_t>(CallerVerb::Query) ||
      verb == static_cast<std::uint8_t>(CallerVerb::Cancel);
  if (!isQuestion || waitMs < 0 || waitMs > LongestWaitMs)
    return std::nullopt;
  return JobQuestion{static_cast<CallerVerb>(verb), QueueId(queue),
                     ClientAccountId(account), WorkId(id),
                     now + Millis(waitMs)};
}

std::string encode(const std::optional<CallerAnswer> &answer) {
  std::uint8_t kind =
      answer ? static_cast<std::uint8_t>(answer->index()) : NotKnown;
  std::string reason;
  std::int64_t value = 0;
  if (answer)
    std::visit(Overloaded{[&](const AnswerState &it) {
                            value = static_cast<std::int64_t>(it.Phase);
                          },
                          [&](const AnswerQueueLength &it) {
                            value = static_cast<std::int64_t>(it.QueuedJobs);
                          },
                          [&](const AnswerNotRun &it) {
                            reason = it.Reason;
                            value = it.RetryAfter.count();
                          },
                          [&](const AnswerUnknown &it) { reason = it.Reason; },
                          [&](const AnswerInvalid &) { kind = NotKnown; },
                          [](const auto &) {}},
               *answer);
  return toBytes([&](auto &ar) { ar(kind, reason, value); });
}

std::optional<std::optional<CallerAnswer>>
decodePeerAnswer(const std::string &bytes) {
  std::uint8_t kind = 0;
  std::string reason;
  std::int64_t value = 0;
  if (!fromBytes(bytes, [&](auto &ar) { ar(kind, reason, value); }))
    return std::nullopt;
  if (kind == NotKnown)
    return std::optional<CallerAnswer>();
  constexpr Millis LongestRetryAfter{60 * 60 * 1000};
  const auto notRun = CallerAnswer(AnswerNotRun{}).index();
  if (value < 0 || (kind == notRun && value > LongestRetryAfter.count()))
    return std::nullopt;
  const auto phase = static_cast<WorkPhase>(std::min<std::int64_t>(
      value, static_cast<std::int64_t>(WorkPhase::Cancelled)));
  const std::vector<CallerAnswer> known{
      AnswerCancelled{},
      AnswerState{phase},
      AnswerQueueLength{static_cast<std::size_t>(value)},
      AnswerJobNotFound{},
      AnswerNotRun{reason, Millis(value)},
      AnswerUnknown{reason}};
  for (const CallerAnswer &it : known)
    if (it.index() == kind)
      return std::optional<CallerAnswer>(it);
  return std::nullopt;
}

QueryRelay::QueryRelay(PeerTransport transport, QueryRelayOptions options)
    : Transport(std::move(transport)), Options(options) {}

void QueryRelay::setHolder(const std::string &name, const Endpoint &at) {
  Holders[name] = at;
}

void QueryRelay::ask(const JobQuestion &question, Reply done) {
  auto inquiry = std::make_shared<Inquiry>();
  inquiry->Question = question;
  inquiry->Done = std::move(done);
  for (const auto &[name, at] : Holders)
    inquiry->Remaining.push_back(at);
  std::shuffle(inquiry->Remaining.begin(), inquiry->Remaining.end(),
               Order.engine());
  if (Preferred) {
    std::erase(inquiry->Remaining, *Preferred);
    inquiry->Remaining.insert(inquiry->Remaining.begin(), *Preferred);
  }
  const auto most = static_cast<std::size_t>(Options.MaxPeers);
  if (inquiry->Remaining.size() > most)
    inquiry->Remaining.resize(most);
  askNext(inquiry);
}

void QueryRelay::askNext(const std::shared_ptr<Inquiry> &inquiry) {
  const MonoTime now = monoNow();
  if (inquiry->Remaining.empty() || now >= inquiry->Question.Deadline) {
    inquiry->Done(std::nullopt);
    return;
  }
  const Endpoint peer = inquiry->Remaining.front();
  inquiry->Remaining.erase(inquiry->Remaining.begin());
  const MonoTime deadline =
      std::min(inquiry->Question.Deadline, now + Options.PeerTimeout);
  Transport(peer, encode(inquiry->Question, now), deadline,
            [this, inquiry, peer, alive = std::weak_ptr<int>(Alive)](
                const std::optional<std::string> &bytes) {
              if (!alive.lock())
                return;
              const auto answer =
                  bytes ? decodePeerAnswer(*bytes) : std::nullopt;
              if (answer && *answer) {
                Preferred = peer;
                inquiry->Done(*answer);
                return;
              }
              if (Preferred == peer)
                Preferred.reset();
              askNext(inquiry);
            });
}

} // namespace citrongap
