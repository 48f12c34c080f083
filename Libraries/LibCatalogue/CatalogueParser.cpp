#include <LibCatalogue/CatalogueParser.h>

#include <LibCatalogue/CatalogueParts.h>
#include <LibYaml/MapReader.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <limits>
#include <map>
#include <set>
#include <span>

namespace wigeonlift {

namespace {

constexpr std::int64_t FormatNumber = 1;
constexpr double MaxExtraPercentOverDepth = 18;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
constexpr std::int64_t MaxCount = 10'000'000;

bool isHeaderName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_';
  });
}

Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds{count}; }

std::string headerName(MapReader &reader, std::string_view key) {
  std::string name = reader.text(key);
  if (!isHeaderName(name))
    reader.reject(key, DocumentRule::IsHeaderName);
  return name;
}

std::string uniqueName(MapReader &reader, std::set<std::string> &names) {
  std::string name = reader.text("name");
  if (!names.insert(name).second)
    reader.reject("name", DocumentRule::IsUnique);
  return name;
}

FleetSpec readFleet(MapReader reader) {
  FleetSpec fleet;
  fleet.MaxEntryVms = static_cast<int>(reader.integer("max_entry_vms", 1, 10'000));
  fleet.PermissionLifetime = milliseconds(reader.integer("permission_ms", 100, 3000, 2500));
  reader.rejectUnknownKeys();
  return fleet;
}

DialectSpec readDialect(MapReader &reader, std::set<std::string> &names) {
  constexpr std::array<std::string_view, 3> units{"us", "ms", "s"};
  constexpr std::array<Duration, 3> lengths{std::chrono::microseconds{1},
                                            std::chrono::milliseconds{1}, std::chrono::seconds{1}};
  DialectSpec dialect;
  dialect.Name = uniqueName(reader, names);
  dialect.OwnerHeader = headerName(reader, "owner");
  dialect.DeadlineHeader = headerName(reader, "deadline");
  dialect.DeadlineUnit = lengths[reader.word("deadline_unit", units, 1)];
  dialect.RequestIdHeader = headerName(reader, "request_id");
  dialect.ClassHeader = headerName(reader, "class");
  reader.rejectUnknownKeys();
  return dialect;
}

ProbeBudgetSpec readMeasuring(MapReader reader) {
  ProbeBudgetSpec measuring;
  measuring.ProbesPerSecond = reader.number("probes_per_second", 0, 1e6);
  measuring.ProbesPerSecondPerUpstream = reader.number("probes_per_second_per_upstream", 0, 1e6);
  measuring.Window = milliseconds(reader.integer("window_ms", 100, 600'000, 10'000));
  reader.rejectUnknownKeys();
  return measuring;
}

ServiceSpec readService(MapReader &reader, std::set<std::string> &names) {
  ServiceSpec service;
  service.Name = uniqueName(reader, names);
  service.Slots = static_cast<int>(reader.integer("slots", 1, 10'000));
  service.ConnectionsPerUpstream =
      static_cast<int>(reader.integer("connections_per_upstream", 1, 100'000));
  service.CallDepth = static_cast<int>(reader.integer("call_depth", 1, 16, 1));
  service.RetryPercent = reader.number("retry_percent", 0, MaxExtraPercentOverDepth);
  service.HedgePercent = reader.number("hedge_percent", 0, MaxExtraPercentOverDepth);
  const double extraPercent = service.RetryPercent + service.HedgePercent;
  if (extraPercent * service.CallDepth > MaxExtraPercentOverDepth)
    reader.reject("call_depth", DocumentRule::ExtraWithinDepth);
  service.ProbeBudget = readMeasuring(reader.map("measuring"));
  reader.rejectUnknownKeys();
  return service;
}

EntryLimits readLimits(MapReader reader) {
  EntryLimits limits;
  limits.CallsPerSecond = reader.number("calls_per_second", 0, 1e7);
  limits.InFlight = static_cast<int>(reader.integer("in_flight", 1, MaxCount));
  limits.Queue = static_cast<int>(reader.integer("queue", 0, MaxCount));
  limits.Deadline = milliseconds(reader.integer("deadline_ms", 1, MaxDeadlineMs));
  reader.rejectUnknownKeys();
  return limits;
}

/// What can only be judged when all parts are read.
struct EntryReferences {
  std::string Service;
  /// Recorded when no service has that name.
  DocumentError UnknownService;
  /// Recorded when the owner has another entry with the prefix.
  DocumentError RepeatedPrefix;
};

/// A catalogue that is being read, one document after the other.
struct Draft {
  Catalogue &Value;
  DocumentErrors &Errors;
  std::set<std::string> ServiceNames;
  std::set<std::string> EntryNames;
  std::vector<EntryReferences> References;
  /// The root's list of parts breaks a rule, so the parts can't be compared with it.
  bool HasInvalidPartList = false;
};

EntrySpec readEntry(MapReader &reader, std::set<std::string> &names, EntryReferences &references) {
  constexpr std::array<std::string_view, 3> classes{"idempotent", "non_idempotent", "export"};
  EntrySpec entry;
  entry.Name = uniqueName(reader, names);
  entry.Owner = reader.text("owner");
  references.Service = reader.text("service");
  references.UnknownService = reader.errorAt("service", DocumentRule::RefersToService);
  entry.PathPrefix = reader.text("path_prefix");
  references.RepeatedPrefix = reader.errorAt("path_prefix", DocumentRule::IsUnique);
  if (!entry.PathPrefix.starts_with('/'))
    reader.reject("path_prefix", DocumentRule::IsPath);
  entry.Class = static_cast<CallClass>(reader.word("class", classes));
  entry.Limits = readLimits(reader.map("limits"));
  reader.rejectUnknownKeys();
  return entry;
}

void readItems(MapReader &reader, bool areRequired, std::string_view part, Draft &draft) {
  for (MapReader &it : reader.list("services", areRequired))
    draft.Value.Services.push_back(readService(it, draft.ServiceNames));
  for (MapReader &it : reader.list("entries", areRequired)) {
    EntryReferences &references = draft.References.emplace_back();
    draft.Value.Entries.push_back(readEntry(it, draft.EntryNames, references));
    references.UnknownService.Part = part;
    references.RepeatedPrefix.Part = part;
  }
}

/// The parts that the root names. The tree of the document is freed on return.
std::vector<CataloguePart> readRoot(std::string_view root, std::string_view document,
                                    Draft &draft) {
  MapReader reader = MapReader::parse(root, draft.Errors);
  reader.integer("format", FormatNumber, FormatNumber);
  const std::int64_t number =
      reader.integer("version", 1, std::numeric_limits<std::int64_t>::max());
  Catalogue &catalogue = draft.Value;
  catalogue.Version = CatalogueVersion::of(static_cast<std::uint64_t>(number), document);
  catalogue.Fleet = readFleet(reader.map("fleet"));
  std::set<std::string> dialectNames;
  for (MapReader &it : reader.list("dialects", false))
    catalogue.Dialects.push_back(readDialect(it, dialectNames));
  const std::size_t errors = draft.Errors.size();
  std::vector<CataloguePart> parts = readPartList(reader);
  draft.HasInvalidPartList = draft.Errors.size() != errors;
  readItems(reader, parts.empty(), "", draft);
  reader.rejectUnknownKeys();
  return parts;
}

void readPart(const CatalogueSection &section, Draft &draft) {
  DocumentErrors errors;
  MapReader reader = MapReader::parse(section.Text, errors);
  readItems(reader, false, section.Key, draft);
  reader.rejectUnknownKeys();
  for (DocumentError &it : errors) {
    it.Part = section.Key;
    draft.Errors.push_back(std::move(it));
  }
}

void resolveReferences(Draft &draft) {
  std::map<std::string_view, std::uint32_t> services;
  for (const ServiceSpec &it : draft.Value.Services)
    services.emplace(it.Name, static_cast<std::uint32_t>(services.size()));
  // Two entries of one owner with one prefix would make the match depend on their order.
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (std::size_t n = 0; n < draft.References.size(); ++n) {
    const EntryReferences &references = draft.References[n];
    EntrySpec &entry = draft.Value.Entries[n];
    if (const auto it = services.find(references.Service); it != services.end())
      entry.Service = it->second;
    else
      draft.Errors.push_back(references.UnknownService);
    if (!seen.emplace(entry.Owner, entry.PathPrefix).second)
      draft.Errors.push_back(references.RepeatedPrefix);
  }
}

void readCatalogue(std::string_view document, Draft &draft) {
  const std::vector<CatalogueSection> sections = splitCatalogue(document);
  const std::vector<CataloguePart> parts = readRoot(sections.front().Text, document, draft);
  // Errors in the parts would only repeat that the list of parts is wrong.
  if (draft.HasInvalidPartList)
    return;
  if (!parts.empty() && !verifyParts(sections, parts, draft.Errors))
    return;
  if (!parts.empty())
    for (const CatalogueSection &it : std::span{sections}.subspan(1))
      readPart(it, draft);
  resolveReferences(draft);
}

} // namespace

ParsedCatalogue parseCatalogue(std::string_view document) {
  ParsedCatalogue result;
  if (document.size() > MaxCatalogueBytes) {
    result.Errors.push_back({0, "", DocumentRule::WithinSize});
    return result;
  }
  auto catalogue = std::make_shared<Catalogue>();
  Draft draft{*catalogue, result.Errors, {}, {}, {}, false};
  readCatalogue(document, draft);
  if (!result.Errors.empty())
    return result;
  catalogue->Document = document;
  result.Value = std::move(catalogue);
  return result;
}

} // namespace wigeonlift
