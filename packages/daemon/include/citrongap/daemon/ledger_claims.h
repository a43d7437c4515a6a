// The claim port over the ledger in the platform's log.
#ifndef CITRONGAP_DAEMON_LEDGER_CLAIMS_H
#define CITRONGAP_DAEMON_LEDGER_CLAIMS_H

#include "citrongap/daemon/claim_port.h"
#include "citrongap/ledger/claim_writer.h"

#include <optional>

namespace citrongap {

class LedgerClaims final : public ClaimPort {
public:
  LedgerClaims(EventLoop &loop, LogPort &log, const EntryVmId &self);

  void start() { Writer.start(); }
  const ClaimWriter &writer() const { return Writer; }

  void takeOver(const PodId &pod) override;
  void letGo() override;
  void claim(const JobRequest &job, ClaimCircumstances circumstances,
             std::function<void(const ClaimAnswer &)> callback) override;
  void release(const JobRequest &job, const std::string &claim,
               std::function<void(bool)> callback) override;
  void accepted(const JobRequest &job,
                std::function<void(Recorded)> callback) override;
  void ended(const JobRequest &job, const std::optional<std::string> &claim,
             const Outcome &outcome,
             std::function<void(Recorded)> callback) override;
  std::optional<Outcome> outcomeOf(const JobId &job) const override;
  bool names(const JobRequest &job) const override;
  bool holds() const override { return Held.has_value(); }
  std::vector<JobRequest> owed() const override;

private:
  void write(JobEnded record, std::function<void(Recorded)> callback);
  void askForPod();
  /// True if the log no longer names this entry VM as the pod's holder. The pod
  /// is then taken over again: another entry VM may have taken it over and let
  /// go of it since. One that keeps it ends this ownership through membership.
  bool retakePodIfLost();
  void claimAnew(const JobRequest &job, ClaimCircumstances circumstances,
                 const std::function<void(const ClaimAnswer &)> &callback);
  void onLost(const JobRequest &job, const JobEntry &by, bool fenced,
              const std::function<void(const ClaimAnswer &)> &callback);

  EventLoop &Loop;
  ClaimWriter Writer;
  /// The pod that this entry VM wants to hold; empty when none.
  PodId Pod;
  /// Set once the log names this entry VM as the pod's holder.
  std::optional<PodHolding> Held;
  Timer Retry;
  /// Renewed with each take-over; late answers look here first.
  std::shared_ptr<int> Epoch = std::make_shared<int>(0);
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_LEDGER_CLAIMS_H
