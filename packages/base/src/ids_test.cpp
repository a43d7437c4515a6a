// Unit tests that identifiers compare by value and kinds do not convert.
#include "citrongap/base/ids.h"

#include <boost/test/unit_test.hpp>
#include <type_traits>

using namespace citrongap;

static_assert(!std::is_convertible_v<PodId, RackId>);
static_assert(!std::is_convertible_v<FencingToken, LogOffset>);

BOOST_AUTO_TEST_CASE(a_job_is_identified_by_account_and_key) {
  const JobId one{ClientAccountId("mint"), RequestKey("k1")};
  const JobId other{ClientAccountId("guild"), RequestKey("k1")};
  BOOST_CHECK(one != other);
  BOOST_TEST(one.str() == "mint/k1");
}
