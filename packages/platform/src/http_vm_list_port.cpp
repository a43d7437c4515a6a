// The VM list over HTTP.
#include "citrongap/platform/http_ports.h"
#include "json.h"

namespace citrongap {

namespace {

Endpoint readAddress(const nlohmann::json &json, bool &ok) {
  return {field<std::string>(json, "ip", ok),
          field<std::uint16_t>(json, "port", ok)};
}

void readVm(const nlohmann::json &json, VmList &out, bool &ok) {
  const auto role = field<std::string>(json, "role", ok);
  const auto id = field<std::string>(json, "id", ok);
  const DataCentreId dataCentre(field<std::string>(json, "data_centre", ok));
  const bool leaving = field<std::string>(json, "state", ok) == "leaving";
  const Endpoint address = readAddress(json, ok);
  if (role == "entry") {
    out.EntryVms.push_back({EntryVmId(id), dataCentre, address, leaving});
    return;
  }
  const RackId rack(field<std::string>(json, "rack", ok));
  const Accelerators total{field<std::uint32_t>(json, "accelerators", ok)};
  out.BackendServers.push_back(
      {BackendServerId(id), dataCentre, rack, address, total, leaving});
}

VmList readList(const nlohmann::json &json, bool &ok) {
  VmList out;
  const auto vms = json.find("vms");
  if (vms == json.end() || !vms->is_array()) {
    ok = false;
    return out;
  }
  for (const auto &it : *vms)
    if (it.is_object())
      readVm(it, out, ok);
  return out;
}

} // namespace

HttpVmListPort::HttpVmListPort(HttpClient &http, Endpoint platform,
                               DataCentreId viewer)
    : Http(http), Platform(std::move(platform)), Viewer(std::move(viewer)) {}

void HttpVmListPort::fetch(MonoTime deadline, PortCallback<VmList> callback) {
  Http.call(Platform, {"GET", "/vms?viewer=" + Viewer.str(), "", ""}, deadline,
            [callback = std::move(callback)](const HttpResult &result) {
              callback(readAnswer<VmList>(result, readList));
            });
}

} // namespace citrongap
