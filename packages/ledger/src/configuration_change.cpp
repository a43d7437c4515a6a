// JSON bodies of configuration records, and differences of configurations.
#include "citrongap/ledger/configuration_change.h"

#include "citrongap/base/outcome.h"
#include "json_fields.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

using Json = nlohmann::json;

/// Entries of one snapshot part take at most this; the rest is its head.
constexpr std::size_t MaxPartEntryBytes = 60U << 10U;

constexpr const char *ListNames[] = {"accounts", "plans", "data_centres"};

const char *listName(ConfigurationList list) {
  return ListNames[static_cast<std::size_t>(list)];
}

std::optional<ConfigurationList> listFrom(const std::string &name) {
  for (const auto it : {ConfigurationList::Accounts, ConfigurationList::Plans,
                        ConfigurationList::DataCentres})
    if (name == listName(it))
      return it;
  return std::nullopt;
}

Json entryJson(const ConfigurationEntry &entry) {
  return std::visit(
      Overloaded{[](const AccountEntry &it) -> Json {
                   return {{"plan", it.Plan.str()}};
                 },
                 [](const PlanEntry &it) -> Json {
                   return {{"guaranteed", formatShapes(it.Guaranteed)},
                           {"weight", it.Weight},
                           {"urgent_per_hour", it.UrgentPerHour},
                           {"max_queued", it.MaxQueued},
                           {"requests_per_second", it.RequestsPerSecond},
                           {"largest_gang", it.LargestGang.Count}};
                 },
                 [](const DataCentreEntry &it) -> Json {
                   return {{"racks", it.Racks},
                           {"servers_per_rack", it.ServersPerRack},
                           {"accelerators_per_server", it.PerServer.Count}};
                 }},
      entry);
}

std::uint32_t positive(FieldReader &in, const char *name) {
  const auto n = in.number<std::uint32_t>(name);
  if (n == 0)
    in.reject();
  return n;
}

AccountEntry readAccount(FieldReader &in, const std::string &name) {
  return {ClientAccountId(name), PlanId(in.text("plan"))};
}

PlanEntry readPlan(FieldReader &in, const std::string &name) {
  PlanEntry plan;
  plan.Plan = PlanId(name);
  Findings findings;
  plan.Guaranteed = parseShapes(in.text("guaranteed"), name, findings);
  if (!findings.empty())
    in.reject();
  plan.Weight = positive(in, "weight");
  plan.UrgentPerHour = in.number<std::uint32_t>("urgent_per_hour");
  plan.MaxQueued = positive(in, "max_queued");
  plan.RequestsPerSecond = positive(in, "requests_per_second");
  plan.LargestGang.Count = positive(in, "largest_gang");
  return plan;
}

DataCentreEntry readDataCentre(FieldReader &in, const std::string &name) {
  DataCentreEntry entry;
  entry.DataCentre = DataCentreId(name);
  entry.Racks = positive(in, "racks");
  entry.ServersPerRack = positive(in, "servers_per_rack");
  entry.PerServer.Count = positive(in, "accelerators_per_server");
  return entry;
}

Json changeJson(const EntryChange &change) {
  return {{"list", listName(change.List)},
          {"name", change.Name},
          {"value", change.Value ? entryJson(*change.Value) : Json()}};
}

std::optional<EntryChange> readChange(const Json &json) {
  FieldReader in(json);
  EntryChange change;
  const auto list = listFrom(in.text("list"));
  change.Name = in.text("name");
  const Json *value = in.find("value");
  if (!in.ok() || !list || !value || change.Name.empty())
    return std::nullopt;
  change.List = *list;
  if (value->is_null())
    return change;
  FieldReader fields(*value);
  switch (*list) {
  case ConfigurationList::Accounts:
    change.Value = readAccount(fields, change.Name);
    break;
  case ConfigurationList::Plans:
    change.Value = readPlan(fields, change.Name);
    break;
  case ConfigurationList::DataCentres:
    change.Value = readDataCentre(fields, change.Name);
    break;
  }
  return fields.ok() ? std::optional(change) : std::nullopt;
}

/// Null when any element is broken.
std::optional<std::vector<EntryChange>> readChanges(const Json &array) {
  std::vector<EntryChange> changes;
  for (const Json &it : array) {
    auto change = readChange(it);
    if (!change)
      return std::nullopt;
    changes.push_back(std::move(*change));
  }
  return changes;
}

Json changesJson(const std::vector<EntryChange> &changes) {
  Json array = Json::array();
  for (const EntryChange &it : changes)
    array.push_back(changeJson(it));
  return array;
}

template <typename Map>
void addDifference(const Map &from, const Map &to, ConfigurationList list,
                   std::vector<EntryChange> &out) {
  for (const auto &[id, entry] : from)
    if (!to.contains(id))
      out.push_back({list, id.str(), std::nullopt});
  for (const auto &[id, entry] : to) {
    const auto it = from.find(id);
    if (it == from.end() || it->second != entry)
      out.push_back({list, id.str(), entry});
  }
}

template <typename Entry, typename Map, typename Id>
std::optional<ConfigurationEntry>
exchangeEntry(Map &map, const Id &id,
              const std::optional<ConfigurationEntry> &value) {
  std::optional<ConfigurationEntry> previous;
  const auto it = map.find(id);
  if (it != map.end())
    previous = it->second;
  if (value)
    map[id] = std::get<Entry>(*value);
  else if (it != map.end())
    map.erase(it);
  return previous;
}

ConfigurationRecord readChangeRecord(FieldReader &in) {
  ConfigurationChange change;
  change.Id = in.text("id");
  change.Base = Revision(in.number("base"));
  change.Operator = in.text("operator");
  auto changes = readChanges(in.array("changes"));
  if (!in.ok() || !changes)
    return BrokenRecord{"a change with missing or mistyped fields"};
  change.Changes = std::move(*changes);
  return change;
}

ConfigurationRecord readPartRecord(FieldReader &in) {
  SnapshotPart part;
  part.Id = in.text("id");
  part.Next = LogOffset(in.number("next"));
  part.At = Revision(in.number("revision"));
  part.Part = in.number<std::uint32_t>("part");
  part.Parts = in.number<std::uint32_t>("parts");
  auto entries = readChanges(in.array("entries"));
  if (!in.ok() || !entries || part.Part >= part.Parts)
    return BrokenRecord{"a snapshot part with missing or mistyped fields"};
  part.Entries = std::move(*entries);
  return part;
}

Json partJson(const ConfigurationSnapshot &snapshot, const std::string &id,
              Json entries) {
  return {{"kind", "snapshot"},
          {"id", id},
          {"next", snapshot.Next.value()},
          {"revision", snapshot.At.value()},
          {"entries", std::move(entries)}};
}

} // namespace

std::vector<EntryChange> difference(const Configuration &from,
                                    const Configuration &to) {
  std::vector<EntryChange> out;
  addDifference(from.Accounts, to.Accounts, ConfigurationList::Accounts, out);
  addDifference(from.Plans, to.Plans, ConfigurationList::Plans, out);
  addDifference(from.DataCentres, to.DataCentres,
                ConfigurationList::DataCentres, out);
  return out;
}

EntryChange applyEntry(Configuration &lists, const EntryChange &change) {
  EntryChange previous{change.List, change.Name, std::nullopt};
  switch (change.List) {
  case ConfigurationList::Accounts:
    previous.Value = exchangeEntry<AccountEntry>(
        lists.Accounts, ClientAccountId(change.Name), change.Value);
    break;
  case ConfigurationList::Plans:
    previous.Value = exchangeEntry<PlanEntry>(lists.Plans, PlanId(change.Name),
                                              change.Value);
    break;
  case ConfigurationList::DataCentres:
    previous.Value = exchangeEntry<DataCentreEntry>(
        lists.DataCentres, DataCentreId(change.Name), change.Value);
    break;
  }
  return previous;
}

std::string encodeChange(const ConfigurationChange &change) {
  return dumpRecord({{"kind", "change"},
                     {"id", change.Id},
                     {"base", change.Base.value()},
                     {"operator", change.Operator},
                     {"changes", changesJson(change.Changes)}});
}

std::vector<std::string> encodeParts(const ConfigurationSnapshot &snapshot,
                                     const std::string &id) {
  std::vector<Json> parts(1, Json::array());
  std::size_t bytes = 0;
  for (const EntryChange &it : difference({}, snapshot.Lists)) {
    Json entry = changeJson(it);
    const std::size_t n = dumpRecord(entry).size() + 1;
    if (bytes + n > MaxPartEntryBytes) {
      parts.push_back(Json::array());
      bytes = 0;
    }
    bytes += n;
    parts.back().push_back(std::move(entry));
  }
  std::vector<std::string> bodies;
  for (Json &it : parts) {
    Json json = partJson(snapshot, id, std::move(it));
    json["part"] = bodies.size();
    json["parts"] = parts.size();
    bodies.push_back(dumpRecord(json));
  }
  return bodies;
}

ConfigurationRecord decodeRecord(const std::string &body) {
  const auto json = parseRecord(body);
  if (!json)
    return BrokenRecord{"not a JSON object"};
  FieldReader in(*json);
  const std::string kind = in.text("kind");
  if (kind == "change")
    return readChangeRecord(in);
  if (kind == "snapshot")
    return readPartRecord(in);
  return BrokenRecord{"an unknown kind of record"};
}

std::string encodeSnapshot(const ConfigurationSnapshot &snapshot) {
  return dumpRecord(
      partJson(snapshot, "", changesJson(difference({}, snapshot.Lists))));
}

std::optional<ConfigurationSnapshot> decodeSnapshot(const std::string &text) {
  const auto json = parseRecord(text);
  if (!json)
    return std::nullopt;
  FieldReader in(*json);
  ConfigurationSnapshot snapshot;
  snapshot.Next = LogOffset(in.number("next"));
  snapshot.At = Revision(in.number("revision"));
  const auto entries = readChanges(in.array("entries"));
  if (!in.ok() || !entries)
    return std::nullopt;
  for (const EntryChange &it : *entries)
    applyEntry(snapshot.Lists, it);
  return snapshot;
}

} // namespace citrongap
