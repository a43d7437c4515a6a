// Claims that are always granted, for a site without unrepeatable work.
#ifndef CITRONGAP_DAEMON_SRC_OPEN_CLAIMS_H
#define CITRONGAP_DAEMON_SRC_OPEN_CLAIMS_H

#include "citrongap/daemon/claim_port.h"

namespace citrongap {

class OpenClaims final : public ClaimPort {
public:
  void claim(const PodId &, const JobRequest &,
             std::function<void(ClaimAnswer)> callback) override {
    callback(ClaimGranted{});
  }
  void accepted(const PodId &, const JobRequest &) override {}
  void ended(const PodId &, const JobRequest &, const Outcome &,
             std::function<void()> callback) override {
    callback();
  }
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_SRC_OPEN_CLAIMS_H
