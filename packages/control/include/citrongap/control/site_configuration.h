// Configuration published by the operators: queues, services and client
// accounts.
#ifndef CITRONGAP_CONTROL_SITE_CONFIGURATION_H
#define CITRONGAP_CONTROL_SITE_CONFIGURATION_H

#include "citrongap/base/ids.h"
#include "citrongap/workload/work_spec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citrongap {

struct QueueRules {
  QueueId Id;
  /// Requests are matched by host and the longest matching path prefix.
  std::string Host;
  std::string PathPrefix;
  std::string Service;
  /// 0 is the most urgent and may preempt other work.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  LatencyObjective Objective;
  /// No API key is required.
  bool Public = false;
};

struct AccountRules {
  ClientAccountId Id;
  /// Accelerators guaranteed to the account for jobs of priority 0.
  std::int64_t GuaranteedGpus = 0;
};

struct SiteConfiguration {
  Revision InForce;
  std::vector<QueueRules> Queues;
  std::map<ClientAccountId, AccountRules> Accounts;
  std::map<std::string, ClientAccountId> AccountByKey;
  std::size_t MaxBodyBytes = 262144;
  /// Services of backend servers that no queue need use yet.
  std::set<std::string> Services;

  /// The queue for a request; null if none matches. A port in `host` is
  /// ignored.
  const QueueRules *queueFor(std::string_view host,
                             std::string_view path) const;
  const QueueRules *queue(const QueueId &id) const;
  /// All services that are named, also by queues.
  std::set<std::string> namedServices() const;
  /// Guaranteed accelerators by account.
  std::map<ClientAccountId, std::int64_t> guarantees() const;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_SITE_CONFIGURATION_H
