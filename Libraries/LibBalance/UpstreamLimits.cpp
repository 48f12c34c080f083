#include <LibBalance/UpstreamLimits.h>

namespace wigeonlift {

bool UpstreamLimits::didReport(UpstreamIndex upstream, const RateLimitReport &report) {
  const auto before = requestsPerSecond(upstream);
  if (report.Kind == RateLimitReport::Content::Unlimited)
    Limits.erase(upstream);
  if (report.Kind == RateLimitReport::Content::Limited)
    Limits[upstream] = report.RequestsPerSecond;
  return requestsPerSecond(upstream) != before;
}

std::optional<double> UpstreamLimits::requestsPerSecond(UpstreamIndex upstream) const {
  const auto it = Limits.find(upstream);
  return it == Limits.end() ? std::nullopt : std::optional{it->second};
}

} // namespace wigeonlift
