// Ended jobs are removed from the store as fast as jobs are accepted.
#include "entry_site.h"

#include <fmt/format.h>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const TopicId Jobs("keyed.jobs");

struct EndedJobsSite : EntrySite {
  /// Jobs in the store that ended long ago.
  std::vector<WorkId> storeEnded(int count) {
    std::vector<WorkId> ids;
    for (int n = 0; n < count; ++n) {
      WorkSpec spec;
      spec.Id = WorkId(fmt::format("{:016x}", n));
      spec.Queue = QueueId("q");
      spec.Account = ClientAccountId("quetta");
      spec.Service = "render";
      spec.Steps.resize(1);
      WorkRecord record;
      record.Phase = WorkPhase::Completed;
      record.EndedAtMs = 1;
      Store.put(Jobs, {stateKey(spec.Id), encode(record)});
      Store.put(Jobs, {specKey(spec.Id), encode(spec)});
      ids.push_back(spec.Id);
    }
    return ids;
  }
};

} // namespace

// Guards against ended jobs that gather on every entry VM until its memory is
// used up, because fewer are removed than are accepted.
BOOST_FIXTURE_TEST_CASE(one_clean_up_removes_all_ended_jobs, EndedJobsSite) {
  kill("vm-1");
  kill("vm-2");
  CleanupInterval = Millis(1000);
  add("vm-3");
  runFor(Millis(300));
  const std::vector<WorkId> ids = storeEnded(600);
  runFor(Millis(200));
  BOOST_TEST(call("vm-3", CallerVerb::Query, ids.back()) == "completed");
  runFor(Millis(1000));
  for (const WorkId &it : {ids.front(), ids[300], ids.back()})
    BOOST_TEST(call("vm-3", CallerVerb::Query, it) == "no_job");
}
