// A store in memory, with the faults that tests ask for.
#include "citrongap/store/memory_store.h"

#include <algorithm>
#include <utility>

namespace citrongap {

void MemoryStore::later(std::function<void()> what) {
  std::erase_if(Soon, [](const Timer &it) { return !it.pending(); });
  Soon.push_back(Loop.at(monoNow(), std::move(what)));
}

void MemoryStore::compact(const TopicId &topic) {
  Topic &it = Topics[topic];
  it.First += it.Records.size();
  it.Records.clear();
}

void MemoryStore::put(const TopicId &topic, KeyedRecord record) {
  Topic &it = Topics[topic];
  if (record.Value)
    it.Newest[record.Key] = record;
  else
    it.Newest.erase(record.Key);
  it.Records.push_back(std::move(record));
  wakeReaders(topic);
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
  const auto end = [&it] { return LogOffset(it.First + it.Records.size()); };
  if (producer.Any && stamp.At < producer.At)
    return StoreError(StoreFenced{});
  if (!producer.Any || stamp.At > producer.At) {
    producer = {stamp.At, stamp.Sequence, end(), true};
  } else if (!records.empty() && stamp.Sequence + 1 == producer.Next) {
    return AppendAcknowledged{producer.LastEnd};
  } else if (!records.empty() && stamp.Sequence != producer.Next) {
    return StoreError(StoreOutOfSequence{producer.Next});
  }
  for (const KeyedRecord &record : records)
    put(topic, record);
  if (!records.empty())
    ++producer.Next;
  producer.LastEnd = end();
  return AppendAcknowledged{producer.LastEnd};
}

TopicPage MemoryStore::page(const TopicId &topic, LogOffset from) {
  Topic &it = Topics[topic];
  TopicPage out;
  out.FirstRetained = LogOffset(it.First);
  out.End = LogOffset(it.First + it.Records.size());
  for (std::uint64_t at = from.value(); at < out.End.value(); ++at)
    out.Records.push_back(it.Records[at - it.First]);
  out.Next = out.End;
  return out;
}

void MemoryStore::wakeReaders(const TopicId &topic) {
  for (auto it = Readers.begin(); it != Readers.end();) {
    if (it->From != topic) {
      ++it;
      continue;
    }
    later([this, topic, at = it->At, done = it->Done] {
      if (at.value() < Topics[topic].First)
        done(StoreError(StoreTruncated{LogOffset(Topics[topic].First)}));
      else
        done(page(topic, at));
    });
    it = Readers.erase(it);
  }
}

GroupMembership MemoryStore::join(const std::string &member,
                                  Millis sessionTimeout) {
  lapseSilent();
  auto it = std::find_if(Members.begin(), Members.end(),
                         [&](const Member &n) { return n.Name == member; });
  if (it == Members.end()) {
    it = Members.insert(Members.end(), {member, {}});
    Generation = Generation.next();
  }
  it->LapsesAt = monoNow() + sessionTimeout;
  return {Generation, Members.front().Name == member};
}

void MemoryStore::lapseSilent() {
  const MonoTime now = monoNow();
  if (std::erase_if(Members,
                    [&](const Member &it) { return it.LapsesAt <= now; }) > 0)
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
  Store.Soon.push_back(
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

void MemoryStoreView::append(const TopicId &topic, const AppendStamp &stamp,
                             const std::vector<KeyedRecord> &records,
                             MonoTime deadline,
                             StoreCallback<AppendAcknowledged> done) {
  if (!admit<AppendAcknowledged>(deadline, done))
    return;
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
  if (!admit<TopicPage>(deadline, done))
    return;
  MemoryStore::Topic &it = Store.Topics[topic];
  if (from.value() < it.First) {
    answer<TopicPage>(std::move(done),
                      StoreError(StoreTruncated{LogOffset(it.First)}),
                      monoNow());
    return;
  }
  TopicPage page = Store.page(topic, from);
  if (!page.Records.empty() || waitUntil <= monoNow()) {
    answer<TopicPage>(std::move(done), std::move(page), monoNow());
    return;
  }
  Store.Readers.push_back({topic, from, Timer(), std::move(done)});
  const auto at = std::prev(Store.Readers.end());
  // The store outlives this view.
  at->Until = Store.Loop.at(waitUntil, [&store = Store, at] {
    const MemoryStore::Read reader = std::move(*at);
    store.Readers.erase(at);
    reader.Done(store.page(reader.From, reader.At));
  });
}

void MemoryStoreView::readLatest(const TopicId &topic,
                                 const std::string &afterKey, MonoTime deadline,
                                 StoreCallback<LatestValuesPage> done) {
  if (!admit<LatestValuesPage>(deadline, done))
    return;
  constexpr std::size_t PageSize = 3;
  const MemoryStore::Topic &it = Store.Topics[topic];
  LatestValuesPage page;
  page.End = LogOffset(it.First + it.Records.size());
  for (auto at = it.Newest.upper_bound(afterKey); at != it.Newest.end(); ++at) {
    if (page.Records.size() == PageSize) {
      page.More = true;
      break;
    }
    page.Records.push_back(at->second);
  }
  answer<LatestValuesPage>(std::move(done), std::move(page), monoNow());
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
  Store.lapseSilent();
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
