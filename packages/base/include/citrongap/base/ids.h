// Strong types for identifiers, so that kinds cannot be confused.
#ifndef CITRONGAP_BASE_IDS_H
#define CITRONGAP_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace citrongap {

/// A textual identifier. `Tag` distinguishes kinds and is never defined.
template <typename Tag> class TextId {
public:
  TextId() = default;
  explicit TextId(std::string text) : Text(std::move(text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }
  auto operator<=>(const TextId &) const = default;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Text); }

private:
  std::string Text;
};

/// A numeric identifier or counter. `Tag` distinguishes kinds as in `TextId`.
template <typename Tag> class NumberId {
public:
  NumberId() = default;
  explicit constexpr NumberId(std::uint64_t n) : Number(n) {}

  constexpr std::uint64_t value() const { return Number; }
  constexpr NumberId next() const { return NumberId(Number + 1); }
  auto operator<=>(const NumberId &) const = default;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Number); }

private:
  std::uint64_t Number = 0;
};

/// A tenant. Jobs, quotas and metrics are kept per client account.
using ClientAccountId = TextId<struct ClientAccountTag>;
/// A plan: the entitlements that its accounts have.
using PlanId = TextId<struct PlanTag>;
using DataCentreId = TextId<struct DataCentreTag>;
using RackId = TextId<struct RackTag>;
/// One VM that runs `citrongapd`.
using EntryVmId = TextId<struct EntryVmTag>;
/// One worker that runs tasks under leases.
using BackendServerId = TextId<struct BackendServerTag>;
/// A group of racks whose jobs one entry VM schedules.
using PodId = TextId<struct PodTag>;
/// The client's idempotency key, unique within one client account.
using RequestKey = TextId<struct RequestKeyTag>;
/// One task on one backend server.
using TaskId = TextId<struct TaskTag>;

/// Fencing token of a lease. A backend server refuses tokens below the highest
/// that it has seen.
using FencingToken = NumberId<struct FencingTokenTag>;
/// Position of a record in a stream of the platform's log.
using LogOffset = NumberId<struct LogOffsetTag>;
/// Number of accepted configuration changes; never decreases.
using Revision = NumberId<struct RevisionTag>;

/// Identifies a job by its client account and idempotency key.
struct JobId {
  ClientAccountId Account;
  RequestKey Key;

  std::string str() const { return Account.str() + "/" + Key.str(); }
  auto operator<=>(const JobId &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Account, Key); }
};

} // namespace citrongap

template <typename Tag> struct std::hash<citrongap::TextId<Tag>> {
  std::size_t operator()(const citrongap::TextId<Tag> &id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};

template <> struct std::hash<citrongap::JobId> {
  std::size_t operator()(const citrongap::JobId &id) const noexcept {
    const std::size_t account =
        std::hash<citrongap::ClientAccountId>{}(id.Account);
    const std::size_t key = std::hash<citrongap::RequestKey>{}(id.Key);
    return account * 31 + key;
  }
};

#endif // CITRONGAP_BASE_IDS_H
