// The platform's rule on idle jobs, over random mixes. IDLE_JOB_SEEDS plays
// more seeds, IDLE_JOB_FIRST starts at another one.
#include "idle_job_mix.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace citrongap;

namespace {

std::uint64_t fromEnvironment(const char *name, std::uint64_t otherwise) {
  const char *value = std::getenv(name);
  return value ? std::strtoull(value, nullptr, 10) : otherwise;
}

void checkMixes(const MixShape &shape) {
  const std::uint64_t first = fromEnvironment("IDLE_JOB_FIRST", 1);
  const std::uint64_t count = fromEnvironment("IDLE_JOB_SEEDS", 60);
  for (std::uint64_t seed = first; seed < first + count; ++seed)
    for (const std::string &it : IdleJobMix(seed, shape).play())
      BOOST_ERROR("seed " << seed << ": " << it);
}

} // namespace

// Guards against jobs of which nothing runs for 3 s beside free servers.
BOOST_AUTO_TEST_CASE(no_job_is_idle_beside_room_for_it) { checkMixes({}); }

// The same, with work that has its data in one rack.
BOOST_AUTO_TEST_CASE(no_job_is_idle_far_from_its_data_beside_room_for_it) {
  checkMixes({.DataRacks = 0.5});
}
