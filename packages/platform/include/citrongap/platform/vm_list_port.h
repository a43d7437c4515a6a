// The platform's lagging list of live and leaving VMs.
#ifndef CITRONGAP_PLATFORM_VM_LIST_PORT_H
#define CITRONGAP_PLATFORM_VM_LIST_PORT_H

#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/base/units.h"
#include "citrongap/net/endpoint.h"
#include "citrongap/platform/port_error.h"

#include <vector>

namespace citrongap {

struct EntryVm {
  EntryVmId Id;
  DataCentreId DataCentre;
  /// TCP and UDP between entry VMs.
  Endpoint Address;
  bool Leaving = false;
};

struct BackendServer {
  BackendServerId Id;
  DataCentreId DataCentre;
  RackId Rack;
  Endpoint Address;
  Accelerators Total;
  bool Leaving = false;
};

struct VmList {
  std::vector<EntryVm> EntryVms;
  std::vector<BackendServer> BackendServers;
};

class VmListPort {
public:
  virtual ~VmListPort() = default;
  virtual void fetch(MonoTime deadline, PortCallback<VmList> callback) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_VM_LIST_PORT_H
