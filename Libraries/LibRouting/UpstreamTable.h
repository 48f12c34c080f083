#pragma once

#include <LibRouting/ChoicePolicy.h>
#include <LibRouting/ReportTrust.h>
#include <LibRouting/Upstream.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Properties of a service that routing depends on.
struct RoutingLimits {
  /// Calls that one upstream runs at a time.
  int Slots = 1;
  /// Upper bound of the entry VMs that share the upstreams.
  int EntryVms = 1;
  /// Connections that this VM may use to one upstream.
  int OwnConnections = 1;
  /// Life of the permission to send new work.
  Duration PermissionLifetime{};
};

/// What a call needs of an upstream.
struct CandidateQuery {
  /// Upstreams that are chosen only when there are no others.
  std::span<const UpstreamIndex> Avoided;
  bool IsExport = false;
  /// The upstream must have an idle slot by all that is known.
  bool NeedsIdleSlot = false;
  /// Leaves out ejected upstreams while there are others.
  bool LeavesOutEjected = false;
};

/// Turns that a call takes: the calls per slot of its upstream, itself included, at least 1. Its
/// latency is about so many service times.
struct LatencyEstimate {
  double Expected = 1;
  /// By the last report alone.
  double ByReport = 1;
  /// Without the report.
  double ByMean = 1;
};

/// Upstreams of one service, as one VM sees them.
class UpstreamTable {
public:
  /// VMs with different seeds prefer different upstreams of a large service.
  explicit UpstreamTable(std::uint64_t seed) : Seed(seed) {}

  void setLimits(const RoutingLimits &limits) { Limits = limits; }
  const RoutingLimits &limits() const { return Limits; }
  /// Sets the time in which reports lose all but 1/e of their weight.
  void setReportDecay(Duration decay) { ReportDecay = decay; }
  /// Adds an upstream; the name decides whether it belongs to this VM's subset.
  UpstreamIndex add(std::string_view name);
  /// Chooses the subset anew, after the list or the limits changed.
  void updateSubset();
  std::size_t size() const { return Upstreams.size(); }
  Upstream &operator[](UpstreamIndex n) { return Upstreams[n.Value]; }
  const Upstream &operator[](UpstreamIndex n) const { return Upstreams[n.Value]; }
  void didStartExport(UpstreamIndex n);
  void didEndExport(UpstreamIndex n);
  bool contains(UpstreamIndex n) const { return n.Value < Upstreams.size(); }

  bool mayReceive(UpstreamIndex n, TimePoint now) const;
  bool hasPermission(TimePoint now) const;
  /// Upstreams that may receive a call now. Valid until the next call.
  std::span<const Candidate> candidates(const CandidateQuery &query, Random &random, TimePoint now);
  /// Exports of this VM that may run at a time.
  int ownExportLimit() const;
  /// An ejected upstream that is due for a trial with a call that can or can't be repeated.
  std::optional<UpstreamIndex> findDueTrial(std::span<const UpstreamIndex> avoided,
                                            bool isRepeatable, TimePoint now);
  /// Ejects the upstream if it is suspect and at most half of the upstreams stay ejected.
  void ejectIfUnhealthy(UpstreamIndex n, TimePoint now);
  /// Takes a report that the upstream gave no earlier than `observedAt`.
  void didReport(UpstreamIndex n, const LoadReport &report, TimePoint observedAt, TimePoint now);
  /// Drops all that was observed before now.
  void discardObservations(TimePoint now);
  double othersInFlight(UpstreamIndex n, TimePoint now) const;
  /// What a call takes that is given to the upstream now.
  LatencyEstimate estimateLatency(UpstreamIndex n, TimePoint now) const;
  /// A call was answered that was given its upstream with this estimate and took so many turns.
  void didAnswer(const LatencyEstimate &turns, double taken);

private:
  void collect(const CandidateQuery &query, bool withAvoided, bool withEjected, TimePoint now);
  void sample(const CandidateQuery &query, Random &random, TimePoint now);
  void consider(UpstreamIndex n, const CandidateQuery &query, bool withAvoided, bool withEjected,
                TimePoint now);
  /// Expected calls of other VMs at an upstream of which no report is known.
  double meanOthers(const Upstream &it, double slots) const;
  /// Expected calls of other VMs by all that is known. `slots` are those that count now.
  double believedOthers(const Upstream &it, double slots, TimePoint now) const;
  double usableSlots(const Upstream &it, TimePoint now) const;
  bool fits(const Upstream &it, const CandidateQuery &query) const;

  RoutingLimits Limits;
  std::vector<Upstream> Upstreams;
  std::vector<Candidate> Found;
  /// Positions of the listed upstreams that this VM prefers.
  std::vector<UpstreamIndex> Subset;
  /// Ejected upstreams, and some that have been reinstated since.
  std::vector<UpstreamIndex> Ejected;
  std::uint64_t Seed;
  int OwnExports = 0;
  Duration ReportDecay = std::chrono::milliseconds(10);
  /// Calls of other VMs per upstream, averaged over the reports.
  double MeanOthers = 0;
  ReportTrust Trust;
  /// Weight of reports by `Trust`, kept because each choice uses it for every upstream.
  double TrustWeight = 1;
};

} // namespace wigeonlift
