// Leases and tasks of backend servers. Every call names its server.
#ifndef CITRONGAP_PLATFORM_BACKEND_PORT_H
#define CITRONGAP_PLATFORM_BACKEND_PORT_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/platform/port_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citrongap {

/// Tag of a backend server's own clock, which its answers tell.
struct BackendClock {};
/// Of one server; times of two servers can't be compared.
using ServerTime = std::chrono::time_point<BackendClock, Millis>;

enum class TaskStatus : std::uint8_t {
  Prepared,
  Running,
  Done,
  Failed,
  Stopped,
  Lapsed,
  Dropped
};

/// One task as its server tells it.
struct TaskState {
  TaskId Task;
  JobId Job;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::vector<std::uint32_t> Slots;
  /// What `PrepareTask::Request` was.
  std::string Request;
  TaskStatus Status = TaskStatus::Prepared;
  /// True once released.
  bool Ran = false;
  std::int64_t RanMs = 0;
  std::string Result;

  bool ended() const {
    return Status != TaskStatus::Prepared && Status != TaskStatus::Running;
  }
};

struct PrepareTask {
  TaskId Task;
  JobId Job;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::vector<std::uint32_t> Slots;
  /// Kept by the server and handed to a successor that asks what runs.
  std::string Request;
  /// Dropped by the server unless released by then.
  Millis StartBy{0};
  Millis TaskTerm{0};
  /// `StartBy` counts from it; from the receipt when null.
  std::optional<ServerTime> From;
};

struct SyncRequest {
  FencingToken Token;
  Millis LeaseTerm{0};
  Millis TaskTerm{0};
  /// Only tasks changed after it are told; 0 for all.
  std::uint64_t Since = 0;
  /// How long the server may hold the answer when nothing changed.
  Millis Wait{0};
  /// Ended tasks that the server may forget.
  std::vector<TaskId> Acknowledged;
  /// Both terms count from it, so that a late call gives no more time than was
  /// asked for; from the receipt when null.
  std::optional<ServerTime> From;
};

struct SyncAnswer {
  std::uint64_t Version = 0;
  std::vector<TaskState> Tasks;
  ServerTime Now;
};

class BackendPort {
public:
  virtual ~BackendPort() = default;

  virtual void clock(const Endpoint &server, MonoTime deadline,
                     PortCallback<ServerTime> callback) = 0;
  /// The lease lasts for `term` from `from`. `previous` is the token handed
  /// over by the last holder.
  virtual void acquire(const Endpoint &server, const EntryVmId &holder,
                       Millis term, ServerTime from,
                       std::optional<FencingToken> previous, MonoTime deadline,
                       PortCallback<FencingToken> callback) = 0;
  virtual void sync(const Endpoint &server, const SyncRequest &request,
                    MonoTime deadline, PortCallback<SyncAnswer> callback) = 0;
  virtual void prepare(const Endpoint &server, FencingToken token,
                       const PrepareTask &task, MonoTime deadline,
                       PortCallback<std::monostate> callback) = 0;
  /// The task's first lease counts from `from`.
  virtual void release(const Endpoint &server, FencingToken token,
                       const TaskId &task, ServerTime from, MonoTime deadline,
                       PortCallback<std::monostate> callback) = 0;
  virtual void stop(const Endpoint &server, FencingToken token,
                    const TaskId &task, bool checkpoint, MonoTime deadline,
                    PortCallback<TaskState> callback) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_BACKEND_PORT_H
