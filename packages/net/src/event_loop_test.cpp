// Timers fire at their deadline and not after being destroyed.
#include "citrongap/net/event_loop.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(a_timer_fires_at_its_deadline) {
  EventLoop loop;
  const MonoTime deadline = monoNow() + Millis(20);
  MonoTime fired;
  const Timer timer = loop.at(deadline, [&] {
    fired = monoNow();
    loop.stop();
  });
  loop.run();
  BOOST_CHECK(fired >= deadline);
}

BOOST_AUTO_TEST_CASE(a_destroyed_timer_stays_silent) {
  EventLoop loop;
  int calls = 0;
  {
    const Timer timer = loop.at(monoNow() + Millis(5), [&] { ++calls; });
  }
  loop.runUntil(monoNow() + Millis(30));
  BOOST_TEST(calls == 0);
}

BOOST_AUTO_TEST_CASE(a_callback_may_destroy_its_own_timer) {
  EventLoop loop;
  int calls = 0;
  Timer timer;
  timer = loop.every(Millis(1), [&] {
    ++calls;
    timer.cancel();
    loop.stop();
  });
  loop.run();
  BOOST_TEST(calls == 1);
}
