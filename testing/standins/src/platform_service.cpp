// Routes of the platform's stand-in and its faults.
#include "citrongap/standins/platform_service.h"
#include "citrongap/standins/json_fields.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <utility>

namespace citrongap::standins {

using nlohmann::json;

namespace {

constexpr std::size_t MaxRecordBytes = 64U << 10U;
constexpr std::size_t MaxBodyBytes = 8U << 20U;
constexpr std::size_t MaxConnections = 4096;
constexpr std::int64_t MaxWaitMs = 25'000;

HttpResponse error(int status, const char *text) {
  return {status, fmt::format(R"({{"error":"{}"}})", text)};
}

std::uint64_t numberParameter(const HttpRequest &request, const char *name,
                              std::uint64_t fallback) {
  const std::string text = queryParameter(request.Target, name);
  if (text.empty())
    return fallback;
  return std::strtoull(text.c_str(), nullptr, 10);
}

/// The NAME of "/streams/NAME/records"; empty for another path.
std::string streamOf(const std::string &path) {
  constexpr std::string_view Prefix = "/streams/";
  constexpr std::string_view Suffix = "/records";
  if (path.size() <= Prefix.size() + Suffix.size() ||
      !path.starts_with(Prefix) || !path.ends_with(Suffix))
    return "";
  const std::string name =
      path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size());
  return isStreamName(name) ? name : "";
}

std::string pageText(const LogPage &page) {
  std::string text =
      fmt::format(R"({{"first_retained":{},"end":{},"records":[)",
                  page.FirstRetained.value(), page.End.value());
  const char *separator = "";
  for (const auto &it : page.Records) {
    text += fmt::format(R"({}{{"offset":{},"record":{}}})", separator,
                        it.Offset.value(), it.Body);
    separator = ",";
  }
  return text + "]}";
}

/// The records of an append, each as text; null when any is malformed.
std::optional<std::vector<std::string>> recordsOf(const std::string &body) {
  const auto object = parseObject(body);
  if (!object || !object->contains("records") ||
      !(*object)["records"].is_array() || (*object)["records"].empty())
    return std::nullopt;
  std::vector<std::string> out;
  for (const auto &it : (*object)["records"]) {
    out.push_back(dump(it));
    if (!it.is_object() || out.back().size() > MaxRecordBytes)
      return std::nullopt;
  }
  return out;
}

} // namespace

PlatformService::PlatformService(EventLoop &loop, PlatformOptions options)
    : Loop(loop), MaxAppendsPerSecond(options.MaxAppendsPerSecond),
      Streams(options.Retention), Vms(std::move(options.Vms), options.ListLag),
      Server(
          loop, {MaxBodyBytes, MaxConnections, Seconds(60)},
          [this](const HttpRequest &request, const HttpResponder &responder) {
            onRequest(request, responder);
          }) {}

void PlatformService::onRequest(const HttpRequest &request,
                                const HttpResponder &responder) {
  const std::string path = pathOf(request.Target);
  if (path == "/control") {
    control(request, responder);
    return;
  }
  if (path == "/dump") {
    const auto page = Streams.dump(queryParameter(request.Target, "stream"));
    responder.send({200, pageText(page)});
    return;
  }
  if (Current.Delay.count() == 0) {
    admit(request, responder);
    return;
  }
  Delayed.remove_if([](const Timer &it) { return !it.pending(); });
  Delayed.push_back(
      Loop.at(monoNow() + Current.Delay,
              [this, request, responder] { admit(request, responder); }));
}

void PlatformService::admit(const HttpRequest &request,
                            const HttpResponder &responder) {
  if (unanswered(request))
    Unanswered.push_back(responder);
  else if (Current.Outage)
    responder.send(error(503, "outage"));
  else
    handle(request, responder);
}

void PlatformService::handle(const HttpRequest &request,
                             const HttpResponder &responder) {
  const std::string path = pathOf(request.Target);
  const std::string stream = streamOf(path);
  if (request.Method == "GET" && path == "/vms") {
    const auto viewer = queryParameter(request.Target, "viewer");
    const json body{{"vms", Vms.seenBy(viewer, monoNow())}};
    answer(request, responder, {200, dump(body)});
  } else if (request.Method == "POST" && !stream.empty()) {
    append(stream, request, responder);
  } else if (request.Method == "GET" && !stream.empty()) {
    read(stream, request, responder);
  } else {
    answer(request, responder, error(404, "no such path or stream name"));
  }
}

void PlatformService::append(const std::string &stream,
                             const HttpRequest &request,
                             const HttpResponder &responder) {
  auto records = recordsOf(request.Body);
  if (!records) {
    answer(request, responder, error(400, "malformed or oversized records"));
    return;
  }
  if (!takeAppendBudget()) {
    answer(request, responder, error(503, "too many appends"));
    return;
  }
  const LogOffset first =
      Streams.append(stream, std::move(*records), monoNow());
  if (Current.LoseAnswers > 0) {
    --Current.LoseAnswers;
    Unanswered.push_back(responder);
  } else {
    answer(request, responder,
           {200, fmt::format(R"({{"first":{}}})", first.value())});
  }
  answerWaitingReads();
}

void PlatformService::read(const std::string &stream,
                           const HttpRequest &request,
                           const HttpResponder &responder) {
  ReadLimits limits;
  limits.MaxRecords = std::clamp<std::uint64_t>(
      numberParameter(request, "max", limits.MaxRecords), 1, limits.MaxRecords);
  const LogPage page =
      Streams.read(stream, LogOffset(numberParameter(request, "from", 0)),
                   limits, monoNow());
  const auto wait = std::min<std::int64_t>(
      MaxWaitMs,
      static_cast<std::int64_t>(numberParameter(request, "wait_ms", 0)));
  if (!page.Records.empty() || wait <= 0) {
    answer(request, responder, {200, pageText(page)});
    return;
  }
  WaitingReads.push_back({request, responder, Timer()});
  const auto it = std::prev(WaitingReads.end());
  it->GiveUp = Loop.at(monoNow() + Millis(wait), [this, it, page] {
    const WaitingRead waiting = std::move(*it);
    WaitingReads.erase(it);
    answer(waiting.Request, waiting.Responder, {200, pageText(page)});
  });
}

void PlatformService::answerWaitingReads() {
  for (auto it = WaitingReads.begin(); it != WaitingReads.end();) {
    const LogPage page = Streams.read(
        streamOf(pathOf(it->Request.Target)),
        LogOffset(numberParameter(it->Request, "from", 0)), {}, monoNow());
    if (page.Records.empty()) {
      ++it;
      continue;
    }
    answer(it->Request, it->Responder, {200, pageText(page)});
    it = WaitingReads.erase(it);
  }
}

void PlatformService::control(const HttpRequest &request,
                              const HttpResponder &responder) {
  const auto body = parseObject(request.Body);
  if (!body) {
    responder.send(error(400, "not a JSON object"));
    return;
  }
  const MonoTime now = monoNow();
  Current.Outage = boolField(*body, "outage", Current.Outage);
  Current.Silent = boolField(*body, "silent", Current.Silent);
  Current.Delay = Millis(numberField(*body, "delay_ms", Current.Delay.count()));
  Current.LoseAnswers = numberField(*body, "lose_answers", Current.LoseAnswers);
  if (body->contains("refuse_from")) {
    const auto from = textsField(*body, "refuse_from");
    Current.RefuseFrom = {from.begin(), from.end()};
  }
  if (body->contains("vms") && (*body)["vms"].is_array())
    Vms.replace((*body)["vms"], now);
  for (const auto &id : textsField(*body, "mark_leaving"))
    Vms.markLeaving(id, now);
  for (const auto &id : textsField(*body, "remove_vms"))
    Vms.remove(id, now);
  responder.send({200, "{}"});
}

void PlatformService::answer(const HttpRequest &request,
                             const HttpResponder &responder,
                             const HttpResponse &response) {
  if (unanswered(request))
    Unanswered.push_back(responder);
  else if (Current.Outage)
    responder.send(error(503, "outage"));
  else
    responder.send(response);
}

bool PlatformService::unanswered(const HttpRequest &request) const {
  return Current.Silent || Current.RefuseFrom.contains(request.Peer);
}

bool PlatformService::takeAppendBudget() {
  const std::int64_t second =
      std::chrono::duration_cast<Seconds>(monoNow().time_since_epoch()).count();
  if (second != CountedSecond) {
    CountedSecond = second;
    AppendsInSecond = 0;
  }
  if (AppendsInSecond >= MaxAppendsPerSecond)
    return false;
  ++AppendsInSecond;
  return true;
}

} // namespace citrongap::standins
