#pragma once

#include <LibBalance/BalanceTypes.h>

#include <map>
#include <optional>

namespace wigeonlift {

/// The rate limits that upstreams of a service name in their responses.
class UpstreamLimits {
public:
  /// Returns whether the limit of the upstream changed.
  bool didReport(UpstreamIndex upstream, const RateLimitReport &report);
  void forget(UpstreamIndex upstream) { Limits.erase(upstream); }
  /// Requests per second that the upstream accepts from the fleet; empty if it names no limit.
  std::optional<double> requestsPerSecond(UpstreamIndex upstream) const;
  std::size_t size() const { return Limits.size(); }

private:
  std::map<UpstreamIndex, double> Limits;
};

} // namespace wigeonlift
