#pragma once

#include <LibBase/LibBase.h>
#include <LibCatalogue/CatalogueVersion.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Limits of the whole fleet.
struct FleetSpec {
  /// Upper bound of entry processes at any instant, replacements included.
  int MaxEntryVms = 16;
  /// Life of the permission to send new work to an upstream.
  Duration PermissionLifetime{};
};

/// How one group of callers spells the properties of a call.
struct DialectSpec {
  std::string Name;
  std::string OwnerHeader;
  std::string DeadlineHeader;
  /// Length of one unit of the deadline header.
  Duration DeadlineUnit{};
  std::string RequestIdHeader;
  std::string ClassHeader;
};

/// Budget of the work of measuring upstream load, for the whole fleet.
struct ProbeBudgetSpec {
  double ProbesPerSecond = 0;
  double ProbesPerSecondPerUpstream = 0;
  /// The budget holds in each window of this length.
  Duration Window{};
};

/// A group of upstreams that serve the same work.
struct ServiceSpec {
  std::string Name;
  /// Calls that one upstream runs at a time.
  int Slots = 1;
  /// Connections to one upstream, over all entry VMs.
  int ConnectionsPerUpstream = 1;
  /// Levels of calls from this service downwards, itself included.
  int CallDepth = 1;
  /// Retries and hedges, as a percentage of the first attempts.
  double RetryPercent = 0;
  double HedgePercent = 0;
  ProbeBudgetSpec ProbeBudget;
};

/// Limits of one entry, for the whole fleet.
struct EntryLimits {
  double CallsPerSecond = 0;
  int InFlight = 0;
  int Queue = 0;
  /// Deadline of calls that bring none; also the longest that a caller may ask for.
  Duration Deadline{};
};

/// One entry of the catalogue: an owner, a class of work and the limits it may use.
struct EntrySpec {
  std::string Name;
  std::string Owner;
  /// Position of the service in the catalogue.
  std::uint32_t Service = 0;
  std::string PathPrefix;
  CallClass Class = CallClass::Idempotent;
  EntryLimits Limits;
};

/// A valid catalogue. Immutable after parsing; shared between tasks.
class Catalogue {
public:
  CatalogueVersion Version;
  FleetSpec Fleet;
  std::vector<DialectSpec> Dialects;
  std::vector<ServiceSpec> Services;
  std::vector<EntrySpec> Entries;
  /// The document itself, as peers pass it on.
  std::string Document;

  /// The entry with the longest path prefix whose owner is the given one; null when none matches.
  /// An empty owner matches entries of any owner.
  const EntrySpec *match(std::string_view path, std::string_view owner) const;
  /// The service of that name; null when there is none.
  const ServiceSpec *service(std::string_view name) const;
};

} // namespace wigeonlift
