#pragma once

#include <LibBase/LibBase.h>
#include <LibBudget/LibBudget.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>

namespace wigeonlift {

/// Limits and queue of one catalogue entry on this VM. A flow stays after its entry was moved in or
/// removed from the catalogue, because calls in flight refer to it.
struct EntryFlow {
  std::string Name;
  std::string Owner;
  /// Position in the current catalogue; empty when the entry was removed.
  std::optional<std::uint32_t> Entry;
  /// This VM's static shares of the fleet-wide limits.
  double RateShare = 0;
  int InFlightShare = 0;
  std::size_t QueueShare = 0;
  /// Parts leased from (positive) or to (negative) other VMs.
  double LeasedRate = 0;
  int LeasedInFlight = 0;
  TimePoint LeaseExpiresAt{};
  RateLimit Rate;
  int InFlight = 0;
  std::deque<CallId> Queue;
  /// Number of calls at the head of the queue that already took their token, because they were
  /// started before.
  std::size_t QueuedWithToken = 0;
  /// Whether the head waited for a token when it was last checked.
  bool HeadLacksToken = false;
  /// When the token for the next call becomes available. Set when the tokens run out.
  TimePoint NextTokenAt{};
  /// Smoothed time in seconds that a queued call waits per position in the queue.
  double WaitSecondsPerPosition = 0;
  /// Virtual time of this flow for fair queueing.
  double VirtualTime = 0;
  /// Smoothed duration of the calls of this flow. Fair queueing counts durations, so that a few
  /// long calls weigh as much as many short ones.
  double MeanCallSeconds = 0.01;
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t RefusedByLimit = 0;
  std::uint64_t RefusedByDeadline = 0;
  double ArrivalsPerSecond = 0;
  std::uint64_t ArrivedAtLastUpdate = 0;

  int inFlightLimit() const { return std::max(0, InFlightShare + LeasedInFlight); }
  /// Whether the head must wait for the rate limit, as of the last refill.
  bool waitsForToken() const { return !Queue.empty() && QueuedWithToken == 0 && !Rate.hasToken(); }
  /// When the token of a call added now becomes available; `TimePoint::max()` at a rate of zero.
  TimePoint tokenReadyAt() const;
  /// Time that a call added now is expected to wait in the queue.
  Duration expectedWait(TimePoint now) const;
  /// Number of calls that may be queued. `waitsForRate` tells whether a further one would have to
  /// wait for the rate limit.
  std::size_t queueCapacity(bool waitsForRate) const;
  /// Retry time for a call that was refused by the rate limit and must start within `timeLeft`.
  Duration retryAfter(Duration timeLeft, TimePoint now) const;

  /// Applies the static and the leased rate.
  void applyShare(TimePoint now);
  /// Ends the lease if its time is over.
  void expireLease(TimePoint now);
  /// Removes the head from the queue, takes its token unless it already has one, and updates the
  /// wait per position.
  void dequeueHead(TimePoint queuedAt, std::size_t queuedBehind, TimePoint now);
  /// Removes a call from the queue. Returns false when it is not queued.
  bool remove(CallId call);
};

} // namespace wigeonlift
