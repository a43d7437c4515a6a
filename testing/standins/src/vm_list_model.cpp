// The lagging list of VMs.
#include "citrongap/standins/vm_list_model.h"

#include "citrongap/standins/json_fields.h"

#include <utility>

namespace citrongap::standins {

using nlohmann::json;

namespace {

bool hasId(const json &vm, const std::string &id) {
  return vm.is_object() && vm.contains("id") && vm["id"] == id;
}

} // namespace

VmListModel::VmListModel(json initial, Millis lag) : Lag(lag) {
  Versions.push_back({MonoTime::min(), std::move(initial)});
}

void VmListModel::replace(json list, MonoTime now) {
  push(std::move(list), now);
}

void VmListModel::markLeaving(const std::string &id, MonoTime now) {
  json list = Versions.back().List;
  for (auto &it : list)
    if (hasId(it, id))
      it["state"] = "leaving";
  push(std::move(list), now);
}

void VmListModel::remove(const std::string &id, MonoTime now) {
  json list = json::array();
  for (const auto &it : Versions.back().List)
    if (!hasId(it, id))
      list.push_back(it);
  push(std::move(list), now);
}

json VmListModel::seenBy(const std::string &viewer, MonoTime now) {
  while (Versions.size() > 1 && Versions[1].SeenFrom <= now)
    Versions.pop_front();
  json list = Versions.front().List;
  for (auto &it : list) {
    const auto addresses = it.find("addresses");
    if (addresses == it.end() || !addresses->is_object())
      continue;
    const json own = objectField(*addresses, viewer.c_str());
    it.erase("addresses");
    it.update(own);
  }
  return list;
}

void VmListModel::push(json list, MonoTime now) {
  Versions.push_back({now + Lag, std::move(list)});
}

} // namespace citrongap::standins
