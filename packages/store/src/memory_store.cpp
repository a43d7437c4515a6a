// Log, latest values, producers and group members of the in-memory store.
#include "citrongap/store/memory_store.h"

#include <algorithm>
#include <utility>

namespace citrongap {

void MemoryStore::post(std::function<void()> callback) {
  std::erase_if(Posted, [](const Timer &it) { return !it.pending(); });
  Posted.push_back(Loop.at(monoNow(), std::move(callback)));
}

void MemoryStore::compact(const TopicId &topic) {
  Topic &it = Topics[topic];
  it.FirstRetained += it.Records.size();
  it.Records.clear();
}

void MemoryStore::put(const TopicId &topic, KeyedRecord record) {
  Topic &it = Topics[topic];
  if (record.Value)
    it.LatestByKey[record.Key] = {
        record, LogOffset(it.FirstRetained + it.Records.size())};
  else
    it.LatestByKey.erase(record.Key);
  it.Records.push_back(std::move(record));
  answerPendingReads(topic);
}

std::size_t MemoryStore::size(const TopicId &topic) const {
  return records(topic).size();
}

const std::vector<KeyedRecord> &
MemoryStore::records(const TopicId &topic) const {
  static const std::vector<KeyedRecord> None;
  const auto it = Topics.find(topic);
  return it == Topics.end() ? None : it->second.Records;
}

StoreResult<AppendAcknowledged>
MemoryStore::append(const TopicId &topic, const AppendStamp &stamp,
                    const std::vector<KeyedRecord> &records) {
  ++AppendCalls;
  Topic &it = Topics[topic];
  Producer &producer = it.Producers[stamp.Producer];
  const auto end = [&it] {
    return LogOffset(it.FirstRetained + it.Records.size());
  };
  if (producer.Registered && stamp.At < producer.CurrentEpoch)
    return StoreError(StoreFenced{});
  if (!producer.Registered || stamp.At > producer.CurrentEpoch) {
    producer = {stamp.At, stamp.Sequence, end(), true};
  } else if (!records.empty() && stamp.Sequence + 1 == producer.NextSequence) {
    return AppendAcknowledged{producer.LastEnd};
  } else if (!records.empty() && stamp.Sequence != producer.NextSequence) {
    return StoreError(StoreOutOfSequence{producer.NextSequence});
  }
  std::size_t bytes = 0;
  for (const KeyedRecord &record : records) {
    bytes += storedBytes(record);
    if (storedBytes(record) > StoreLimits::RecordBytes || bytes > MaxCallBytes)
      return StoreError(StoreRefused{400, "too large"});
  }
  for (const KeyedRecord &record : records)
    put(topic, record);
  if (!records.empty())
    ++producer.NextSequence;
  producer.LastEnd = end();
  return AppendAcknowledged{producer.LastEnd};
}

TopicPage MemoryStore::makePage(const TopicId &topic, LogOffset from) {
  Topic &it = Topics[topic];
  TopicPage out;
  out.FirstRetained = LogOffset(it.FirstRetained);
  out.End = LogOffset(it.FirstRetained + it.Records.size());
  for (std::uint64_t at = from.value(); at < out.End.value(); ++at)
    out.Records.push_back(it.Records[at - it.FirstRetained]);
  out.Next = out.End;
  return out;
}

void MemoryStore::answerPendingReads(const TopicId &topic) {
  for (auto it = PendingReads.begin(); it != PendingReads.end();) {
    if (it->Source != topic) {
      ++it;
      continue;
    }
    post([this, topic, at = it->From, done = it->Done] {
      if (at.value() < Topics[topic].FirstRetained)
        done(
            StoreError(StoreTruncated{LogOffset(Topics[topic].FirstRetained)}));
      else
        done(makePage(topic, at));
    });
    it = PendingReads.erase(it);
  }
}

GroupMembership MemoryStore::join(const std::string &member,
                                  Millis sessionTimeout) {
  expireMembers();
  auto it = std::find_if(Members.begin(), Members.end(),
                         [&](const Member &n) { return n.Name == member; });
  if (it == Members.end()) {
    Members.push_back({member, {}});
    Generation = Generation.next();
    if (DealsAnew)
      std::rotate(Members.begin(), Members.begin() + 1, Members.end());
    it = std::find_if(Members.begin(), Members.end(),
                      [&](const Member &n) { return n.Name == member; });
  }
  it->ExpiresAt = monoNow() + sessionTimeout;
  return {Generation, Members.front().Name == member};
}

void MemoryStore::expireMembers() {
  const MonoTime now = monoNow();
  if (std::erase_if(Members,
                    [&](const Member &it) { return it.ExpiresAt <= now; }) > 0)
    Generation = Generation.next();
}

void MemoryStore::lapse(const std::string &member) {
  std::erase_if(Members, [&](const Member &it) { return it.Name == member; });
  Generation = Generation.next();
}

void MemoryStore::rebalance() {
  if (Members.size() > 1)
    std::rotate(Members.begin(), Members.begin() + 1, Members.end());
  Generation = Generation.next();
}

template <typename T>
void MemoryStoreView::answer(StoreCallback<T> done, StoreResult<T> result,
                             MonoTime at) {
  Store.Posted.push_back(
      Store.Loop.at(at, [done = std::move(done), result = std::move(result)] {
        done(result);
      }));
}

template <typename T>
bool MemoryStoreView::admit(MonoTime deadline, StoreCallback<T> done) {
  if (Faults.Silent)
    answer<T>(std::move(done), StoreError(StoreOutcomeUnknown{"silent"}),
              deadline);
  else if (Faults.Busy)
    answer<T>(std::move(done), StoreError(StoreBusy{503}), monoNow());
  return !Faults.Silent && !Faults.Busy;
}

template <typename T>
bool MemoryStoreView::admitRead(const TopicId &topic, MonoTime deadline,
                                StoreCallback<T> done) {
  const bool silent = Faults.SilentTopics.contains(topic);
  if (silent)
    answer<T>(std::move(done), StoreError(StoreOutcomeUnknown{"silent"}),
              deadline);
  return !silent;
}

void MemoryStoreView::append(const TopicId &topic, const AppendStamp &stamp,
                             const std::vector<KeyedRecord> &records,
                             MonoTime deadline,
                             StoreCallback<AppendAcknowledged> done) {
  if (!admit<AppendAcknowledged>(deadline, done))
    return;
  if (Faults.RefuseWith != 0) {
    answer<AppendAcknowledged>(std::move(done),
                               StoreError(StoreRefused{Faults.RefuseWith, ""}),
                               monoNow());
    return;
  }
  auto result = Store.append(topic, stamp, records);
  if (Faults.LoseAnswers)
    answer<AppendAcknowledged>(std::move(done),
                               StoreError(StoreOutcomeUnknown{"answer lost"}),
                               deadline);
  else
    answer<AppendAcknowledged>(std::move(done), std::move(result), monoNow());
}

void MemoryStoreView::read(const TopicId &topic, LogOffset from,
                           MonoTime waitUntil, MonoTime deadline,
                           StoreCallback<TopicPage> done) {
  if (!admit<TopicPage>(deadline, done) ||
      !admitRead<TopicPage>(topic, deadline, done))
    return;
  MemoryStore::Topic &it = Store.Topics[topic];
  if (from.value() < it.FirstRetained) {
    answer<TopicPage>(std::move(done),
                      StoreError(StoreTruncated{LogOffset(it.FirstRetained)}),
                      monoNow());
    return;
  }
  TopicPage page = Store.makePage(topic, from);
  if (!page.Records.empty() || waitUntil <= monoNow()) {
    answer<TopicPage>(std::move(done), std::move(page), monoNow());
    return;
  }
  Store.PendingReads.push_back({topic, from, Timer(), std::move(done)});
  const auto at = std::prev(Store.PendingReads.end());
  Store.awaitRecord(at, waitUntil);
}

void MemoryStore::awaitRecord(std::list<PendingRead>::iterator at,
                              MonoTime until) {
  at->WaitTimer = Loop.at(until, [this, at, until] {
    // Timers are early by up to the age of the loop's cached time.
    if (monoNow() < until) {
      awaitRecord(at, until);
      return;
    }
    const PendingRead pending = std::move(*at);
    PendingReads.erase(at);
    pending.Done(makePage(pending.Source, pending.From));
  });
}

void MemoryStoreView::readLatest(const TopicId &topic,
                                 const std::string &afterKey, ReadSize size,
                                 CallDeadline deadline,
                                 StoreCallback<LatestValuesPage> done) {
  if (!admit<LatestValuesPage>(deadline.At, done) ||
      !admitRead<LatestValuesPage>(topic, deadline.At, done))
    return;
  const MemoryStore::Topic &it = Store.Topics[topic];
  LatestValuesPage page;
  std::size_t bytes = 0;
  page.End = LogOffset(it.FirstRetained + it.Records.size());
  for (auto at = it.LatestByKey.upper_bound(afterKey);
       at != it.LatestByKey.end(); ++at) {
    if (page.Records.size() == Store.LatestPageRecords) {
      page.More = true;
      break;
    }
    page.Records.push_back(at->second.Record);
    page.Offsets.push_back(at->second.At);
    bytes += at->first.size() + at->second.Record.Value->size();
  }
  MonoTime firstByteAt;
  const MonoTime lastByteAt = transfer(bytes, firstByteAt);
  const MonoTime givenUpAt = deadline.isFixed() ? lastByteAt : firstByteAt;
  const bool lost = size == ReadSize::Bulk && bytes > Faults.LargestLatestPage;
  if (lost || givenUpAt > deadline.At)
    answer<LatestValuesPage>(std::move(done),
                             StoreError(StoreOutcomeUnknown{"too slow"}),
                             deadline.At);
  else
    answer<LatestValuesPage>(std::move(done), std::move(page), lastByteAt);
}

MonoTime MemoryStoreView::transfer(std::size_t bytes, MonoTime &firstByteAt) {
  const auto span = [bytes](std::size_t rate) {
    return Millis(rate == 0 ? 0
                            : static_cast<std::int64_t>(bytes * 1000 / rate));
  };
  BytesSent += bytes;
  const MonoTime now = monoNow();
  const MonoTime sentFrom = std::max(now, Store.ReadsFreeAt);
  Store.ReadsFreeAt = sentFrom + span(Store.ReadBytesPerSecond);
  firstByteAt = std::max(sentFrom, LinkFreeAt);
  LinkFreeAt =
      std::max(firstByteAt + span(LinkBytesPerSecond), Store.ReadsFreeAt);
  return LinkFreeAt;
}

void MemoryStoreView::join(const std::string &, const std::string &member,
                           const TopicId &, Millis sessionTimeout, Epoch,
                           MonoTime deadline,
                           StoreCallback<GroupMembership> done) {
  if (admit<GroupMembership>(deadline, done))
    answer<GroupMembership>(std::move(done), Store.join(member, sessionTimeout),
                            monoNow());
}

void MemoryStoreView::findOwner(const std::string &, const TopicId &,
                                MonoTime deadline,
                                StoreCallback<TopicOwner> done) {
  if (!admit<TopicOwner>(deadline, done))
    return;
  Store.expireMembers();
  const std::string member =
      Store.Members.empty() ? "" : Store.Members.front().Name;
  answer<TopicOwner>(std::move(done), TopicOwner{member}, monoNow());
}

void MemoryStoreView::leave(const std::string &, const std::string &member,
                            MonoTime deadline,
                            StoreCallback<GroupMembership> done) {
  if (!admit<GroupMembership>(deadline, done))
    return;
  Store.lapse(member);
  answer<GroupMembership>(std::move(done), GroupMembership{}, monoNow());
}

} // namespace citrongap
