// Leases and tasks of backend servers. Every call names its server.
#ifndef CITRONGAP_PLATFORM_BACKEND_PORT_H
#define CITRONGAP_PLATFORM_BACKEND_PORT_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/platform/port_error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citrongap {

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
  /// Counted by the server from its receipt; dropped unless released by then.
  Millis StartBy{0};
  Millis TaskTerm{0};
};

struct SyncRequest {
  FencingToken Token;
  /// Lease and task leases, counted by the server from its receipt.
  Millis LeaseTerm{0};
  Millis TaskTerm{0};
  /// Only tasks changed after it are told; 0 for all.
  std::uint64_t Since = 0;
  /// How long the server may hold the answer when nothing changed.
  Millis Wait{0};
  /// Ended tasks that the server may forget.
  std::vector<TaskId> Acknowledged;
};

struct SyncAnswer {
  std::uint64_t Version = 0;
  std::vector<TaskState> Tasks;
};

class BackendPort {
public:
  virtual ~BackendPort() = default;

  /// `previous` is the token handed over by the last holder.
  virtual void acquire(const Endpoint &server, const EntryVmId &holder,
                       Millis term, std::optional<FencingToken> previous,
                       MonoTime deadline,
                       PortCallback<FencingToken> callback) = 0;
  virtual void sync(const Endpoint &server, const SyncRequest &request,
                    MonoTime deadline, PortCallback<SyncAnswer> callback) = 0;
  virtual void prepare(const Endpoint &server, FencingToken token,
                       const PrepareTask &task, MonoTime deadline,
                       PortCallback<std::monostate> callback) = 0;
  virtual void release(const Endpoint &server, FencingToken token,
                       const TaskId &task, MonoTime deadline,
                       PortCallback<std::monostate> callback) = 0;
  virtual void stop(const Endpoint &server, FencingToken token,
                    const TaskId &task, bool checkpoint, MonoTime deadline,
                    PortCallback<TaskState> callback) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_BACKEND_PORT_H
