#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// State and counters of one upstream, for the state dump and metrics.
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
  /// Remaining time of the permission to send new work.
  Duration PermissionLeft{};
  int OwnInFlight = 0;
  /// Estimated number of calls in flight from other VMs.
  double OthersInFlight = 0;
  std::optional<LoadReport> LastReport;
  /// Time since the last report was observed.
  Duration ReportAge{};
  /// Smoothed ratio of the service time to the typical one of the service.
  double LatencyRatio = 1;
  std::uint64_t Attempts = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Probes = 0;
};

struct UpstreamSpec;
class UpstreamTable;
/// Snapshot of an upstream. The caller must set `Probes`, which the table does not hold.
UpstreamSnapshot snapshotOf(const UpstreamTable &table, UpstreamIndex n, const UpstreamSpec &spec,
                            TimePoint now);

/// State and counters of one catalogue entry, for the state dump, metrics and the sharing of limits
/// between VMs.
struct EntrySnapshot {
  std::uint32_t Entry = 0;
  std::string Name;
  int Queued = 0;
  int InFlight = 0;
  /// Current limits of this VM, including leased shares.
  double CallsPerSecondLimit = 0;
  int InFlightLimit = 0;
  /// Arrival rate over the last period of at least one second.
  double CallsPerSecond = 0;
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  /// Calls refused by the rate limit, the in-flight limit or a full queue.
  std::uint64_t RefusedByLimit = 0;
  /// Calls refused because the deadline could not be met or expired in the queue.
  std::uint64_t RefusedByDeadline = 0;
  /// Number of queued calls while the first of them waits for the rate limit; otherwise zero.
  int WaitingForRate = 0;
};

/// State and counters of one dispatcher, for the state dump and metrics.
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
