// Long polls of one stream.
#include "citrongap/ledger/log_reader.h"

#include <algorithm>
#include <utility>

namespace citrongap {

LogReader::LogReader(EventLoop &loop, LogPort &log, std::string stream,
                     std::function<LogOffset()> position, const Random &random,
                     LogReaderSettings settings)
    : Loop(loop), Port(log), Stream(std::move(stream)),
      Position(std::move(position)), Jitter(random), Settings(settings) {}

void LogReader::start() { readAt(monoNow()); }

void LogReader::hurry() {
  Hurried = true;
  if (!InFlight && Backoff == Millis(0) && Next.pending())
    readAt(monoNow());
}

void LogReader::readAt(MonoTime at) {
  Next = Loop.at(at, [this] { read(); });
}

void LogReader::read() {
  InFlight = true;
  Hurried = false;
  LastStart = monoNow();
  // Until the log is known to answer, nobody waits for its next record.
  const Millis wait = Reachable ? Settings.LongPoll : Millis(0);
  const MonoTime deadline = LastStart + wait + Settings.AnswerMargin;
  Port.read(Stream, Position(), wait, deadline,
            [this, alive = std::weak_ptr<int>(Alive)](
                const PortResult<LogPage> &result) {
              if (!alive.expired())
                onAnswer(result);
            });
}

void LogReader::onAnswer(const PortResult<LogPage> &result) {
  InFlight = false;
  const auto *page = std::get_if<LogPage>(&result);
  if (!page) {
    Backoff =
        std::clamp(Backoff * 2, Settings.FirstBackoff, Settings.LongestBackoff);
    const auto span = static_cast<std::uint64_t>(Backoff.count());
    readAt(monoNow() + Millis(Jitter.between(span / 2, span)));
    setReachable(false);
    return;
  }
  Backoff = Millis(0);
  const std::weak_ptr<int> alive = Alive;
  PageRead.emit(*page);
  if (alive.expired())
    return;
  const bool more = !page->Records.empty() && Position() < page->End;
  readAt(more || Hurried ? monoNow() : LastStart + Settings.Pace);
  setReachable(true);
}

void LogReader::setReachable(bool reachable) {
  if (std::exchange(Reachable, reachable) != reachable)
    ReachableChanged.emit(reachable);
}

} // namespace citrongap
