#include "deployment.h"

#include "citrongap/base/time.h"
#include "wire_json.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::uint16_t CallersPort = 8521;
constexpr std::uint16_t ReadinessPort = 8523;
constexpr std::uint16_t PeersPort = 8526;
constexpr std::uint16_t MetricsPort = 7015;
constexpr std::uint16_t StandinPort = 9000;
constexpr std::uint16_t ProxyPort = 9500;
constexpr const char *EntryProgram = "target/platform/citrongap_entry";

/// Addresses of this process alone, so that scripts can run side by side.
std::string ip(unsigned host) {
  const auto pid = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}", 1 + (pid >> 8U) % 254, pid & 255U, host);
}

std::uint16_t port(std::uint16_t base, unsigned n) {
  return static_cast<std::uint16_t>(base + n);
}

sockaddr_in addressOf(const Endpoint &at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(at.Port);
  out.sin_addr.s_addr = inet_addr(at.Ip.c_str());
  return out;
}

} // namespace

struct Proxy::Pipe {
  Proxy *Owner = nullptr;
  bufferevent *Near = nullptr;
  bufferevent *Far = nullptr;
  bool Silent = false;
  bool Closing = false;

  ~Pipe() {
    bufferevent_free(Near);
    bufferevent_free(Far);
  }
  void hold(bool held) const {
    for (bufferevent *it : {Near, Far})
      if (held)
        bufferevent_disable(it, EV_READ | EV_WRITE);
      else
        bufferevent_enable(it, EV_READ | EV_WRITE);
  }
};

Proxy::Proxy(EventLoop &loop, Endpoint listen, Endpoint target)
    : Loop(loop), Target(std::move(target)) {
  const sockaddr_in address = addressOf(listen);
  Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
        static_cast<Proxy *>(arg)->onAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
      reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

Proxy::~Proxy() {
  Pipes.clear();
  if (Listener)
    evconnlistener_free(Listener);
}

void Proxy::setCut(bool cut) {
  Cut = cut;
  for (const auto &[pipe, owned] : Pipes)
    if (!pipe->Silent)
      pipe->hold(cut);
}

void Proxy::silenceOpenConnections() {
  for (const auto &[pipe, owned] : Pipes) {
    pipe->Silent = true;
    pipe->hold(true);
  }
}

void Proxy::drop(Pipe *pipe) { Pipes.erase(pipe); }

void Proxy::onAccept(int fd) {
  auto owned = std::make_unique<Pipe>();
  Pipe *pipe = owned.get();
  pipe->Owner = this;
  pipe->Near = bufferevent_socket_new(Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  pipe->Far = bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Pipes.emplace(pipe, std::move(owned));
  const auto onRead = [](bufferevent *from, void *arg) {
    auto *self = static_cast<Pipe *>(arg);
    bufferevent *to = from == self->Near ? self->Far : self->Near;
    evbuffer_add_buffer(bufferevent_get_output(to),
                        bufferevent_get_input(from));
  };
  const auto onWritten = [](bufferevent *to, void *arg) {
    auto *self = static_cast<Pipe *>(arg);
    if (self->Closing && evbuffer_get_length(bufferevent_get_output(to)) == 0)
      self->Owner->drop(self);
  };
  const auto onEvent = [](bufferevent *from, short what, void *arg) {
    auto *self = static_cast<Pipe *>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    // What was sent before the end still arrives.
    bufferevent *to = from == self->Near ? self->Far : self->Near;
    self->Closing = true;
    if (evbuffer_get_length(bufferevent_get_output(to)) == 0)
      self->Owner->drop(self);
  };
  const sockaddr_in target = addressOf(Target);
  for (bufferevent *it : {pipe->Near, pipe->Far})
    bufferevent_setcb(it, onRead, onWritten, onEvent, pipe);
  bufferevent_socket_connect(
      pipe->Far, reinterpret_cast<const sockaddr *>(&target), sizeof target);
  pipe->hold(Cut);
}

Deployment::Deployment(Shape shape, std::string directory,
                       const std::string &record)
    : StartedAt(monoNow()), Directory(std::move(directory)),
      Record(std::fopen(record.c_str(), "w")), Store(Loop), Http(Loop, "") {
  std::signal(SIGPIPE, SIG_IGN);
  Store.LatestPageRecords = 500;
  const std::string storeIp = ip(1);
  const std::string workerIp = ip(2);
  for (unsigned n = 0; n < shape.Workers; ++n) {
    Worker &it = Workers.emplace_back();
    it.Id = fmt::format("i-{}", n);
    it.Rack = fmt::format("r1-{}", n / shape.WorkersPerRack);
    it.At = {workerIp, port(StandinPort, n)};
    it.Shown = {workerIp, port(ProxyPort, n)};
    it.Standin = std::make_unique<WorkerStandin>(
        Loop, it.Id, [this](const RunEvent &event) { onRun(event); });
    it.ToWorker = std::make_unique<Proxy>(Loop, it.Shown, it.At);
  }
  Vms.reserve(shape.Vms);
  for (unsigned n = 0; n < shape.Vms; ++n) {
    Vm &it = Vms.emplace_back();
    it.Name = fmt::format("front-{}", n);
    const std::string own = ip(10 + n);
    it.Callers = {own, CallersPort};
    it.Readiness = {own, ReadinessPort};
    it.Peers = {own, PeersPort};
    it.StoreAt = {storeIp, port(ProxyPort, n)};
    it.Settings = fmt::format("{}/{}.ini", Directory, it.Name);
    it.Log = fmt::format("{}/{}.log", Directory, it.Name);
    const Endpoint standin{storeIp, port(StandinPort, n)};
    it.Store = std::make_unique<wire::StoreStandin>(
        Loop, Store,
        std::set<TopicId>{TopicId("keyed.op"), TopicId("keyed.servers")});
    (void)it.Store->listen(standin);
    it.ToStore = std::make_unique<Proxy>(Loop, it.StoreAt, standin);
    // deploy/settings.ini.template as the platform fills it in.
    std::ofstream(it.Settings)
        << fmt::format("[entry_vm]\nid = {}\ndata_centre = zone-a\nip = {}\n"
                       "callers = {}\nreadiness = {}\npeers = {}\nseeds = {}\n"
                       "metrics_port = {}\nmemory_mb = 260\n"
                       "file_descriptors = 4100\ncpu_share = 0.25\n"
                       "link_mbps = 1000.0\n\n[store]\naddress = {}\n"
                       "shortest_membership_ms = 1000\n\n",
                       it.Name, own, it.Callers.str(), it.Readiness.str(),
                       it.Peers.str(), Endpoint{ip(10), PeersPort}.str(),
                       MetricsPort, it.StoreAt.str())
        << "[bounds]\nconfiguration_ms = 2000\nstore_disturbed_ms = 5000\n"
           "drain_ms = 2000\nstop_grace_s = 6\nlongest_lease_ms = 6000\n"
           "stop_ms = 900\ngang_ms = 3000\nreclaim_ms = 3400\n"
           "far_factor = 3\nreport_interval_ms = 1500\nkeep_ended_s = 120\n"
           "save_s = 1\nrestore_ms = 600\n";
  }
}

Deployment::~Deployment() {
  for (Vm &it : Vms)
    if (it.Pid > 0) {
      kill(it.Pid, SIGKILL);
      waitpid(it.Pid, nullptr, 0);
    }
  if (Record)
    std::fclose(Record);
}

bool Deployment::listen() {
  for (Worker &it : Workers)
    if (!it.Standin->listen(it.At) || !it.ToWorker->ok())
      return false;
  for (Vm &it : Vms)
    if (!it.ToStore->ok())
      return false;
  beat();
  Beat = Loop.every(Millis(1500), [this] { beat(); });
  return true;
}

wire::Json Deployment::entryOf(const Worker &worker) const {
  return {{"service", "render"},
          {"address", worker.Shown.str()},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", worker.DrainRemainingMs ? "draining" : "ready"},
          {"drain_remaining_ms", worker.DrainRemainingMs.value_or(0)},
          {"cold_remaining_ms", 0},
          {"capacity",
           {{"cpu", worker.Standin->Capacity.Cpu},
            {"requested_memory_mb", worker.Standin->Capacity.Memory},
            {"gpu", worker.Standin->Capacity.Gpu}}},
          {"labels", wire::Json::array({worker.Kind, worker.Rack})},
          {"machine", "m-" + worker.Id},
          {"born", worker.Standin->born()},
          {"sequence", Beats}};
}

void Deployment::beat() {
  ++Beats;
  for (const Worker &it : Workers)
    if (it.Standin->alive() && !it.Unlisted)
      Store.put(TopicId("keyed.servers"), {it.Id, entryOf(it).dump()});
}

void Deployment::putOddEntry(const Worker &worker, const std::string &key) {
  wire::Json entry = entryOf(worker);
  for (const char *it : {"version", "slots", "sequence"})
    entry.erase(it);
  note(fmt::format("another writer puts {}: {}", key, entry.dump()));
  Store.put(TopicId("keyed.servers"), {key, entry.dump()});
}

void Deployment::remove(Worker &worker) {
  worker.Unlisted = true;
  note(fmt::format("the entry of {} is removed", worker.Id));
  Store.put(TopicId("keyed.servers"), {worker.Id, std::nullopt});
}

void Deployment::start(Vm &vm) {
  note(fmt::format("start {}", vm.Name));
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        open(vm.Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    setenv("CITRONGAP_CONFIG", vm.Settings.c_str(), 1);
    execl(EntryProgram, EntryProgram, "--settings-variable", "CITRONGAP_CONFIG",
          nullptr);
    _exit(127);
  }
  vm.Pid = pid;
}

void Deployment::signal(Vm &vm, int number) {
  note(fmt::format("signal {} to {}", number, vm.Name));
  kill(vm.Pid, number);
  if (number == SIGKILL) {
    waitpid(vm.Pid, nullptr, 0);
    vm.Pid = -1;
  }
}

bool Deployment::hasEnded(Vm &vm) {
  if (vm.Pid > 0 && waitpid(vm.Pid, nullptr, WNOHANG) == vm.Pid) {
    vm.Pid = -1;
    return true;
  }
  return false;
}

std::uint64_t Deployment::publish(const std::set<std::string> &queues,
                                  const std::set<std::string> &keys) {
  wire::Json routes = wire::Json::array();
  for (const std::string &it : queues)
    routes.push_back({{"name", "q-" + it},
                      {"host", "jobs.example"},
                      {"path_prefix", "/" + it + "/"},
                      {"route_kind", "unsafe"},
                      {"timeout_ms", 3000},
                      {"target_duration_ms", 1000},
                      {"priority", it == "urgent" ? 0 : 1},
                      {"service", "render"},
                      {"max_attempts", 3},
                      {"stretch", 3.0},
                      {"public", false}});
  ++Version;
  Store.put(
      TopicId("keyed.op"),
      {"config",
       wire::Json{
           {"version", Version},
           {"routes", routes},
           {"services", wire::Json::array({{{"name", "render"},
                                            {"health_path", "/health"},
                                            {"max_connections", 64},
                                            {"protocol", "h1"},
                                            {"tls_enabled", false},
                                            {"admission_check", true},
                                            {"spare", false}}})},
           {"limits",
            {{"max_header_bytes", 16384},
             {"max_body_bytes", 262144},
             {"header_timeout_ms", 3000},
             {"idle_timeout_ms", 15000}}},
           {"tenants", wire::Json::array({{{"name", "quetta"},
                                           {"api_keys", keys},
                                           {"priority", 1},
                                           {"guaranteed", {{"gpu", 16}}}}})}}
           .dump()});
  std::string names;
  for (const std::string &it : queues)
    names += " queue " + it;
  for (const std::string &it : keys)
    names += " key " + it;
  note(fmt::format("manifest {} acknowledged:{}", Version, names));
  return Version;
}

void Deployment::runFor(Millis span) { Loop.runUntil(monoNow() + span); }

bool Deployment::runUntil(Millis limit, const std::function<bool()> &done) {
  const MonoTime end = monoNow() + limit;
  while (!done()) {
    if (monoNow() >= end)
      return false;
    runFor(Millis(5));
  }
  return true;
}

bool Deployment::settle(const std::vector<Vm *> &vms) {
  for (Vm *it : vms) {
    bool ready = false;
    const bool up = runUntil(Millis(8000), [&] {
      if (!ready)
        ready = ask(*it, "GET", "/work/", "key-1", "", Millis(500)) == 200;
      return ready;
    });
    if (!up)
      return false;
  }
  const std::string path = "/work/00000000000000aa";
  if (!runUntil(Millis(6000), [&] {
        return ask(*vms.front(), "POST", path, "key-1",
                   jobBody(1, working(100)), Millis(3000)) == 200;
      }))
    return false;
  return runUntil(Millis(8000), [&] {
    std::string answer;
    runFor(Millis(100));
    return ask(*vms.front(), "GET", path, "key-1", "", Millis(1000), &answer) ==
               200 &&
           answer.find("completed") != std::string::npos;
  });
}

void Deployment::call(Vm &vm, const std::string &method,
                      const std::string &path, const std::string &key,
                      const std::string &body, Millis limit,
                      const Answer &done) {
  HttpRequest request;
  request.Method = method;
  request.Target = path;
  request.Body = body;
  request.Headers = {{"Host", "jobs.example"},
                     {"Api-Key", key},
                     {"Deadline-Ms", std::to_string(limit.count())}};
  const std::string name =
      fmt::format("{} {} {} key {}", vm.Name, method, path, key);
  note(fmt::format("sent {} {}", name, body));
  Http.call(vm.Callers, std::move(request), monoNow() + limit,
            [this, name, done](const HttpResult &result) {
              const auto *answer = std::get_if<HttpResponse>(&result);
              const auto *error = std::get_if<HttpError>(&result);
              note(fmt::format(
                  "answer {}: {}", name,
                  answer ? fmt::format("{} {}", answer->Status, answer->Body)
                         : std::string(describe(*error))));
              done(answer ? answer->Status : 0, answer ? answer->Body : "");
            });
}

int Deployment::ask(Vm &vm, const std::string &method, const std::string &path,
                    const std::string &key, const std::string &body,
                    Millis limit, std::string *answer) {
  auto status = std::make_shared<int>(-1);
  auto text = std::make_shared<std::string>();
  call(vm, method, path, key, body, limit,
       [status, text](int code, const std::string &it) {
         *status = code;
         *text = it;
       });
  runUntil(limit + Millis(500), [&] { return *status >= 0; });
  if (answer)
    *answer = *text;
  return std::max(*status, 0);
}

std::int64_t Deployment::now() const { return (monoNow() - StartedAt).count(); }

void Deployment::note(const std::string &line) {
  std::fprintf(Record, "%8lld ms  %s\n", static_cast<long long>(now()),
               line.c_str());
  std::fflush(Record);
}

void Deployment::onRun(const RunEvent &event) {
  Runs.push_back(event);
  note(fmt::format("worker {} {} {} run {} {}", event.Worker, event.Kind,
                   event.Task, event.Run, event.How));
}

int Deployment::finish(bool broken, const std::string &verdict) {
  note(fmt::format("{}: {}", broken ? "BROKEN" : "HELD", verdict));
  std::printf("%s: %s\n", broken ? "BROKEN" : "HELD", verdict.c_str());
  return broken ? 1 : 0;
}

std::string jobBody(unsigned count, Program program, const std::string &inStep,
                    const std::string &inJob) {
  return fmt::format(R"({{"task_spec":"{}","steps":[{{"count":{},"cpu":{},)"
                     R"("requested_memory_mb":{},"gpu":{}{}}}]{}}})",
                     program.text(), count, program.Takes.Cpu,
                     program.Takes.Memory, program.Takes.Gpu, inStep, inJob);
}

Program working(std::int64_t workMs) {
  return {workMs, false, false, {1000, 1024, 1}};
}

bool troubled() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

} // namespace review
