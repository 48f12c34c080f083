#pragma once

#include <LibBase/LibBase.h>

#include <optional>

namespace wigeonlift {

/// Permission to send new work to one upstream. It expires a fixed time after the latest evidence
/// that the upstream accepts work. Evidence is dated no later than the upstream gave it, for
/// example by the time at which its request was sent.
class SendPermission {
public:
  /// The upstream reported, no earlier than `observedAt`, that it accepts work.
  void didReportAccepting(TimePoint observedAt);
  /// The upstream itself reported that it is draining. Only evidence observed after `now` renews
  /// the permission.
  void didReportDraining(TimePoint observedAt, TimePoint now);
  /// A peer relayed that the upstream is draining. Returns false if the information is outdated and
  /// was ignored.
  bool didPeerReportDraining(TimePoint observedAt, TimePoint now);
  /// Ends the permission. Only evidence observed after `now` renews it.
  void revoke(TimePoint now);

  bool isValid(TimePoint now, Duration lifetime) const;
  /// Time of the latest evidence that the upstream accepts work; empty if there is none since the
  /// last drain or revocation.
  std::optional<TimePoint> acceptingObservedAt() const { return AcceptingObservedAt; }
  /// Time of the latest evidence that the upstream is draining; empty if it isn't known to be
  /// draining.
  std::optional<TimePoint> drainingObservedAt() const { return DrainingObservedAt; }

private:
  std::optional<TimePoint> AcceptingObservedAt;
  std::optional<TimePoint> DrainingObservedAt;
  /// Evidence that the upstream accepts work is ignored if it was observed at or before this time.
  TimePoint EvidenceCutoff = TimePoint::min();
};

} // namespace wigeonlift
