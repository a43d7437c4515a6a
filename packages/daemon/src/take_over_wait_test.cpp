// When a pod is taken over, after a start and after the loss of an owner.
#include "citrongap/daemon/take_over_wait.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

constexpr MonoTime Start{Millis(1'000'000)};
/// The entry VM reads the list of VMs again after it.
constexpr Millis ListInterval{1000};
constexpr Millis ListAnswer{20};

} // namespace

// Entry VMs that started together were not on each other's first list, and both
// took the pod over right before they read the second one.
BOOST_AUTO_TEST_CASE(
    new_entry_vm_reads_a_second_list_before_it_takes_a_pod_over) {
  TakeOverWait wait;
  wait.start(Start);
  BOOST_TEST(!wait.over(Start + ListAnswer));
  BOOST_TEST(!wait.over(Start + ListInterval + 2 * ListAnswer));
  BOOST_TEST(wait.over(Start + 2 * ListInterval));
}

BOOST_AUTO_TEST_CASE(second_list_that_names_another_owner_ends_the_wait) {
  TakeOverWait wait;
  wait.start(Start);
  BOOST_TEST(!wait.over(Start + ListAnswer));
  wait.onOtherOwner();
  BOOST_TEST(!wait.over(Start + 3 * ListInterval));
  BOOST_TEST(wait.over(Start + 4 * ListInterval));
}

BOOST_AUTO_TEST_CASE(pod_that_never_had_another_owner_is_taken_at_once_later) {
  TakeOverWait wait;
  wait.start(Start);
  BOOST_TEST(wait.over(Start + 5 * ListInterval));
}
