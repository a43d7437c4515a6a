// Writing to the log never blocks, and one event is one line.
#include "citrongap/base/event_log.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <climits>
#include <fcntl.h>
#include <unistd.h>

using namespace citrongap;

namespace {

struct Pipe {
  Pipe() {
    BOOST_REQUIRE(pipe(Ends.data()) == 0);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(Ends[0]);
    close(Ends[1]);
  }
  /// All that was written so far.
  std::string take() const {
    std::string out;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = read(Ends[0], buf.data(), buf.size())) > 0;)
      out.append(buf.data(), static_cast<std::size_t>(n));
    return out;
  }
  std::array<int, 2> Ends{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(event_log, Pipe)

// Larger than the whole pipe: a write of all of it would wait for a reader.
BOOST_AUTO_TEST_CASE(long_line_is_cut_and_does_not_block) {
  EventLog log("vm-1", Ends[1]);
  log("part", "event", "why={}", std::string(200000, 'x'));
  const std::string line = take();
  BOOST_TEST(line.size() <= static_cast<std::size_t>(PIPE_BUF));
  BOOST_TEST(line.substr(line.size() - 4) == "xxx\n");
}

BOOST_AUTO_TEST_CASE(full_pipe_drops_lines_and_does_not_block) {
  EventLog log("vm-1", Ends[1]);
  for (int n = 0; n < 100; ++n)
    log("part", "event", "why={}", std::string(3000, 'x'));
  BOOST_TEST(log.dropped() > 0U);
  BOOST_TEST(!take().empty());
}

BOOST_AUTO_TEST_CASE(control_characters_do_not_break_the_line) {
  EventLog log("vm-1", Ends[1]);
  log("part", "event", "server={}", std::string("a\nt=0 node=x\x01\x7f", 13));
  const std::string line = take();
  BOOST_TEST(line.find('\n') == line.size() - 1);
  BOOST_TEST(line.find('\x01') == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
