// Reading, publishing and snapshots of the stream "configuration".
#include "citrongap/ledger/configuration_follower.h"

#include "citrongap/base/log.h"
#include "citrongap/base/outcome.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace citrongap {

namespace {

constexpr Log Logger("configuration");
const std::string Stream = "configuration";
constexpr Millis PublishRetry{500};

ConfigurationRefused refusal(const std::string &id, std::string message) {
  Findings findings;
  findings.add("change", std::move(message));
  return {id, findings};
}

} // namespace

ConfigurationFollower::ConfigurationFollower(
    EventLoop &loop, LogPort &log, const Random &random,
    ConfigurationFollowerSettings settings)
    : Loop(loop), Port(log), Numbers(random), Settings(settings),
      Reader(
          loop, log, Stream, [this] { return State.next(); },
          Random(Numbers.between(0, UINT64_MAX)), settings.Reading) {
  Reader.PageRead.connect([this](const LogPage &page) { onPage(page); });
  Reader.ReachableChanged.connect([](bool reachable) {
    Logger("the log is {}", reachable ? "reachable" : "not reachable");
  });
}

void ConfigurationFollower::start() {
  // How old a snapshot is can't be told at the start: some nodes assume less.
  const auto age = static_cast<std::uint64_t>(Settings.SnapshotAge.count());
  SnapshotExpiry = monoNow() + Millis(Numbers.between(age / 4, age));
  Reader.start();
}

void ConfigurationFollower::onPage(const LogPage &page) {
  const Revision before = State.revision();
  State.retainFrom(page.FirstRetained);
  for (const LogRecord &it : page.Records)
    State.apply(it);
  FirstRetained = page.FirstRetained;
  End = page.End;
  const std::weak_ptr<int> alive = Alive;
  announce(before);
  if (alive.expired())
    return;
  settleRead();
  if (!alive.expired())
    considerSnapshot();
}

void ConfigurationFollower::announce(Revision before) {
  if (State.revision() == before)
    return;
  Logger("revision {} is in force", State.revision().value());
  InForce.emit(State.configuration(), State.revision());
}

std::string ConfigurationFollower::exportState() const {
  return encodeSnapshot(State.snapshot());
}

bool ConfigurationFollower::importState(const std::string &state) {
  // A jump over the own change's record would leave its verdict unknown.
  if (!Publications.empty() && Reader.reachable() && !State.gapped())
    return false;
  const auto snapshot = decodeSnapshot(state);
  const Revision before = State.revision();
  if (!snapshot || !State.adopt(*snapshot))
    return false;
  announce(before);
  return true;
}

void ConfigurationFollower::publish(const ConfigurationChange &change,
                                    MonoTime deadline,
                                    PublishCallback callback) {
  const std::string id = change.Id;
  Publication publication{encodeChange(change),
                          change.Base,
                          deadline,
                          std::move(callback),
                          false,
                          {},
                          {}};
  if (publication.Body.size() > MaxRecordBytes) {
    publication.Callback(
        refusal(id, fmt::format("is larger than {} bytes; publish it in parts",
                                MaxRecordBytes)));
    return;
  }
  if (Publications.contains(id) || State.verdictOf(id)) {
    publication.Callback(refusal(id, "this id was used before"));
    return;
  }
  publication.Expiry = Loop.at(deadline, [this, id] { expire(id); });
  Publications.emplace(id, std::move(publication));
  send(id);
}

/// A change is sent only after its base was read: then a base that is not in
/// force where the record lands is stale for ever, and copies do no harm.
void ConfigurationFollower::send(const std::string &id) {
  const auto it = Publications.find(id);
  if (it == Publications.end())
    return;
  Publication &publication = it->second;
  if (publication.Base > State.revision()) {
    publication.Retry =
        Loop.at(monoNow() + PublishRetry, [this, id] { send(id); });
    Reader.hurry();
    return;
  }
  publication.Sent = true;
  const MonoTime deadline =
      std::min(publication.Deadline, monoNow() + Settings.AppendTime);
  Port.append(Stream, {publication.Body}, deadline,
              [this, id, alive = std::weak_ptr<int>(Alive)](
                  const PortResult<LogOffset> &result) {
                if (!alive.expired())
                  onAppended(id, result);
              });
}

void ConfigurationFollower::onAppended(const std::string &id,
                                       const PortResult<LogOffset> &result) {
  const auto it = Publications.find(id);
  if (it == Publications.end())
    return;
  Reader.hurry();
  if (std::holds_alternative<LogOffset>(result))
    return;
  const auto span = static_cast<std::uint64_t>(PublishRetry.count());
  it->second.Retry =
      Loop.at(monoNow() + Millis(Numbers.between(span, 2 * span)),
              [this, id] { send(id); });
}

void ConfigurationFollower::settleRead() {
  std::vector<std::pair<std::string, ChangeVerdict>> settled;
  for (const auto &[id, publication] : Publications)
    if (auto verdict = State.verdictOf(id))
      settled.emplace_back(id, std::move(*verdict));
  const std::weak_ptr<int> alive = Alive;
  for (const auto &[id, verdict] : settled) {
    std::visit([&, key = id](const auto &it) { settle(key, it); }, verdict);
    if (alive.expired())
      return;
  }
}

void ConfigurationFollower::settle(const std::string &id,
                                   const PublishResult &result) {
  auto node = Publications.extract(id);
  if (!node.empty())
    node.mapped().Callback(result);
}

void ConfigurationFollower::expire(const std::string &id) {
  const auto it = Publications.find(id);
  if (it == Publications.end())
    return;
  if (it->second.Sent)
    settle(id, Unconfirmed{"the log did not confirm it in time; read the "
                           "revision before publishing again",
                           true});
  else
    settle(id, Unconfirmed{fmt::format("its base revision is not known here, "
                                       "where revision {} is in force",
                                       State.revision().value()),
                           false});
}

bool ConfigurationFollower::snapshotDue() const {
  // Only a node whose state reaches the log's end can cover what goes.
  if (State.gapped() || State.next() < End || End == LogOffset())
    return false;
  const auto &newest = State.newestSnapshot();
  const bool none = !newest || newest->First < FirstRetained;
  if (none && FirstRetained > LogOffset())
    return true;
  const LogOffset from = none ? LogOffset() : newest->Next;
  return State.next().value() - from.value() >= Settings.SnapshotDistance ||
         monoNow() >= SnapshotExpiry;
}

void ConfigurationFollower::considerSnapshot() {
  const auto &newest = State.newestSnapshot();
  if (newest && newest->Next > SnapshotNext) {
    SnapshotNext = newest->Next;
    SnapshotExpiry = monoNow() + Settings.SnapshotAge;
  }
  if (!snapshotDue() || SnapshotTimer.pending())
    return;
  const auto span = static_cast<std::uint64_t>(Settings.SnapshotJitter.count());
  SnapshotTimer = Loop.at(monoNow() + Millis(Numbers.between(0, span)),
                          [this] { writeSnapshot(); });
}

void ConfigurationFollower::writeSnapshot() {
  if (!snapshotDue())
    return;
  const auto bodies = encodeParts(State.snapshot(), Numbers.uniqueId());
  Logger("appends a snapshot of revision {} in {} records",
         State.revision().value(), bodies.size());
  // The answer does not matter: a page without the snapshot makes it due.
  Port.append(Stream, bodies, monoNow() + Settings.AppendTime,
              [](const PortResult<LogOffset> &) {});
}

} // namespace citrongap
