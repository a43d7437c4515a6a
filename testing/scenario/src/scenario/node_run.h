// One entry VM of a running scenario.
#ifndef CITRONGAP_SCENARIO_SRC_NODE_RUN_H
#define CITRONGAP_SCENARIO_SRC_NODE_RUN_H

#include "runner.h"

namespace citrongap::scenario {

/// What the scenario did to the process last.
enum class NodeState : std::uint8_t { Live, Killed, Drained };

struct Runner::NodeRun {
  Site::Node About;
  std::unique_ptr<testing::Process> Child;
  NodeState Expected = NodeState::Live;
  /// A status call is in flight.
  bool Polling = false;
  bool Answered = false;
  bool OwnsWholePod = false;
  /// The revision that it told last.
  Revision InForce;
  /// When a fault last touched it; it need not converge then.
  MonoTime ImpairedAt = MonoTime::min();
};

} // namespace citrongap::scenario

#endif // CITRONGAP_SCENARIO_SRC_NODE_RUN_H
