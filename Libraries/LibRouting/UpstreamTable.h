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

/// Limits of a service that routing depends on.
struct RoutingLimits {
  /// Calls that one upstream runs concurrently.
  int Slots = 1;
  /// Upper bound on the number of entry VMs that share the upstreams.
  int MaxEntryVms = 1;
  /// Maximum number of connections from this VM to one upstream.
  int MaxOwnConnections = 1;
  /// Time after which the permission to send new work expires.
  Duration PermissionLifetime{};
};

/// Requirements of a call on its upstream.
struct CandidateQuery {
  /// Upstreams that are candidates only if there are no others, and never with `NeedsIdleSlot`.
  std::span<const UpstreamIndex> Avoided;
  bool IsExport = false;
  /// The upstream must have an idle slot by the current estimate of its calls.
  bool NeedsIdleSlot = false;
  /// Ejected upstreams are candidates only if there are no others, and never with `NeedsIdleSlot`.
  bool LeavesOutEjected = false;
};

/// Estimated latency of a call in multiples of the service time: the calls per slot of its upstream
/// including the call itself, at least 1.
struct LatencyEstimate {
  double Expected = 1;
  /// Estimate with full weight of the last load report.
  double WithReport = 1;
  /// Estimate without the load report.
  double WithoutReport = 1;
};

/// State of all upstreams of one service, as this VM knows them.
class UpstreamTable {
public:
  /// VMs with different seeds choose different subsets of a large service.
  explicit UpstreamTable(std::uint64_t seed) : Seed(seed) {}

  void setLimits(const RoutingLimits &limits) { Limits = limits; }
  const RoutingLimits &limits() const { return Limits; }
  /// Sets the time after which the influence of a report has fallen to 1/e.
  void setReportDecay(Duration decay) { ReportDecay = decay; }
  /// Adds an upstream that is not yet listed. Once it is listed, the next `updateSubset` may
  /// include it in this VM's subset; if there are more upstreams than fit, a hash of its name
  /// decides.
  UpstreamIndex add(std::string_view name);
  /// Chooses the subset again, after a change of the upstream list or the limits.
  void updateSubset();
  std::size_t size() const { return Upstreams.size(); }
  Upstream &operator[](UpstreamIndex n) { return Upstreams[n.Value]; }
  const Upstream &operator[](UpstreamIndex n) const { return Upstreams[n.Value]; }
  void didStartExport(UpstreamIndex n);
  void didEndExport(UpstreamIndex n);
  bool contains(UpstreamIndex n) const { return n.Value < Upstreams.size(); }

  bool mayReceive(UpstreamIndex n, TimePoint now) const;
  bool hasPermission(TimePoint now) const;
  /// Upstreams that may receive a call now. The span is valid until the next call of this function.
  std::span<const Candidate> candidates(const CandidateQuery &query, Random &random, TimePoint now);
  /// Maximum number of attempts of class `CallClass::Export`, which have large streamed responses,
  /// that this VM may have in flight at all upstreams together.
  int maxOwnExports() const;
  /// An ejected upstream that is due for a trial call. `isRepeatable` says whether that call can be
  /// repeated.
  std::optional<UpstreamIndex> findDueTrial(std::span<const UpstreamIndex> avoided,
                                            bool isRepeatable, TimePoint now);
  /// Ejects the upstream if it is unhealthy. Does nothing if the ejected upstreams would then
  /// number more than half of the subset's size.
  void ejectIfUnhealthy(UpstreamIndex n, TimePoint now);
  /// Takes a load report that the upstream made no earlier than `observedAt`.
  void didReport(UpstreamIndex n, const LoadReport &report, TimePoint observedAt, TimePoint now);
  /// Revokes all permissions and drops all load reports. Only evidence observed after `now` renews
  /// a permission.
  void discardObservations(TimePoint now);
  double othersInFlight(UpstreamIndex n, TimePoint now) const;
  /// Estimates the latency of a call that is assigned to the upstream now.
  LatencyEstimate estimateLatency(UpstreamIndex n, TimePoint now) const;
  /// A call was answered. `estimate` was made when the call was assigned to its upstream,
  /// `observed` is its latency in multiples of the service time.
  void didAnswer(const LatencyEstimate &estimate, double observed);

private:
  void collectFromSubset(const CandidateQuery &query, bool withAvoided, bool withEjected,
                         TimePoint now);
  void collectFromSample(const CandidateQuery &query, Random &random, TimePoint now);
  void addIfEligible(UpstreamIndex n, const CandidateQuery &query, bool withAvoided,
                     bool withEjected, TimePoint now);
  /// Expected calls of other VMs at an upstream without a known report.
  double meanOtherCalls(const Upstream &it, double slots) const;
  /// Expected calls of other VMs, with the reports weighted by `TrustWeight`. `slots` is the number
  /// of usable slots.
  double estimatedOtherCalls(const Upstream &it, double slots, TimePoint now) const;
  double usableSlots(const Upstream &it, TimePoint now) const;
  bool hasCapacityFor(const Upstream &it, const CandidateQuery &query) const;

  RoutingLimits Limits;
  std::vector<Upstream> Upstreams;
  std::vector<Candidate> Candidates;
  /// Indices of the listed upstreams that this VM sends calls to.
  std::vector<UpstreamIndex> Subset;
  /// Ejected upstreams, and some that have been reinstated and not yet removed.
  std::vector<UpstreamIndex> Ejected;
  std::uint64_t Seed;
  int OwnExports = 0;
  Duration ReportDecay = std::chrono::milliseconds(10);
  /// Calls of other VMs per upstream, averaged over the reports.
  double MeanOtherCalls = 0;
  ReportTrust Trust;
  /// Weight of reports by `Trust`, cached because each choice uses it for every upstream.
  double TrustWeight = 1;
};

} // namespace wigeonlift
