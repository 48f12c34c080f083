#pragma once

#include <LibBase/LibBase.h>

#include <optional>

namespace wigeonlift {

/// Right to send new work to one upstream. It lasts a fixed time from the latest evidence that the
/// upstream takes work.
class SendPermission {
public:
  /// The upstream said that it takes work, no earlier than the given instant.
  void didReportAccepting(TimePoint observedAt);
  /// The upstream itself said that it drains. Evidence whose request was sent before now is void.
  void didDrain(TimePoint observedAt, TimePoint now);
  /// A peer relays that the upstream drains. Returns false when newer evidence contradicts it.
  bool didPeerReportDraining(TimePoint observedAt, TimePoint now);
  /// Ends the permission; only evidence observed after now renews it.
  void revoke(TimePoint now);

  bool isValid(TimePoint now, Duration life) const;
  /// Instant of the latest evidence that the upstream takes work.
  std::optional<TimePoint> acceptingObservedAt() const { return TakesWork; }
  /// Instant of the evidence that the upstream drains; empty when it doesn't.
  std::optional<TimePoint> drainingObservedAt() const { return Draining; }

private:
  std::optional<TimePoint> TakesWork;
  std::optional<TimePoint> Draining;
  /// Evidence observed no later than this doesn't count.
  TimePoint Barrier = TimePoint::min();
};

} // namespace wigeonlift
