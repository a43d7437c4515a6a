// Callers of the site: each hands in a job, asks again until it knows whether
// it was taken, and then for its state. Connections are kept until they break.
#ifndef CITRONGAP_SOAK_CALLERS_H
#define CITRONGAP_SOAK_CALLERS_H

#include "judge.h"
#include "soak_site.h"

#include "citrongap/base/random.h"
#include "citrongap/net/http_client.h"

#include <map>

namespace citrongap::soak {

class Callers {
public:
  Callers(EventLoop &loop, SoakSite &site, Judge &judge, std::uint64_t seed);

  /// Hands in one more job.
  void submitOne();
  /// Hands in one more job of a mixed site: gangs whose tasks need most of a
  /// server's memory, small urgent gangs, and wide work of single tasks; some
  /// in one rack, with a label or a data rack, recurring, or with checkpoints.
  void submitMixed();
  /// Hands in a job of many short occurrences, all of which are due.
  void submitSeries();
  /// From now on, some submissions of unknown fate are cancelled.
  void cancelUndecided() { CancelsUndecided = true; }
  /// Asks the balancer's question of every entry VM.
  void probe();
  /// No new submissions are tried again.
  void stopTrying() { Trying = false; }
  /// Jobs whose callers still wait for an answer or an end.
  std::size_t open() const;
  std::size_t accepted() const { return Accepted; }
  std::size_t refused() const { return Refused; }
  /// Asks each entry VM for the queue "extra" and finds those that differ.
  void checkConfiguration(bool withExtra);

private:
  struct Call {
    std::string Vm;
    MonoTime SentAt;
  };

  SoakVm &choose();
  HttpRequest request(const char *method, const WorkId &id) const;
  HttpRequest request(const char *method, const std::string &path,
                      const std::string &account = "quetta") const;
  StepSpec drawMixedStep(std::uint32_t priority);
  bool dice(unsigned percent) { return Numbers.between(1, 100) <= percent; }
  void submit(const WorkId &id, int tries);
  void onSubmitted(const WorkId &id, int tries, const Call &call,
                   const HttpResult &result);
  void ask(const WorkId &id);
  void cancel(const WorkId &id);
  void sendCancel(const WorkId &id);
  /// A planned stop must not cut a request.
  void checkCut(const Call &call, const HttpResult &result);
  void later(Millis wait, std::function<void()> what);

  EventLoop &Loop;
  SoakSite &Site;
  Judge &Judging;
  Random Numbers;
  HttpClient Http;
  std::vector<Timer> Timers;
  bool Trying = true;
  bool CancelsUndecided = false;
  std::size_t Accepted = 0;
  std::size_t Refused = 0;
  std::size_t Undecided = 0;
};

} // namespace citrongap::soak

#endif // CITRONGAP_SOAK_CALLERS_H
