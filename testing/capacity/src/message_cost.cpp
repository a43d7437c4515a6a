// Encoded sizes of the messages between entry VMs, without the frame.
#include "measure.h"

#include "citrongap/daemon/job_json.h"
#include "citrongap/daemon/job_messages.h"

namespace citrongap {

namespace {

constexpr std::size_t Accounts = 710;
constexpr std::size_t ResultBytes = 200;

void printMessage(const std::string &what, const PeerRequest &it) {
  printFigure("message, " + what, static_cast<double>(encodeRequest(it).size()),
              "B");
}

HandOverPod handOverOf(std::size_t servers) {
  HandOverPod it{PodId("region-1-dc-1"), {}, {}};
  for (std::size_t i = 0; i < servers; ++i)
    it.Leases.emplace_back(BackendServerId(fmt::format("dc-server-{:05}", i)),
                           FencingToken(i));
  return it;
}

} // namespace

void measureMessages() {
  const PodId pod("region-1-dc-1");
  const JobRequest job = sampleJob(1, Accounts);
  printMessage("SubmitJob, 400 B payload", SubmitJob{pod, job, false});
  printMessage("GuardJob, 400 B payload", GuardJob{pod, job});
  printMessage(
      "EndNotice, 200 B result",
      EndNotice{pod, job.Id, Done{std::string(ResultBytes, 'x')}, true});
  printMessage("PodReport", PodReport{pod, {}});
  printFigure("message, answer Acknowledged",
              static_cast<double>(encodeAnswer(Acknowledged{}).size()), "B");
  std::vector<Point> bytes;
  for (const std::size_t servers : {250U, 1870U})
    bytes.push_back(
        {static_cast<double>(servers),
         static_cast<double>(encodeRequest(handOverOf(servers)).size())});
  printRow("message, HandOverPod by servers, no waiting job", bytes, "B");
}

} // namespace citrongap
