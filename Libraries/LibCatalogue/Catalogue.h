#pragma once

#include <LibBase/LibBase.h>
#include <LibCatalogue/CatalogueVersion.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Settings that apply to the whole fleet of entry VMs.
struct FleetSpec {
  /// Maximum number of entry VMs that run at the same time, including replacements. The fleet-wide
  /// limits are divided by this number to get each VM's own share.
  int MaxEntryVms = 16;
  /// How long an entry VM may send new work to an upstream after the latest evidence that the
  /// upstream accepts work.
  Duration PermissionLifetime{};
};

/// The request headers in which one group of callers sends the properties of a call.
struct DialectSpec {
  std::string Name;
  std::string OwnerHeader;
  std::string DeadlineHeader;
  /// Time unit of the number in the deadline header.
  Duration DeadlineUnit{};
  std::string RequestIdHeader;
  std::string ClassHeader;
};

/// Limits on the probes that measure upstream load, for the whole fleet.
struct ProbeBudgetSpec {
  double ProbesPerSecond = 0;
  double ProbesPerSecondPerUpstream = 0;
  /// Length of the time windows in which probes are counted against both rates.
  Duration Window{};
};

/// A group of upstreams that serve the same kind of request.
struct ServiceSpec {
  std::string Name;
  /// Maximum number of calls that one upstream runs concurrently.
  int Slots = 1;
  /// Maximum number of connections to one upstream, summed over all entry VMs.
  int ConnectionsPerUpstream = 1;
  /// Number of levels of nested calls, counted from the calls to this service downwards.
  int CallDepth = 1;
  /// Maximum numbers of retries and of hedges, each as a percentage of the first attempts.
  double RetryPercent = 0;
  double HedgePercent = 0;
  ProbeBudgetSpec ProbeBudget;
};

/// Limits of one entry, summed over all entry VMs.
struct EntryLimits {
  double CallsPerSecond = 0;
  /// Maximum number of calls that are in flight at the same time.
  int InFlight = 0;
  /// Maximum number of calls that wait in the queue.
  int Queue = 0;
  /// Deadline of calls that specify none; also the longest deadline that a caller may request.
  Duration Deadline{};
};

/// One entry of the catalogue. Assigns a service, a call class and limits to the calls of one owner
/// under a path prefix.
struct EntrySpec {
  std::string Name;
  std::string Owner;
  /// Index of the service in `Catalogue::Services`.
  std::uint32_t Service = 0;
  std::string PathPrefix;
  CallClass Class = CallClass::Idempotent;
  EntryLimits Limits;
};

/// A valid catalogue. It isn't changed after parsing and is shared between tasks.
class Catalogue {
public:
  CatalogueVersion Version;
  FleetSpec Fleet;
  std::vector<DialectSpec> Dialects;
  std::vector<ServiceSpec> Services;
  std::vector<EntrySpec> Entries;
  /// The unchanged text of the document, which peers send to each other.
  std::string Document;

  /// Finds the entry of the owner with the longest path prefix that matches the path; null when
  /// none matches. An empty owner selects entries of any owner.
  const EntrySpec *match(std::string_view path, std::string_view owner) const;
  /// Finds a service by its name; null when there is none.
  const ServiceSpec *service(std::string_view name) const;
};

} // namespace wigeonlift
