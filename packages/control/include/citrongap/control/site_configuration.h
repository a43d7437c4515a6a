// What the operators publish: queues, services and client accounts.
#ifndef CITRONGAP_CONTROL_SITE_CONFIGURATION_H
#define CITRONGAP_CONTROL_SITE_CONFIGURATION_H

#include "citrongap/base/ids.h"
#include "citrongap/workload/work_spec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citrongap {

struct QueueRules {
  QueueId Id;
  /// Callers choose a queue by host and the longest matching prefix.
  std::string Host;
  std::string PathPrefix;
  std::string Service;
  /// 0 is the most urgent, and may preempt others.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  LatencyObjective Objective;
  /// No key is asked for.
  bool Public = false;
};

struct AccountRules {
  ClientAccountId Id;
  /// Accelerators that are the account's own for jobs of priority 0.
  std::int64_t GuaranteedGpus = 0;
};

struct SiteConfiguration {
  Revision InForce;
  std::vector<QueueRules> Queues;
  std::map<ClientAccountId, AccountRules> Accounts;
  std::map<std::string, ClientAccountId> AccountByKey;
  std::size_t MaxBodyBytes = 262144;

  const QueueRules *queueFor(std::string_view host,
                             std::string_view path) const;
  const QueueRules *queue(const QueueId &id) const;
  std::map<ClientAccountId, std::int64_t> guarantees() const;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_SITE_CONFIGURATION_H
