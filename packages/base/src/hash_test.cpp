// Unit tests that rendezvous hashing moves only the keys of a removed node.
#include "citrongap/base/hash.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(rendezvous_moves_only_the_keys_of_a_removed_node) {
  const std::vector<std::string_view> all{"vm-1", "vm-2", "vm-3"};
  const std::vector<std::string_view> less{"vm-1", "vm-3"};
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "pod-" + std::to_string(i);
    const std::string_view before = all[rendezvousPick(key, all)];
    const std::string_view after = less[rendezvousPick(key, less)];
    if (before == "vm-2")
      ++moved;
    else
      BOOST_TEST(before == after);
  }
  BOOST_TEST(moved > 250);
  BOOST_TEST(moved < 420);
}

BOOST_AUTO_TEST_CASE(rendezvous_without_nodes_picks_none) {
  BOOST_TEST(rendezvousPick("pod", {}) == 0U);
}
