// Unit tests that all faults of an INI text are reported in one pass, each with
// its location.
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

BOOST_AUTO_TEST_CASE(a_malformed_line_is_reported_with_its_number) {
  Findings findings;
  IniDocument::fromText("vm.ini", "[a]\nx = 1\nnonsense\n", findings);
  BOOST_TEST(findings.items().size() == 1U);
  BOOST_TEST(findings.items()[0].Location == "vm.ini line 3");
}

BOOST_AUTO_TEST_CASE(a_duplicate_key_is_a_finding) {
  Findings findings;
  IniDocument::fromText("vm.ini", "[a]\nx = 1\nx = 2\n", findings);
  BOOST_TEST(findings.text() == "vm.ini [a] x: is set more than once\n");
}

BOOST_AUTO_TEST_CASE(long_lines_and_nul_bytes_are_findings_not_truncated) {
  Findings findings;
  IniDocument::fromText("vm.ini", "[a]\nx = " + std::string(500, 'y') + "\n",
                        findings);
  IniDocument::fromText("nul.ini", std::string_view("[a]\nx\0 = 1\n", 11),
                        findings);
  BOOST_TEST(findings.items().size() == 2U);
  BOOST_TEST(findings.items()[0].Location == "vm.ini line 2");
}

BOOST_AUTO_TEST_CASE(invalid_utf8_is_a_finding_with_its_line) {
  for (const char *broken : {"\xff", "\x80", "\xc0\xaf", "\xe0\x80\x80",
                             "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf0\x9f"}) {
    Findings findings;
    IniDocument::fromText("vm.ini", std::string("[a]\nx = 1") + broken + "\n",
                          findings);
    BOOST_TEST(findings.text() == "vm.ini line 2: is not UTF-8\n");
  }
  Findings findings;
  auto doc = IniDocument::fromText(
      "vm.ini", "[a]\nx = \xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\n", findings);
  BOOST_TEST(doc.text("a", "x", findings) ==
             "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
  BOOST_TEST(findings.empty());
}

BOOST_AUTO_TEST_CASE(a_long_section_name_is_a_finding_not_truncated) {
  Findings findings;
  const std::string longest(49, 'y');
  const auto doc =
      IniDocument::fromText("vm.ini", "[" + longest + "]\nx = 1\n", findings);
  BOOST_TEST(findings.empty());
  BOOST_TEST(doc.has(longest, "x"));
  IniDocument::fromText("vm.ini", "\n [" + longest + "y]\nx = 1\n", findings);
  BOOST_TEST(findings.text() ==
             "vm.ini line 2: has a section name longer than 49 bytes\n");
}

BOOST_AUTO_TEST_CASE(list_of_many_addresses_is_read_whole) {
  std::string list;
  for (int n = 0; n < 150; ++n)
    list += (n ? ", 10.1.0." : "10.1.0.") + std::to_string(n) + ":8526";
  Findings findings;
  IniDocument doc = IniDocument::fromText(
      "vm.ini", "[entry_vm]\nseeds = " + list + "\nid = a\nbroken\n", findings);
  BOOST_TEST(doc.text("entry_vm", "seeds", findings) == list);
  BOOST_TEST(doc.text("entry_vm", "id", findings) == "a");
  // Line numbers refer to the file, not to the wrapped text.
  BOOST_REQUIRE(findings.items().size() == 1U);
  BOOST_TEST(findings.text().find("vm.ini line 4") != std::string::npos);
}
