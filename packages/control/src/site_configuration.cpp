// Lookups in the published configuration.
#include "citrongap/control/site_configuration.h"

namespace citrongap {

const QueueRules *SiteConfiguration::queueFor(std::string_view host,
                                              std::string_view path) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const QueueRules *best = nullptr;
  for (const QueueRules &it : Queues)
    if (it.Host == name && path.starts_with(it.PathPrefix) &&
        (!best || it.PathPrefix.size() > best->PathPrefix.size()))
      best = &it;
  return best;
}

const QueueRules *SiteConfiguration::queue(const QueueId &id) const {
  for (const QueueRules &it : Queues)
    if (it.Id == id)
      return &it;
  return nullptr;
}

std::set<std::string> SiteConfiguration::namedServices() const {
  std::set<std::string> names = Services;
  for (const QueueRules &it : Queues)
    names.insert(it.Service);
  return names;
}

std::map<ClientAccountId, std::int64_t> SiteConfiguration::guarantees() const {
  std::map<ClientAccountId, std::int64_t> out;
  for (const auto &[id, account] : Accounts)
    out[id] = account.GuaranteedGpus;
  return out;
}

} // namespace citrongap
