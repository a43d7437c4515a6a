// Loads a topic's latest values, then follows the topic.
#include "citrongap/store/topic_reader.h"

#include <algorithm>
#include <utility>

namespace citrongap {

TopicReader::TopicReader(EventLoop &loop, StorePort &store, TopicId topic,
                         TopicReaderOptions options, OnRecord onRecord,
                         std::function<void()> onBatch)
    : Loop(loop), Store(store), Topic(std::move(topic)), Options(options),
      HandleRecord(std::move(onRecord)), HandleBatch(std::move(onBatch)) {}

void TopicReader::start() {
  Running = true;
  // After a stop(), the user may have dropped what it was given.
  Loaded = false;
  CurrentAsOf.reset();
  load();
}

void TopicReader::load() {
  Loading = true;
  LoadEnd.reset();
  LoadedUpTo.clear();
  LoadedKeys.clear();
  LoadedAhead.clear();
  LoadFailures = 0;
  LoadTimeoutFactor = 1;
  loadPage();
}

void TopicReader::stop() {
  Running = false;
  NextRead.cancel();
  // Answers to calls in flight must not reach the reader after a new start().
  Alive = std::make_shared<int>(0);
  CallInFlight = false;
}

void TopicReader::readNow() {
  if (!Running || Loading || CallInFlight)
    return;
  NextRead.cancel();
  readNext();
}

void TopicReader::schedule(Millis wait, std::function<void()> callback) {
  NextRead = Loop.at(monoNow() + wait, std::move(callback));
}

void TopicReader::recordFailure(const StoreError &error) {
  if (Healthy && OnHealth)
    OnHealth(false, describe(error));
  Healthy = false;
}

void TopicReader::loadPage() {
  if (!Running)
    return;
  CallInFlight = true;
  const MonoTime now = monoNow();
  CallDeadline deadline = now + Options.AnswerTimeout;
  if (Options.Load == ReadSize::Bulk) {
    const Millis limit = Options.LoadTimeout * LoadTimeoutFactor;
    deadline = CallDeadline(now + limit, limit);
  }
  Store.readLatest(Topic, LoadedUpTo, Options.Load, deadline,
                   [this, alive = std::weak_ptr<int>(Alive)](auto result) {
                     if (alive.lock())
                       onLatestPage(std::move(result));
                   });
}

void TopicReader::onLatestPage(StoreResult<LatestValuesPage> result) {
  CallInFlight = false;
  if (!Running)
    return;
  if (const auto *error = std::get_if<StoreError>(&result)) {
    recordFailure(*error);
    retryLoad();
    return;
  }
  LoadFailures = 0;
  const auto &page = std::get<LatestValuesPage>(result);
  if (!LoadEnd) {
    if (OnReload)
      OnReload();
    LoadEnd = page.End;
  }
  for (std::size_t n = 0; n < page.Records.size(); ++n) {
    const KeyedRecord &it = page.Records[n];
    LoadedKeys.insert(it.Key);
    // The pages are not one snapshot: they may hold records from after the
    // first page's end, where reading in order goes on.
    if (n < page.Offsets.size() && page.Offsets[n] >= *LoadEnd)
      LoadedAhead[it.Key] = page.Offsets[n];
    HandleRecord(it);
  }
  if (page.More && !page.Records.empty()) {
    LoadedUpTo = page.Records.back().Key;
    loadPage();
    return;
  }
  NextOffset = *LoadEnd;
  Loaded = true;
  Loading = false;
  const std::set<std::string> keys = std::exchange(LoadedKeys, {});
  if (OnLoaded)
    OnLoaded(keys);
  readNext();
}

void TopicReader::retryLoad() {
  constexpr int MostDoublings = 16;
  LoadFailures = std::min(LoadFailures + 1, MostDoublings);
  LoadTimeoutFactor =
      std::min(LoadTimeoutFactor * 2, Options.MaxLoadTimeoutFactor);
  // Small loads are of the configuration, which is needed first.
  const Millis longest =
      Options.Load == ReadSize::Small
          ? Options.RetryDelay * 2
          : std::min(Options.RetryDelay * (1 << LoadFailures),
                     Options.MaxLoadRetryDelay);
  const auto wait =
      Jitter.between(0, static_cast<std::uint64_t>(longest.count()));
  schedule(Millis(static_cast<std::int64_t>(wait)), [this] { loadPage(); });
}

void TopicReader::readNext() {
  if (!Running || CallInFlight)
    return;
  CallInFlight = true;
  const MonoTime now = monoNow();
  // Until the store answers again, reads don't wait for records, so that an
  // unresponsive connection is detected within the answer timeout.
  const Millis wait = Healthy && CurrentAsOf ? Options.Wait : Millis(0);
  Store.read(Topic, NextOffset, now + wait, now + wait + Options.AnswerTimeout,
             [this, now, wait, alive = std::weak_ptr<int>(Alive)](auto result) {
               if (alive.lock())
                 onPage(now, wait, std::move(result));
             });
}

bool TopicReader::wasLoaded(const std::string &key, LogOffset at) {
  const auto loaded = LoadedAhead.find(key);
  if (loaded == LoadedAhead.end())
    return false;
  const bool skip = at <= loaded->second;
  if (at >= loaded->second)
    LoadedAhead.erase(loaded);
  return skip;
}

void TopicReader::onPage(MonoTime sentAt, Millis wait,
                         StoreResult<TopicPage> result) {
  CallInFlight = false;
  if (!Running)
    return;
  if (const auto *error = std::get_if<StoreError>(&result)) {
    const bool truncated = std::holds_alternative<StoreTruncated>(*error);
    if (!truncated)
      recordFailure(*error);
    // With `Loading` set, readNow() can't replace the scheduled load by a read.
    Loading = truncated;
    schedule(Options.RetryDelay, [this, truncated] {
      if (truncated)
        load();
      else
        readNext();
    });
    return;
  }
  const auto &page = std::get<TopicPage>(result);
  if (!Healthy && OnHealth)
    OnHealth(true, "");
  Healthy = true;
  LogOffset at = std::exchange(NextOffset, page.Next);
  for (const KeyedRecord &it : page.Records) {
    if (!wasLoaded(it.Key, at))
      HandleRecord(it);
    at = at.next();
  }
  // The answer may have been given long before it arrived: one with records as
  // soon as the call was sent, one without when the call had waited.
  if (NextOffset >= page.End)
    CurrentAsOf =
        page.Records.empty() ? std::min(sentAt + wait, monoNow()) : sentAt;
  HandleBatch();
  if (Options.ReadInterval.count() > 0 && NextOffset >= page.End)
    schedule(Options.ReadInterval, [this] { readNext(); });
  else
    readNext();
}

} // namespace citrongap
