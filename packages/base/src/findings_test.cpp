// Unit tests that findings keep their order and location.
#include "citrongap/base/findings.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(findings_are_reported_together_with_their_location) {
  Findings findings;
  findings.add("a.ini [x] port", "is missing");
  findings.add("a.ini [y] id", "is set more than once");
  BOOST_TEST(
      findings.text() ==
      "a.ini [x] port: is missing\na.ini [y] id: is set more than once\n");
}
