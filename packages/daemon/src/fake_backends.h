// Backend servers for tests: the stand-in's state machine behind the port,
// with answers that can be lost and servers that can be silent.
#ifndef CITRONGAP_DAEMON_SRC_FAKE_BACKENDS_H
#define CITRONGAP_DAEMON_SRC_FAKE_BACKENDS_H

#include "citrongap/net/event_loop.h"
#include "citrongap/platform/backend_port.h"
#include "citrongap/platform/vm_list_port.h"
#include "citrongap/standins/backend_server_model.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citrongap {

class FakeBackends final : public BackendPort {
public:
  FakeBackends(EventLoop &loop, unsigned servers);

  std::vector<BackendServer> list() const;
  /// Every call to the server is left without effect and answer.
  void setSilent(const BackendServerId &server, bool on);
  /// Every call to the server takes effect so late, and its answer is lost.
  void loseAnswers(const BackendServerId &server, Millis late = Millis(0));
  /// The server refuses its next `n` prepares.
  void refusePrepares(const BackendServerId &server, unsigned n);
  /// The next releases take effect and their answers are lost.
  void loseReleaseAnswers(unsigned n) { LostReleases = n; }
  /// Answers of syncs that tell of prepared tasks come late, after a release.
  void tellPreparedLate(bool on) { PreparedLate = on; }
  /// How long the parts of each job run.
  void setRun(Millis run) { Run = run; }

  /// Parts of `job` that were released, on all servers.
  unsigned releases(const JobId &job) const;
  unsigned prepares(const BackendServerId &server) const;
  /// The server that was last asked to run a part of `job`.
  BackendServerId serverOf(const JobId &job) const;
  /// Longest time that a part of a gang ran while another did not, by now.
  unsigned running(const JobId &job);

  void clock(const Endpoint &server, MonoTime deadline,
             PortCallback<ServerTime> callback) override;
  void acquire(const Endpoint &server, const EntryVmId &holder, Millis term,
               ServerTime from, std::optional<FencingToken> previous,
               MonoTime deadline, PortCallback<FencingToken> callback) override;
  void sync(const Endpoint &server, const SyncRequest &request,
            MonoTime deadline, PortCallback<SyncAnswer> callback) override;
  void prepare(const Endpoint &server, FencingToken token,
               const PrepareTask &task, MonoTime deadline,
               PortCallback<std::monostate> callback) override;
  void release(const Endpoint &server, FencingToken token, const TaskId &task,
               ServerTime from, MonoTime deadline,
               PortCallback<std::monostate> callback) override;
  void stop(const Endpoint &server, FencingToken token, const TaskId &task,
            bool checkpoint, MonoTime deadline,
            PortCallback<TaskState> callback) override;

private:
  struct Server {
    BackendServer About;
    std::unique_ptr<standins::BackendServerModel> Model;
    bool Silent = false;
    /// Set while answers are lost: how late calls take effect.
    std::optional<Millis> LostAfter;
    unsigned Prepares = 0;
    unsigned RefusedPrepares = 0;
  };

  Server &at(const Endpoint &address);
  void later(MonoTime when, std::function<void()> callback);
  template <typename T, typename Effect>
  void serve(const Endpoint &address, MonoTime deadline,
             PortCallback<T> callback, Effect effect);
  void answerSync(const Endpoint &address, const SyncRequest &request,
                  MonoTime holdUntil, PortCallback<SyncAnswer> callback);

  EventLoop &Loop;
  std::map<Endpoint, Server> Servers;
  std::map<JobId, unsigned> Released;
  std::map<JobId, BackendServerId> ReleasedOn;
  std::map<JobId, std::set<TaskId>> RunningTasks;
  unsigned LostReleases = 0;
  bool PreparedLate = false;
  Millis Run{200};
  std::uint64_t NextTimer = 0;
  std::map<std::uint64_t, Timer> Timers;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_SRC_FAKE_BACKENDS_H
