// Reads the newest records of a topic, then follows its end.
#include "citrongap/store/topic_reader.h"

#include <algorithm>
#include <utility>

namespace citrongap {

TopicReader::TopicReader(EventLoop &loop, StorePort &store, TopicId topic,
                         TopicReaderOptions terms, OnRecord onRecord,
                         std::function<void()> onBatch)
    : Loop(loop), Store(store), Topic(std::move(topic)), Terms(terms),
      Record(std::move(onRecord)), Batch(std::move(onBatch)) {}

void TopicReader::start() {
  Running = true;
  load();
}

void TopicReader::load() {
  Loading = true;
  LoadedTo.reset();
  loadPage("");
}

void TopicReader::stop() {
  Running = false;
  Again.cancel();
  // Answers of calls that are out are not for the next start.
  Alive = std::make_shared<int>(0);
  Reading = false;
}

void TopicReader::readNow() {
  if (!Running || Loading || Reading)
    return;
  Again.cancel();
  readOn();
}

void TopicReader::later(Millis wait, std::function<void()> what) {
  Again = Loop.at(monoNow() + wait, std::move(what));
}

void TopicReader::failed(const StoreError &error) {
  if (Working && OnHealth)
    OnHealth(false, describe(error));
  Working = false;
}

void TopicReader::loadPage(const std::string &afterKey) {
  if (!Running)
    return;
  Reading = true;
  Store.readLatest(Topic, afterKey, monoNow() + Terms.AnswerTimeout,
                   [this, alive = std::weak_ptr<int>(Alive)](auto result) {
                     if (alive.lock())
                       onNewest(std::move(result));
                   });
}

void TopicReader::onNewest(StoreResult<LatestValuesPage> result) {
  Reading = false;
  if (!Running)
    return;
  if (const auto *error = std::get_if<StoreError>(&result)) {
    failed(*error);
    later(Terms.RetryDelay, [this] { load(); });
    return;
  }
  const auto &page = std::get<LatestValuesPage>(result);
  if (!LoadedTo) {
    if (OnReload)
      OnReload();
    // Pages are no snapshot: records after the first page's end are read
    // again in order.
    LoadedTo = page.End;
  }
  for (const KeyedRecord &it : page.Records)
    Record(it);
  if (page.More && !page.Records.empty()) {
    loadPage(page.Records.back().Key);
    return;
  }
  Next = *LoadedTo;
  Loaded = true;
  Loading = false;
  readOn();
}

void TopicReader::readOn() {
  if (!Running || Reading)
    return;
  Reading = true;
  const MonoTime now = monoNow();
  // Until the store answers again, a silent connection is to be noticed soon.
  const Millis wait = Working && FreshAt ? Terms.Wait : Millis(0);
  Store.read(Topic, Next, now + wait, now + wait + Terms.AnswerTimeout,
             [this, now, alive = std::weak_ptr<int>(Alive)](auto result) {
               if (alive.lock())
                 onPage(now, std::move(result));
             });
}

void TopicReader::onPage(MonoTime sentAt, StoreResult<TopicPage> result) {
  Reading = false;
  if (!Running)
    return;
  if (const auto *error = std::get_if<StoreError>(&result)) {
    const bool cut = std::holds_alternative<StoreTruncated>(*error);
    if (!cut)
      failed(*error);
    // A poke must not put the reading of the newest off.
    Loading = cut;
    later(Terms.RetryDelay, [this, cut] {
      if (cut)
        load();
      else
        readOn();
    });
    return;
  }
  const auto &page = std::get<TopicPage>(result);
  if (!Working && OnHealth)
    OnHealth(true, "");
  Working = true;
  Next = page.Next;
  for (const KeyedRecord &it : page.Records)
    Record(it);
  // An answer with records may be as old as its sending.
  if (Next >= page.End)
    FreshAt = page.Records.empty() ? monoNow()
                                   : std::max(sentAt, FreshAt.value_or(sentAt));
  Batch();
  if (Terms.ReadInterval.count() > 0 && Next >= page.End)
    later(Terms.ReadInterval, [this] { readOn(); });
  else
    readOn();
}

} // namespace citrongap
