// Reads the settings file; all findings are reported together.
#include "citrongap/daemon/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>

namespace citrongap {

namespace {

constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxTermMs = 600000;
constexpr std::uint64_t MaxBody = 16U << 20U;
constexpr std::uint64_t MaxCount = 1000000;
constexpr std::uint64_t MaxIdleSeconds = 3600;
constexpr std::uint64_t MaxHeldMb = 1U << 16U;

std::string readIp(IniDocument &doc, const std::string &section,
                   const std::string &key, Findings &findings) {
  std::string ip = doc.text(section, key, findings);
  in_addr parsed{};
  if (!ip.empty() && inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
    findings.add(doc.locationOf(section, key),
                 fmt::format("is '{}', not an IP number", ip));
  return ip;
}

std::uint16_t readPort(IniDocument &doc, const std::string &section,
                       const std::string &key, Findings &findings) {
  return static_cast<std::uint16_t>(
      doc.number(section, key, 1, MaxPort, std::nullopt, findings));
}

Millis readTerm(IniDocument &doc, const std::string &key, Millis fallback,
                Findings &findings) {
  const auto n =
      doc.number("terms", key, 1, MaxTermMs,
                 static_cast<std::uint64_t>(fallback.count()), findings);
  return Millis(static_cast<std::int64_t>(n));
}

PodTerms readTerms(IniDocument &doc, Findings &findings) {
  PodTerms terms;
  terms.LeaseTerm = readTerm(doc, "lease_ms", terms.LeaseTerm, findings);
  terms.TaskTerm = readTerm(doc, "task_ms", terms.TaskTerm, findings);
  terms.SyncWait = readTerm(doc, "sync_wait_ms", terms.SyncWait, findings);
  terms.StartBy = readTerm(doc, "start_by_ms", terms.StartBy, findings);
  terms.MemberLossAfter =
      readTerm(doc, "member_loss_ms", terms.MemberLossAfter, findings);
  if (terms.TaskTerm < 2 * terms.LeaseTerm)
    findings.add(
        doc.locationOf("terms", "task_ms"),
        "must be at least twice lease_ms, or no successor can adopt a gang");
  if (2 * terms.SyncWait > terms.LeaseTerm)
    findings.add(
        doc.locationOf("terms", "sync_wait_ms"),
        "must be at most half of lease_ms, or leases lapse between syncs");
  if (terms.MemberLossAfter >= terms.TaskTerm)
    findings.add(doc.locationOf("terms", "member_loss_ms"),
                 "must be below task_ms");
  return terms;
}

} // namespace

Checked<Settings> readSettings(IniDocument doc) {
  Findings findings;
  Settings out;
  out.Self = EntryVmId(doc.text("entry_vm", "id", findings));
  out.DataCentre = DataCentreId(doc.text("entry_vm", "data_centre", findings));
  const std::string ip = readIp(doc, "entry_vm", "ip", findings);
  out.Http = {ip, readPort(doc, "entry_vm", "http_port", findings)};
  out.Peer = {ip, readPort(doc, "entry_vm", "peer_port", findings)};
  out.Platform.Ip = readIp(doc, "platform", "ip", findings);
  out.Platform.Port = readPort(doc, "platform", "port", findings);
  out.Limits.MaxBodyBytes =
      doc.number("limits", "max_body_bytes", 1024, MaxBody,
                 out.Limits.MaxBodyBytes, findings);
  out.Limits.MaxConnections =
      doc.number("limits", "max_connections", 1, MaxCount,
                 out.Limits.MaxConnections, findings);
  const auto idle = doc.number(
      "limits", "idle_seconds", 1, MaxIdleSeconds,
      static_cast<std::uint64_t>(out.Limits.IdleTimeout.count()), findings);
  out.Limits.IdleTimeout = Seconds(static_cast<std::int64_t>(idle));
  // At least several of the largest bodies, each of which is held twice.
  constexpr std::uint64_t HeldBodies = 8;
  const std::uint64_t heldMb =
      doc.number("limits", "held_mb", 1, MaxHeldMb,
                 std::max<std::uint64_t>(
                     out.HeldBytes, HeldBodies * out.Limits.MaxBodyBytes) >>
                     20U,
                 findings);
  out.HeldBytes = heldMb << 20U;
  out.MaxOpenRequests = doc.number("limits", "max_open_requests", 1, MaxCount,
                                   out.MaxOpenRequests, findings);
  out.Terms = readTerms(doc, findings);
  doc.reportUnknown(findings);
  if (!findings.empty())
    return findings;
  return out;
}

Checked<Settings> readSettingsFile(const std::string &path) {
  Findings findings;
  IniDocument doc = IniDocument::fromFile(path, findings);
  if (!findings.empty())
    return findings;
  return readSettings(std::move(doc));
}

} // namespace citrongap
