// When an entry VM takes a pod over that membership names it the owner of.
#ifndef CITRONGAP_DAEMON_TAKE_OVER_WAIT_H
#define CITRONGAP_DAEMON_TAKE_OVER_WAIT_H

#include "citrongap/base/time.h"

#include <algorithm>
#include <optional>

namespace citrongap {

class TakeOverWait {
public:
  /// A planned hand-over is answered within it.
  static constexpr Millis HandOverPatience{1000};

  void start(MonoTime now) { KnowsPeersAt = now + PeerDiscovery; }

  /// Another entry VM owns the pod.
  void onOtherOwner() {
    Until.reset();
    HadOwner = true;
  }
  /// No entry VM owns it.
  void onNoOwner() { Until.reset(); }

  /// Asked while membership names this entry VM. A living last owner hands the
  /// pod over; a dead one never does.
  bool over(MonoTime now) {
    if (!Until) {
      const bool mayCome = HadOwner || now < KnowsPeersAt;
      Until = mayCome ? std::max(now + HandOverPatience, KnowsPeersAt) : now;
    }
    return now >= *Until;
  }

private:
  /// Right after the start it is not known yet who lives.
  static constexpr Millis PeerDiscovery{1500};

  MonoTime KnowsPeersAt;
  bool HadOwner = false;
  /// Until then a planned hand-over of the pod may still arrive.
  std::optional<MonoTime> Until;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_TAKE_OVER_WAIT_H
