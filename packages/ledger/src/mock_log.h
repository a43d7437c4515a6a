// A log in memory for tests: outages, lost answers, late landings, retention.
#ifndef CITRONGAP_LEDGER_SRC_MOCK_LOG_H
#define CITRONGAP_LEDGER_SRC_MOCK_LOG_H

#include "citrongap/net/event_loop.h"
#include "citrongap/platform/log_port.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <utility>

namespace citrongap::testing {

class MockLog final : public LogPort {
public:
  explicit MockLog(EventLoop &loop) : Loop(loop) {}

  /// No call takes effect or is answered in time.
  bool Outage = false;
  /// Appends land, but neither they nor reads are answered in time.
  bool Hidden = false;
  /// The next appends take effect but their answers are lost.
  int LoseAnswers = 0;
  /// The next appends are unanswered and held until land().
  int HoldAppends = 0;
  /// Calls so far.
  int Appends = 0;
  int Reads = 0;
  std::vector<LogRecord> Records;
  LogOffset First;
  LogOffset End;

  void append(const std::string &, std::vector<std::string> bodies, MonoTime,
              PortCallback<LogOffset> callback) override {
    ++Appends;
    if (Outage)
      return answer(callback, NoAnswer{"outage"});
    if (HoldAppends > 0) {
      --HoldAppends;
      Held.push_back(std::move(bodies));
      return answer(callback, NoAnswer{"held"});
    }
    const LogOffset first = End;
    store(bodies);
    if (Hidden)
      return answer(callback, NoAnswer{"hidden"});
    if (LoseAnswers > 0) {
      --LoseAnswers;
      return answer(callback, NoAnswer{"lost"});
    }
    answer(callback, first);
  }

  void read(const std::string &, LogOffset from, Millis wait, MonoTime,
            PortCallback<LogPage> callback) override {
    ++Reads;
    if (Outage || Hidden)
      return answer(callback, NoAnswer{"outage"});
    Waiting.push_back({from, std::move(callback), {}});
    const auto it = std::prev(Waiting.end());
    const bool ready = from < End;
    it->Expiry = Loop.at(monoNow() + (ready ? Millis(0) : wait),
                         [this, it] { serve(it); });
  }

  void store(const std::vector<std::string> &bodies) {
    for (const auto &it : bodies) {
      Records.push_back({End, it});
      End = End.next();
    }
    for (auto it = Waiting.begin(); it != Waiting.end(); ++it)
      it->Expiry = Loop.at(monoNow(), [this, it] { serve(it); });
  }

  /// What was held lands now: the first `n` appends.
  void land(std::size_t n = SIZE_MAX) {
    for (; n > 0 && !Held.empty(); --n) {
      const auto bodies = Held.front();
      Held.pop_front();
      store(bodies);
    }
  }

  /// The first append that is held never lands.
  void loseHeld() {
    if (!Held.empty())
      Held.pop_front();
  }

  void dropBefore(LogOffset first) {
    First = first;
    std::erase_if(Records, [&](const auto &it) { return it.Offset < first; });
  }

private:
  struct Reading {
    LogOffset From;
    PortCallback<LogPage> Callback;
    Timer Expiry;
  };

  template <typename T, typename R>
  void answer(const PortCallback<T> &callback, R result) {
    Answers.push_back(Loop.at(
        monoNow(), [callback, result] { callback(PortResult<T>(result)); }));
  }

  void serve(std::list<Reading>::iterator it) {
    Reading reading = std::move(*it);
    Waiting.erase(it);
    if (Hidden)
      return reading.Callback(NoAnswer{"hidden"});
    LogPage page{First, End, {}};
    for (const auto &record : Records)
      if (record.Offset >= reading.From)
        page.Records.push_back(record);
    reading.Callback(page);
  }

  EventLoop &Loop;
  std::deque<std::vector<std::string>> Held;
  std::list<Reading> Waiting;
  std::vector<Timer> Answers;
};

/// Runs the loop until `done` or for at most five seconds.
template <typename Done> bool runUntil(EventLoop &loop, Done done) {
  const MonoTime end = monoNow() + Millis(5000);
  const Timer poll = loop.every(Millis(1), [&] {
    if (done())
      loop.stop();
  });
  loop.runUntil(end);
  return done();
}

} // namespace citrongap::testing

#endif // CITRONGAP_LEDGER_SRC_MOCK_LOG_H
