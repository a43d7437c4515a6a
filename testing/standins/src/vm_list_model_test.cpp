// Lag and per-viewer addresses of the list of VMs.
#include "citrongap/standins/vm_list_model.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using namespace citrongap::standins;
using nlohmann::json;

namespace {

const MonoTime Start = monoFromMillis(1000);

json vm(const std::string &id) {
  return {{"id", id}, {"ip", "127.0.0.1"}, {"port", 7000}, {"state", "live"}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_change_is_seen_only_after_the_lag) {
  VmListModel list(json::array({vm("a"), vm("b")}), Millis(200));
  list.markLeaving("a", Start);
  BOOST_TEST(list.seenBy("x", Start + Millis(199))[0]["state"] == "live");
  BOOST_TEST(list.seenBy("x", Start + Millis(200))[0]["state"] == "leaving");
  list.remove("a", Start + Millis(300));
  BOOST_TEST(list.seenBy("x", Start + Millis(499)).size() == 2U);
  BOOST_TEST(list.seenBy("x", Start + Millis(500)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_viewer_sees_its_own_address_of_a_vm) {
  json translated = vm("a");
  translated["addresses"] = {
      {"lahore-2", {{"ip", "127.0.9.9"}, {"port", 9000}}}};
  VmListModel list(json::array({translated}), Millis(0));
  const json near = list.seenBy("lahore-1", Start)[0];
  const json far = list.seenBy("lahore-2", Start)[0];
  BOOST_TEST(near["ip"] == "127.0.0.1");
  BOOST_TEST(far["ip"] == "127.0.9.9");
  BOOST_TEST(far["port"] == 9000);
  BOOST_TEST(!far.contains("addresses"));
}
