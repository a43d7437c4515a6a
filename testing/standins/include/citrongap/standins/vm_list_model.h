// The platform's list of VMs: the true list now, and what callers see of it
// some time later.
#ifndef CITRONGAP_STANDINS_VM_LIST_MODEL_H
#define CITRONGAP_STANDINS_VM_LIST_MODEL_H

#include "citrongap/base/time.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace citrongap::standins {

class VmListModel {
public:
  /// `initial` is seen at once; later changes after `lag`.
  VmListModel(nlohmann::json initial, Millis lag);

  /// Each changes the true list.
  void replace(nlohmann::json list, MonoTime now);
  void markLeaving(const std::string &id, MonoTime now);
  void remove(const std::string &id, MonoTime now);

  /// What `viewer` sees at `now`. A VM with "addresses":{VIEWER:{"ip","port"}}
  /// has that address for that viewer.
  nlohmann::json seenBy(const std::string &viewer, MonoTime now);

private:
  struct Version {
    MonoTime SeenFrom;
    nlohmann::json List;
  };

  void push(nlohmann::json list, MonoTime now);

  Millis Lag;
  /// Never empty; the last one is the true list. `SeenFrom` rises.
  std::deque<Version> Versions;
};

} // namespace citrongap::standins

#endif // CITRONGAP_STANDINS_VM_LIST_MODEL_H
