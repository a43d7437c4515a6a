// A small deployment on loopback for the scripts of this review: entry VMs are
// processes started with the command of the deploy file; the platform's store
// and the workers are stand-ins of this process, each behind a proxy.
#ifndef CITRONGAP_REVIEW_DEPLOYMENT_H
#define CITRONGAP_REVIEW_DEPLOYMENT_H

#include "store_standin.h"
#include "workers.h"

#include "citrongap/net/http_client.h"

#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace review {

using namespace citrongap;

/// Forwards TCP connections. A cut holds all bytes back and closes nothing;
/// bytes that are held back arrive when the cut ends.
class Proxy {
public:
  Proxy(EventLoop &loop, Endpoint listen, Endpoint target);
  ~Proxy();
  Proxy(const Proxy &) = delete;
  Proxy &operator=(const Proxy &) = delete;

  bool ok() const { return Listener != nullptr; }
  void setCut(bool cut);
  /// The open connections carry nothing any more and stay open; new ones work.
  void silenceOpenConnections();

private:
  struct Pipe;
  void onAccept(int fd);
  void drop(Pipe *pipe);

  EventLoop &Loop;
  Endpoint Target;
  bool Cut = false;
  evconnlistener *Listener = nullptr;
  std::map<Pipe *, std::unique_ptr<Pipe>> Pipes;
};

struct Vm {
  std::string Name;
  Endpoint Callers;
  Endpoint Readiness;
  Endpoint Peers;
  Endpoint StoreAt;
  std::string Settings;
  std::string Log;
  std::unique_ptr<wire::StoreStandin> Store;
  std::unique_ptr<Proxy> ToStore;
  pid_t Pid = -1;
};

struct Worker {
  std::string Id;
  std::string Rack;
  std::string Kind = "a";
  /// While it drains: the least time that is left.
  std::optional<std::int64_t> DrainRemainingMs;
  /// Its entry is gone.
  bool Unlisted = false;
  Endpoint At;
  Endpoint Shown;
  std::unique_ptr<WorkerStandin> Standin;
  std::unique_ptr<Proxy> ToWorker;
};

struct Shape {
  unsigned Vms = 3;
  unsigned Workers = 6;
  unsigned WorkersPerRack = 3;
};

class Deployment {
public:
  /// `directory` is temporary; `record` takes what was sent, answered and run.
  Deployment(Shape shape, std::string directory, const std::string &record);
  ~Deployment();

  EventLoop &loop() { return Loop; }
  MemoryStore &store() { return Store; }
  std::vector<Vm> &vms() { return Vms; }
  std::vector<Worker> &workers() { return Workers; }
  std::vector<RunEvent> &runs() { return Runs; }

  /// False when an address can't be bound.
  bool listen();
  /// All workers that live write their entries.
  void beat();
  void remove(Worker &worker);
  /// A copy of the worker's entry under another key, without the fields
  /// `version`, `slots` and `sequence`.
  void putOddEntry(const Worker &worker, const std::string &key);
  void start(Vm &vm);
  void signal(Vm &vm, int number);
  /// Whether the process has ended by itself.
  bool hasEnded(Vm &vm);
  /// Writes the manifest with these queues and keys; returns its version.
  std::uint64_t publish(const std::set<std::string> &queues,
                        const std::set<std::string> &keys);
  void runFor(Millis span);
  /// Runs until `done` or the time limit; false at the time limit.
  bool runUntil(Millis limit, const std::function<bool()> &done);
  /// Waits until each of the VMs is ready and a job has run to its end.
  bool settle(const std::vector<Vm *> &vms);

  /// Status of the answer, 0 without an answer in time.
  using Answer = std::function<void(int status, const std::string &body)>;
  void call(Vm &vm, const std::string &method, const std::string &path,
            const std::string &key, const std::string &body, Millis limit,
            const Answer &done);
  /// The same; waits for the answer.
  int ask(Vm &vm, const std::string &method, const std::string &path,
          const std::string &key, const std::string &body, Millis limit,
          std::string *answer = nullptr);

  /// Milliseconds since the start of the deployment.
  std::int64_t now() const;
  void note(const std::string &line);
  int finish(bool broken, const std::string &verdict);

private:
  wire::Json entryOf(const Worker &worker) const;
  void onRun(const RunEvent &event);

  EventLoop Loop;
  MonoTime StartedAt;
  std::string Directory;
  std::FILE *Record;
  MemoryStore Store;
  HttpClient Http;
  std::vector<Vm> Vms;
  std::vector<Worker> Workers;
  std::vector<RunEvent> Runs;
  std::uint64_t Version = 0;
  std::uint64_t Beats = 0;
  Timer Beat;
};

/// Body of a job of one step of `count` work items; `inStep` and `inJob` are
/// further members, each with a comma before it.
std::string jobBody(unsigned count, Program program,
                    const std::string &inStep = "",
                    const std::string &inJob = "");
/// An item on one accelerator that works for so long.
Program working(std::int64_t workMs);
bool troubled();

} // namespace review

#endif // CITRONGAP_REVIEW_DEPLOYMENT_H
