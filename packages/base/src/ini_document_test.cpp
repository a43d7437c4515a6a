// Every fault of an INI text is found in one pass, with its place.
#include "citrongap/base/ini_document.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(all_findings_of_a_file_are_reported_together) {
  Findings findings;
  auto doc = IniDocument::fromText(
      "vm.ini", "[entry-vm]\nport = many\ncolour = red\n", findings);
  doc.text("entry-vm", "id", findings);
  doc.number("entry-vm", "port", 1, 65535, std::nullopt, findings);
  doc.reportUnknown(findings);
  BOOST_TEST(
      findings.text() ==
      "vm.ini [entry-vm] id: is missing\n"
      "vm.ini [entry-vm] port: is 'many', not a whole number from 1 to 65535\n"
      "vm.ini [entry-vm] colour: is not a known setting\n");
}

BOOST_AUTO_TEST_CASE(a_line_that_is_no_setting_is_named) {
  Findings findings;
  IniDocument::fromText("vm.ini", "[a]\nx = 1\nnonsense\n", findings);
  BOOST_TEST(findings.items().size() == 1U);
  BOOST_TEST(findings.items()[0].Place == "vm.ini line 3");
}

BOOST_AUTO_TEST_CASE(a_key_that_stands_twice_is_a_finding) {
  Findings findings;
  IniDocument::fromText("vm.ini", "[a]\nx = 1\nx = 2\n", findings);
  BOOST_TEST(findings.text() == "vm.ini [a] x: stands twice\n");
}

BOOST_AUTO_TEST_CASE(long_lines_and_nul_bytes_are_findings_not_silently_cut) {
  Findings findings;
  IniDocument::fromText("vm.ini", "[a]\nx = " + std::string(500, 'y') + "\n",
                        findings);
  IniDocument::fromText("nul.ini", std::string_view("[a]\nx\0 = 1\n", 11),
                        findings);
  BOOST_TEST(findings.items().size() == 2U);
  BOOST_TEST(findings.items()[0].Place == "vm.ini line 2");
}
