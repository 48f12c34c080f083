#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Figures of one upstream, for the state dump and metrics.
struct UpstreamSnapshot {
  UpstreamIndex Upstream;
  std::string Name;
  std::string Address;
  bool IsListed = false;
  bool IsLeaving = false;
  bool IsDraining = false;
  bool IsInSubset = false;
  bool IsPermitted = false;
  bool IsEjected = false;
  /// Time left of the permission to send new work.
  Duration PermissionLeft{};
  int OwnInFlight = 0;
  /// Estimated calls of other VMs.
  double OthersInFlight = 0;
  std::optional<LoadReport> LastReport;
  /// Age of the last report, from its receipt.
  Duration ReportAge{};
  /// Smoothed latency over what is typical of the service.
  double LatencyRatio = 1;
  std::uint64_t Attempts = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Probes = 0;
};

struct UpstreamSpec;
class UpstreamTable;
/// Figures of an upstream, but for those of its probes.
UpstreamSnapshot figuresOf(const UpstreamTable &table, UpstreamIndex n, const UpstreamSpec &spec,
                           TimePoint now);

/// Figures of one catalogue entry, for the state dump, metrics and the sharing of limits.
struct EntrySnapshot {
  std::uint32_t Entry = 0;
  std::string Name;
  int Queued = 0;
  int InFlight = 0;
  /// What this VM may use at present, lent shares included.
  double CallsPerSecondLimit = 0;
  int InFlightLimit = 0;
  /// Calls that arrived in the last whole second.
  double CallsPerSecond = 0;
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  /// Refused for the rate limit, the in-flight limit or the queue.
  std::uint64_t RefusedByLimit = 0;
  /// Refused because the deadline could not be met, or expired in the queue.
  std::uint64_t RefusedByDeadline = 0;
  /// Queued calls that wait for the rate limit.
  int WaitingForRate = 0;
};

/// Figures of one dispatcher.
struct DispatcherState {
  std::string Service;
  std::vector<UpstreamSnapshot> Upstreams;
  std::vector<EntrySnapshot> Entries;
  int Calls = 0;
  int AttemptsRunning = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgeWins = 0;
  std::uint64_t Probes = 0;
  int ProbesPerWindow = 0;
  /// Time after which a call is hedged; zero while too few latencies are known.
  Duration HedgeDelay{};
};

} // namespace wigeonlift
