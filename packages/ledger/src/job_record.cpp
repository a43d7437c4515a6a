// JSON bodies of the stream "jobs".
#include "citrongap/ledger/job_record.h"

#include "json_fields.h"

#include <utility>

namespace citrongap {

namespace {

using Json = nlohmann::json;

Json jobJson(const char *kind, const JobId &job, WallTime deadline) {
  return {{"kind", kind},
          {"account", job.Account.str()},
          {"key", job.Key.str()},
          {"deadline", toMillis(deadline)}};
}

JobId readJob(FieldReader &in) {
  return {ClientAccountId(in.text("account")), RequestKey(in.text("key"))};
}

WallTime readTime(FieldReader &in, const char *name) {
  return wallFromMillis(in.number<std::int64_t>(name));
}

Json outcomeJson(const Outcome &outcome) {
  return std::visit(
      Overloaded{[](const Done &it) -> Json {
                   return {{"kind", "done"}, {"text", it.Result}};
                 },
                 [](const Failed &it) -> Json {
                   return {{"kind", "failed"}, {"text", it.Reason}};
                 },
                 [](const NotRun &it) -> Json {
                   return {{"kind", "not run"},
                           {"text", it.Reason},
                           {"retry_after_ms", it.RetryAfterMs}};
                 },
                 [](const Unknown &it) -> Json {
                   return {{"kind", "unknown"}, {"text", it.Reason}};
                 }},
      outcome);
}

Outcome readOutcome(FieldReader &outer, const Json *json) {
  if (!json) {
    outer.reject();
    return Unknown{};
  }
  FieldReader in(*json);
  const std::string kind = in.text("kind");
  std::string text = in.text("text");
  Outcome outcome = Unknown{text};
  if (kind == "done")
    outcome = Done{std::move(text)};
  else if (kind == "failed")
    outcome = Failed{std::move(text)};
  else if (kind == "not run")
    outcome =
        NotRun{std::move(text), in.number<std::int64_t>("retry_after_ms")};
  else if (kind != "unknown")
    in.reject();
  if (!in.ok())
    outer.reject();
  return outcome;
}

Json bodyJson(const JobAccepted &it) {
  Json json = jobJson("accepted", it.Job, it.Deadline);
  json["body"] = it.Body;
  return json;
}

Json bodyJson(const JobClaim &it) {
  Json json = jobJson("claim", it.Job, it.Deadline);
  json["pod"] = it.Pod.str();
  json["holder"] = it.By.Holder.str();
  json["term"] = it.By.Term.value();
  json["start_by"] = toMillis(it.StartBy);
  return json;
}

Json bodyJson(const ClaimVoid &it) {
  Json json = jobJson("void", it.Job, it.Deadline);
  json["claim"] = it.Claim.str();
  json["pod"] = it.Pod.str();
  json["term"] = it.Term.value();
  if (it.Order)
    json["order"] = it.Order->value();
  return json;
}

Json bodyJson(const PodTakeOver &it) {
  return {{"kind", "take-over"},
          {"pod", it.Pod.str()},
          {"holder", it.By.Holder.str()},
          {"term", it.By.Term.value()}};
}

Json bodyJson(const JobEnded &it) {
  Json json = jobJson("ended", it.Job, it.Deadline);
  json["outcome"] = outcomeJson(it.Result);
  if (it.Under)
    json["under"] = {{"claim", it.Under->Claim.str()},
                     {"pod", it.Under->Pod.str()},
                     {"term", it.Under->Term.value()},
                     {"order", it.Under->Order.value()}};
  return json;
}

Json bodyJson(const JobKept &it) {
  Json json = jobJson("kept", it.Entry.Job, it.Entry.Deadline);
  if (it.Entry.Accepted)
    json["body"] = *it.Entry.Accepted;
  if (it.Entry.Result)
    json["outcome"] = outcomeJson(*it.Entry.Result);
  if (const auto &claim = it.Entry.Claim)
    json["claim"] = {{"claim", claim->Id.str()},
                     {"pod", claim->Pod.str()},
                     {"term", claim->Term.value()},
                     {"start_by", toMillis(claim->StartBy)},
                     {"order", claim->Order.value()}};
  return json;
}

JobAccepted readAccepted(FieldReader &in) {
  return {readJob(in), readTime(in, "deadline"), in.text("body")};
}

PodHolding readHolding(FieldReader &in) {
  return {EntryVmId(in.text("holder")), PodTerm(in.number("term"))};
}

JobClaim readClaim(FieldReader &in, const std::string &id) {
  JobClaim claim{ClaimId(id),
                 readJob(in),
                 PodId(in.text("pod")),
                 readHolding(in),
                 readTime(in, "start_by"),
                 readTime(in, "deadline")};
  if (claim.StartBy > readTime(in, "at") + MaxClaimLife)
    in.reject();
  return claim;
}

ClaimVoid readVoid(FieldReader &in) {
  ClaimVoid it{ClaimId(in.text("claim")), readJob(in),
               PodId(in.text("pod")),     PodTerm(in.number("term")),
               readTime(in, "deadline"),  std::nullopt};
  if (in.find("order"))
    it.Order = LogOffset(in.number("order"));
  return it;
}

JobEnded readEnded(FieldReader &in) {
  JobEnded ended{readJob(in), std::nullopt, readTime(in, "deadline"),
                 readOutcome(in, in.find("outcome"))};
  const Json *under = in.find("under");
  if (!under)
    return ended;
  FieldReader fields(*under);
  ended.Under = EndedClaim{
      ClaimId(fields.text("claim")), PodId(fields.text("pod")),
      PodTerm(fields.number("term")), LogOffset(fields.number("order"))};
  if (!fields.ok())
    in.reject();
  return ended;
}

JobKept readKept(FieldReader &in) {
  JobEntry entry;
  entry.Job = readJob(in);
  entry.Deadline = readTime(in, "deadline");
  if (in.find("body"))
    entry.Accepted = in.text("body");
  if (const Json *outcome = in.find("outcome"))
    entry.Result = readOutcome(in, outcome);
  const Json *claim = in.find("claim");
  if (!claim)
    return {entry};
  FieldReader fields(*claim);
  entry.Claim =
      ClaimHolding{ClaimId(fields.text("claim")), PodId(fields.text("pod")),
                   PodTerm(fields.number("term")), readTime(fields, "start_by"),
                   LogOffset(fields.number("order"))};
  if (!fields.ok())
    in.reject();
  return {entry};
}

std::optional<JobRecordBody> readBody(FieldReader &in, const std::string &id) {
  const std::string kind = in.text("kind");
  if (kind == "accepted")
    return readAccepted(in);
  if (kind == "claim")
    return readClaim(in, id);
  if (kind == "void")
    return readVoid(in);
  if (kind == "take-over")
    return PodTakeOver{PodId(in.text("pod")), readHolding(in)};
  if (kind == "ended")
    return readEnded(in);
  if (kind == "kept")
    return readKept(in);
  return std::nullopt;
}

} // namespace

std::string encodeJobRecord(const JobRecord &record) {
  Json json =
      std::visit([](const auto &it) { return bodyJson(it); }, record.Body);
  json["id"] = record.Id;
  json["at"] = toMillis(record.At);
  return dumpRecord(json);
}

std::optional<JobRecord> decodeJobRecord(const std::string &body) {
  const auto json = parseRecord(body);
  if (!json)
    return std::nullopt;
  FieldReader in(*json);
  const std::string id = in.text("id");
  const WallTime at = readTime(in, "at");
  auto read = readBody(in, id);
  if (!read || !in.ok())
    return std::nullopt;
  return JobRecord{id, at, std::move(*read)};
}

} // namespace citrongap
