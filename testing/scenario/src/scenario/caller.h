// Callers of the system behind a balancer: they ask, retry with the same key
// on any entry VM, and record each call and each answer.
#ifndef CITRONGAP_SCENARIO_SRC_CALLER_H
#define CITRONGAP_SCENARIO_SRC_CALLER_H

#include "citrongap/base/random.h"
#include "citrongap/history/history.h"
#include "citrongap/net/http_client.h"
#include "citrongap/standins/history_file.h"
#include "site.h"

#include <list>
#include <map>
#include <memory>
#include <set>

namespace citrongap::scenario {

class Caller {
public:
  Caller(EventLoop &loop, const Site &site, standins::HistoryFile &history,
         Random &random);
  ~Caller();

  /// Asks for one job and goes on until it has an outcome that stays.
  void submit(const JobShape &shape);
  /// The balancer sends no new calls to `node`, or does again.
  void setOffered(const EntryVmId &node, bool offered);
  /// Jobs without an outcome that stays.
  std::size_t openJobs() const { return Open.size(); }

private:
  struct Job;

  void ask(Job &job);
  /// Submits, or asks for the outcome of a job that was taken.
  HttpRequest requestOf(const Job &job, history::CallKind kind) const;
  void cancel(Job &job);
  void onAnswer(const JobId &id, const std::string &ask,
                const HttpResult &result);
  void askAgain(Job &job, MonoTime at);
  void recordAsk(const Job &job, const std::string &ask, const Site::Node &node,
                 history::CallKind kind);
  void recordAnswer(const std::string &ask, const nlohmann::json &answer);
  HttpClient &nextClient();
  const Site::Node &anyNode();

  EventLoop &Loop;
  const Site &Where;
  standins::HistoryFile &History;
  Random &Draw;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  std::size_t NextClient = 0;
  /// Entry VMs that the balancer leaves out.
  std::set<EntryVmId> Withdrawn;
  std::uint64_t NextAsk = 1;
  std::uint64_t NextKey = 1;
  std::map<JobId, std::unique_ptr<Job>> Open;
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_CALLER_H
