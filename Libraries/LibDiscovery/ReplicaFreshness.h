#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

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
  /// A VM that has just started has one age limit to learn how old its replica is.
  explicit ReplicaFreshness(TimePoint startedAt) : ConfirmedAt(startedAt) {}

  /// The replica has all changes that the store had acknowledged at `confirmedAt`. Returns whether
  /// this is news.
  bool didConfirm(TimePoint confirmedAt) {
    if (confirmedAt <= ConfirmedAt)
      return false;
    ConfirmedAt = confirmedAt;
    return true;
  }

  TimePoint confirmedAt() const { return ConfirmedAt; }
  Duration age(TimePoint now) const { return now - ConfirmedAt; }

private:
  TimePoint ConfirmedAt;
};

} // namespace wigeonlift
