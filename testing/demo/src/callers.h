// The callers of the demo: a scripted dusk hour of four client accounts.
#ifndef CITRONGAP_DEMO_CALLERS_H
#define CITRONGAP_DEMO_CALLERS_H

#include "citrongap/base/random.h"
#include "citrongap/net/event_loop.h"
#include "citrongap/net/http_client.h"
#include "citrongap/testing/site.h"

#include <map>
#include <string>
#include <vector>

namespace citrongap::demo {

/// One request of the script.
struct Ask {
  MonoTime At;
  std::string Account;
  std::string Key;
  std::string Class;
  unsigned Gang = 1;
  bool Repeatable = true;
  unsigned RunMs = 100;
};

/// What its caller learned. `Outcome` is empty while none came.
struct Answered {
  MonoTime AskedAt;
  std::string Outcome;
  /// The answer was whole and named the caller's own request.
  bool OwnAndWhole = false;
};

/// The dusk hour, shortened to `length`, in order of time.
std::vector<Ask> duskHour(std::uint64_t seed, MonoTime begin, Millis length);

/// Sends the script over HTTP and asks again elsewhere when an entry VM gives
/// no answer, with the same key.
class Callers {
public:
  Callers(EventLoop &loop, const testing::Site &site, std::vector<Ask> script,
          std::uint64_t seed);

  /// Starts sending; `onDone` is called when every request has an outcome.
  void start(std::function<void()> onDone);
  const std::map<std::string, Answered> &answers() const { return Answers; }
  const std::vector<Ask> &script() const { return Script; }

private:
  void send(std::size_t index, unsigned attempt);
  void onAnswer(std::size_t index, unsigned attempt, const HttpResult &result);
  void settle(std::size_t index, const std::string &outcome, bool ownAndWhole);

  EventLoop &Loop;
  const testing::Site &Site;
  HttpClient Client;
  std::vector<Ask> Script;
  Random Numbers;
  /// Wall-clock deadline of every request, in milliseconds.
  std::int64_t DeadlineMs = 0;
  std::map<std::string, Answered> Answers;
  std::vector<Timer> Timers;
  std::size_t Open = 0;
  std::function<void()> OnDone;
};

} // namespace citrongap::demo

#endif // CITRONGAP_DEMO_CALLERS_H
