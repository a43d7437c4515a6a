// One backend server as a pure state machine: its lease with a rising fencing
// token, and its tasks. Time is passed in; what takes effect is told as events.
#ifndef CITRONGAP_STANDINS_BACKEND_SERVER_MODEL_H
#define CITRONGAP_STANDINS_BACKEND_SERVER_MODEL_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/platform/backend_port.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap::standins {

/// What the part's own program does once released.
struct Program {
  Millis Run{100};
  bool Fail = false;
  std::string Result;
};

enum class BackendEventKind : std::uint8_t {
  LeaseGranted,
  LeaseLapsed,
  Prepared,
  Released,
  Ended,
  StopAsked,
  Refused
};

struct BackendEvent {
  BackendEventKind Kind;
  MonoTime At;
  FencingToken Token;
  EntryVmId Holder;
  /// Null for events of the lease alone.
  const TaskState *Task = nullptr;
  std::string Reason;
};

/// The call took no effect.
struct Refusal {
  int Status = 409;
  std::string Reason;
  FencingToken Token;
  EntryVmId Holder;
  Millis Remaining{0};
};

template <typename T> using ModelResult = std::variant<T, Refusal>;

const char *toString(TaskStatus status);

class BackendServerModel {
public:
  using EventSink = std::function<void(const BackendEvent &)>;

  BackendServerModel(std::uint32_t slots, EventSink sink);

  /// Applies everything that was due by `now`; each call below does so first.
  void advance(MonoTime now);
  /// When `advance` has something to do next.
  std::optional<MonoTime> nextDue() const;

  /// Terms count from `from`, here and below; from `now` when it is null.
  ModelResult<FencingToken> acquire(const EntryVmId &holder, Millis term,
                                    std::optional<FencingToken> previous,
                                    MonoTime now,
                                    std::optional<ServerTime> from = {});
  /// Renews; `changedSince` then tells what the answer holds.
  ModelResult<std::monostate> sync(const SyncRequest &request, MonoTime now);
  ModelResult<std::monostate> prepare(FencingToken token,
                                      const PrepareTask &task,
                                      const Program &program, MonoTime now);
  ModelResult<std::monostate> release(FencingToken token, const TaskId &task,
                                      MonoTime now,
                                      std::optional<ServerTime> from = {});
  ModelResult<TaskState> stop(FencingToken token, const TaskId &task,
                              MonoTime now);

  /// Null while `token` holds the lease at `now`.
  std::optional<Refusal> refuse(FencingToken token, MonoTime now) const;
  std::vector<std::pair<std::uint64_t, TaskState>>
  changedSince(std::uint64_t version) const;
  std::uint64_t version() const { return Version; }
  std::uint32_t busySlots() const;

  /// Every task that is released from now on fails soon after.
  void setFailAll(bool on) { FailAll = on; }
  /// The server dies: what runs lapses, what is prepared is dropped.
  void kill(MonoTime now);

private:
  struct Entry {
    TaskState State;
    Program Runs;
    Millis Term{0};
    /// Start-by while prepared, end of the task lease while running.
    MonoTime LeaseEnd;
    /// When the program ends; set once released.
    MonoTime ProgramEnd;
    MonoTime ReleasedAt;
    /// `Version` as of the last change.
    std::uint64_t ChangedAt = 0;
  };

  std::optional<Refusal> checkPrepare(const PrepareTask &task) const;
  Refusal refusal(int status, std::string reason, MonoTime now) const;
  Refusal refused(Refusal why, const TaskState *task, MonoTime now);
  void advanceEntry(Entry &entry, MonoTime now);
  void end(Entry &entry, TaskStatus status, std::string result, MonoTime at);
  void emit(BackendEventKind kind, const TaskState *task, MonoTime at,
            std::string reason = "");
  bool leased(MonoTime now) const { return now < LeaseEnd; }

  std::uint32_t Slots;
  EventSink Sink;
  /// The highest token ever granted; never decreases.
  FencingToken Token;
  EntryVmId Holder;
  MonoTime LeaseEnd = MonoTime::min();
  bool LapseTold = true;
  bool FailAll = false;
  /// Count of changes of tasks.
  std::uint64_t Version = 0;
  /// Ended tasks stay until acknowledged.
  std::map<TaskId, Entry> Tasks;
};

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_BACKEND_SERVER_MODEL_H
