// Finds backend servers for the tasks of one step, over cpu, memory and
// accelerators. Best fit by what is left of all three, as any of them may be
// what later work lacks; a gang stays in one rack when it can.
#ifndef CITRONGAP_WORKLOAD_VECTOR_PACKING_H
#define CITRONGAP_WORKLOAD_VECTOR_PACKING_H

#include "citrongap/workload/server_table.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace citrongap {

/// Who may use a server, and how far a request may go: each may also use what
/// is kept for those before it.
enum class Standing : std::uint8_t {
  Any,
  /// It has waited long.
  Patient,
  Urgent
};

/// One server as a round sees it; `Free` shrinks as the round places tasks.
struct PackingServer {
  BackendServerId Id;
  RackId Rack;
  const std::vector<std::string> *Labels = nullptr;
  const std::string *Service = nullptr;
  Resources Capacity;
  Resources Free;
  /// Tasks of the step at hand that are here already.
  std::uint32_t SameStep = 0;
  /// In quarantine: takes one task that is not part of a gang, as a probe.
  bool ProbeOnly = false;
  /// What ended here last failed; used last.
  bool Suspect = false;
  /// Something was done or got on here of late, and nothing failed since.
  bool Proven = false;
  Standing KeptFor = Standing::Any;
};

/// What is asked of a placement.
struct PackingRequest {
  std::string Service;
  Resources Each;
  std::uint32_t Count = 1;
  std::string RequiredLabel;
  /// At most so many tasks of the step on one server; 0 for any number.
  std::uint32_t MaxPerServer = 0;
  /// Only this rack; empty for any.
  RackId Rack;
  /// All tasks in the same rack.
  bool OneRack = false;
  Standing MayUse = Standing::Urgent;
  /// Only servers on which nothing failed of late.
  bool OnlySound = false;
  /// Only proven servers.
  bool OnlyProven = false;
  /// Servers on which the task failed before; used last.
  std::set<BackendServerId> Avoid;
};

/// Indices into the servers, one for each task; nothing when they don't fit.
std::optional<std::vector<std::size_t>>
packTasks(std::vector<PackingServer> &servers, const PackingRequest &request);

/// Whether empty servers could hold the request.
bool fitsWhenEmpty(const std::vector<PackingServer> &servers,
                   const PackingRequest &request);

/// Takes the resources of a placement out of `servers`.
void takeRoom(std::vector<PackingServer> &servers,
              const std::vector<std::size_t> &at, const Resources &each);

/// The step may run on this server at all, room aside.
bool admits(const PackingServer &server, const PackingRequest &request);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_VECTOR_PACKING_H
