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

constexpr std::int64_t SupportedFormat = 1;
/// Upper bound of retries and hedges, summed over all levels of nested calls, as a percentage of
/// the first attempts. It covers all levels because the extra attempts of each level multiply those
/// of the levels above.
constexpr double MaxExtraAttemptPercent = 18;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
constexpr std::int64_t MaxCallsOfEntry = 10'000'000;

bool isHeaderName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_';
  });
}

Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds{count}; }

std::string readHeaderName(MapReader &reader, std::string_view key) {
  std::string name = reader.text(key);
  if (!isHeaderName(name))
    reader.reject(key, DocumentRule::IsHeaderName);
  return name;
}

std::string readUniqueName(MapReader &reader, std::set<std::string> &names) {
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
  constexpr std::array<Duration, 3> unitDurations{
      std::chrono::microseconds{1}, std::chrono::milliseconds{1}, std::chrono::seconds{1}};
  DialectSpec dialect;
  dialect.Name = readUniqueName(reader, names);
  dialect.OwnerHeader = readHeaderName(reader, "owner");
  dialect.DeadlineHeader = readHeaderName(reader, "deadline");
  dialect.DeadlineUnit = unitDurations[reader.word("deadline_unit", units, 1)];
  dialect.RequestIdHeader = readHeaderName(reader, "request_id");
  dialect.ClassHeader = readHeaderName(reader, "class");
  reader.rejectUnknownKeys();
  return dialect;
}

ProbeBudgetSpec readProbeBudget(MapReader reader) {
  ProbeBudgetSpec budget;
  budget.ProbesPerSecond = reader.number("probes_per_second", 0, 1e6);
  budget.ProbesPerSecondPerUpstream = reader.number("probes_per_second_per_upstream", 0, 1e6);
  budget.Window = milliseconds(reader.integer("window_ms", 100, 600'000, 10'000));
  reader.rejectUnknownKeys();
  return budget;
}

ServiceSpec readService(MapReader &reader, std::set<std::string> &names) {
  ServiceSpec service;
  service.Name = readUniqueName(reader, names);
  service.Slots = static_cast<int>(reader.integer("slots", 1, 10'000));
  service.ConnectionsPerUpstream =
      static_cast<int>(reader.integer("connections_per_upstream", 1, 100'000));
  service.CallDepth = static_cast<int>(reader.integer("call_depth", 1, 16, 1));
  service.RetryPercent = reader.number("retry_percent", 0, MaxExtraAttemptPercent);
  service.HedgePercent = reader.number("hedge_percent", 0, MaxExtraAttemptPercent);
  const double extraAttemptPercent = service.RetryPercent + service.HedgePercent;
  if (extraAttemptPercent * service.CallDepth > MaxExtraAttemptPercent)
    reader.reject("call_depth", DocumentRule::ExtraWithinDepth);
  service.ProbeBudget = readProbeBudget(reader.map("measuring"));
  reader.rejectUnknownKeys();
  return service;
}

EntryLimits readLimits(MapReader reader) {
  EntryLimits limits;
  limits.CallsPerSecond = reader.number("calls_per_second", 0, 1e7);
  limits.InFlight = static_cast<int>(reader.integer("in_flight", 1, MaxCallsOfEntry));
  limits.Queue = static_cast<int>(reader.integer("queue", 0, MaxCallsOfEntry));
  limits.Deadline = milliseconds(reader.integer("deadline_ms", 1, MaxDeadlineMs));
  reader.rejectUnknownKeys();
  return limits;
}

/// Data for the checks of an entry that need all services and entries to be read first.
struct DeferredEntryChecks {
  /// Name of the service that the entry refers to.
  std::string ServiceName;
  /// Reported when no service has that name.
  DocumentError UnknownServiceError;
  /// Reported when an earlier entry has the same owner and path prefix.
  DocumentError RepeatedPrefixError;
};

/// State of parsing the root and then its parts into one catalogue.
struct ParseState {
  Catalogue &Result;
  DocumentErrors &Errors;
  std::set<std::string> ServiceNames;
  std::set<std::string> EntryNames;
  std::vector<DeferredEntryChecks> EntryChecks;
  /// The part list of the root breaks a rule, so the parts can't be checked against it.
  bool IsPartListInvalid = false;
};

EntrySpec readEntry(MapReader &reader, std::set<std::string> &names, DeferredEntryChecks &checks) {
  constexpr std::array<std::string_view, 3> classes{"idempotent", "non_idempotent", "export"};
  EntrySpec entry;
  entry.Name = readUniqueName(reader, names);
  entry.Owner = reader.text("owner");
  checks.ServiceName = reader.text("service");
  checks.UnknownServiceError = reader.errorAt("service", DocumentRule::RefersToService);
  entry.PathPrefix = reader.text("path_prefix");
  checks.RepeatedPrefixError = reader.errorAt("path_prefix", DocumentRule::IsUnique);
  if (!entry.PathPrefix.starts_with('/'))
    reader.reject("path_prefix", DocumentRule::IsPath);
  entry.Class = static_cast<CallClass>(reader.word("class", classes));
  entry.Limits = readLimits(reader.map("limits"));
  reader.rejectUnknownKeys();
  return entry;
}

void readServicesAndEntries(MapReader &reader, bool areRequired, std::string_view partKey,
                            ParseState &state) {
  for (MapReader &it : reader.list("services", areRequired))
    state.Result.Services.push_back(readService(it, state.ServiceNames));
  for (MapReader &it : reader.list("entries", areRequired)) {
    DeferredEntryChecks &checks = state.EntryChecks.emplace_back();
    state.Result.Entries.push_back(readEntry(it, state.EntryNames, checks));
    checks.UnknownServiceError.Part = partKey;
    checks.RepeatedPrefixError.Part = partKey;
  }
}

/// Reads the root and returns its part list. The YAML tree of the root is freed on return, before
/// the parts are parsed.
std::vector<CataloguePart> readRoot(std::string_view root, std::string_view document,
                                    ParseState &state) {
  MapReader reader = MapReader::parse(root, state.Errors);
  reader.integer("format", SupportedFormat, SupportedFormat);
  const std::int64_t versionNumber =
      reader.integer("version", 1, std::numeric_limits<std::int64_t>::max());
  Catalogue &catalogue = state.Result;
  catalogue.Version = CatalogueVersion::of(static_cast<std::uint64_t>(versionNumber), document);
  catalogue.Fleet = readFleet(reader.map("fleet"));
  std::set<std::string> dialectNames;
  for (MapReader &it : reader.list("dialects", false))
    catalogue.Dialects.push_back(readDialect(it, dialectNames));
  const std::size_t errorCountBefore = state.Errors.size();
  std::vector<CataloguePart> parts = readPartList(reader);
  state.IsPartListInvalid = state.Errors.size() != errorCountBefore;
  readServicesAndEntries(reader, parts.empty(), "", state);
  reader.rejectUnknownKeys();
  return parts;
}

void readPart(const CatalogueSection &section, ParseState &state) {
  DocumentErrors errors;
  MapReader reader = MapReader::parse(section.Text, errors);
  readServicesAndEntries(reader, false, section.Key, state);
  reader.rejectUnknownKeys();
  for (DocumentError &it : errors) {
    it.Part = section.Key;
    state.Errors.push_back(std::move(it));
  }
}

void runDeferredChecks(ParseState &state) {
  std::map<std::string_view, std::uint32_t> services;
  for (const ServiceSpec &it : state.Result.Services)
    services.emplace(it.Name, static_cast<std::uint32_t>(services.size()));
  // With two entries of the same owner and prefix, the match would depend on their order.
  std::set<std::pair<std::string_view, std::string_view>> ownersAndPrefixes;
  for (std::size_t n = 0; n < state.EntryChecks.size(); ++n) {
    const DeferredEntryChecks &checks = state.EntryChecks[n];
    EntrySpec &entry = state.Result.Entries[n];
    if (const auto it = services.find(checks.ServiceName); it != services.end())
      entry.Service = it->second;
    else
      state.Errors.push_back(checks.UnknownServiceError);
    if (!ownersAndPrefixes.emplace(entry.Owner, entry.PathPrefix).second)
      state.Errors.push_back(checks.RepeatedPrefixError);
  }
}

void readCatalogue(std::string_view document, ParseState &state) {
  const std::vector<CatalogueSection> sections = splitCatalogue(document);
  const std::vector<CataloguePart> parts = readRoot(sections.front().Text, document, state);
  // With an invalid part list, errors in the parts would only be consequences of it.
  if (state.IsPartListInvalid)
    return;
  if (!parts.empty() && !verifyParts(sections, parts, state.Errors))
    return;
  if (!parts.empty())
    for (const CatalogueSection &it : std::span{sections}.subspan(1))
      readPart(it, state);
  runDeferredChecks(state);
}

} // namespace

ParsedCatalogue parseCatalogue(std::string_view document) {
  ParsedCatalogue result;
  if (document.size() > MaxCatalogueBytes) {
    result.Errors.push_back({0, "", DocumentRule::WithinSize});
    return result;
  }
  auto catalogue = std::make_shared<Catalogue>();
  ParseState state{*catalogue, result.Errors, {}, {}, {}, false};
  readCatalogue(document, state);
  if (!result.Errors.empty())
    return result;
  catalogue->Document = document;
  result.Value = std::move(catalogue);
  return result;
}

} // namespace wigeonlift
