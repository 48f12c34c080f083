#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>
#include <optional>

namespace wigeonlift {

/// How old a VM's replica of the store may be. The age of a replica is the time since the latest
/// moment of which it is known that the replica has all changes that the store had acknowledged.
struct FreshnessLimits {
  /// The reader has the store confirm its replica at least this often.
  Duration ConfirmInterval{};
  /// The range of the age limits of the VMs.
  Duration MinAgeLimit{};
  Duration MaxAgeLimit{};

  /// Derives the limits from the time within which each VM must know an acknowledged change. What
  /// MaxAgeLimit leaves of it is for the call to the store that follows.
  static constexpr FreshnessLimits forChangeDeadline(Duration deadline) {
    const Duration interval = std::min(MaxConfirmInterval, deadline / 2);
    return {.ConfirmInterval = interval,
            .MinAgeLimit = interval * 6 / 5,
            .MaxAgeLimit = interval * 7 / 5};
  }

private:
  /// A watch that stays open for longer saves few calls, and a broken one is noticed later.
  static constexpr Duration MaxConfirmInterval = std::chrono::seconds{2};
};

/// Keeps track of the age of a VM's replica of the store.
class ReplicaFreshness {
public:
  explicit ReplicaFreshness(TimePoint startedAt) : StartedAt(startedAt) {}

  /// The replica has all changes that the store had acknowledged at `confirmedAt`.
  void didConfirm(TimePoint confirmedAt) {
    ConfirmedAt = std::max(ConfirmedAt.value_or(confirmedAt), confirmedAt);
  }

  /// Empty until the replica is first confirmed.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }
  /// Until the replica is first confirmed, the time since the start of the process.
  Duration age(TimePoint now) const { return now - ConfirmedAt.value_or(StartedAt); }

private:
  TimePoint StartedAt;
  std::optional<TimePoint> ConfirmedAt;
};

} // namespace wigeonlift
