// Settings: all findings with their place, and terms that fit together.
#include "citrongap/daemon/settings.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

Checked<Settings> read(const std::string &text) {
  Findings findings;
  auto doc = IniDocument::fromText("vm.ini", text, findings);
  BOOST_REQUIRE(findings.empty());
  return readSettings(std::move(doc));
}

const std::string Good = "[entry_vm]\nid = e1\ndata_centre = dc\nip = "
                         "127.0.0.1\nhttp_port = 1\npeer_port = 2\n"
                         "[platform]\nip = 127.0.0.2\nport = 3\n";

} // namespace

BOOST_AUTO_TEST_CASE(settings_are_read_with_their_defaults) {
  const auto result = read(Good);
  BOOST_REQUIRE(std::holds_alternative<Settings>(result));
  BOOST_TEST(std::get<Settings>(result).Peer.str() == "127.0.0.1:2");
  BOOST_CHECK(std::get<Settings>(result).Terms.LeaseTerm == Millis(3000));
}

BOOST_AUTO_TEST_CASE(findings_of_the_settings_are_reported_together) {
  const auto result =
      read("[entry_vm]\nid = e1\nip = here\nhttp_port = 70000\npeer_port = "
           "2\ncolour = red\n"
           "[platform]\nip = 127.0.0.2\nport = 3\n[terms]\nlease_ms = 9000\n");
  BOOST_REQUIRE(std::holds_alternative<Findings>(result));
  BOOST_TEST(std::get<Findings>(result).text() ==
             "vm.ini [entry_vm] data_centre: is missing\n"
             "vm.ini [entry_vm] ip: is 'here', not an IP number\n"
             "vm.ini [entry_vm] http_port: is '70000', not a whole number from "
             "1 to 65535\n"
             "vm.ini [terms] task_ms: must be at least twice lease_ms, or no "
             "successor can adopt a gang\n"
             "vm.ini [entry_vm] colour: is not a known setting\n");
}
