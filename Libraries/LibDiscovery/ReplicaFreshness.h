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
  /// A VM that has heard of no answer of the store for this long can assume that no VM reaches it.
  Duration MaxStoreSilence{};

  /// Derives the limits from the time within which each VM must know an acknowledged change. What
  /// MaxAgeLimit leaves of it is for the call to the store that follows.
  static constexpr FreshnessLimits forChangeDeadline(Duration deadline) {
    const Duration span = std::min(deadline, MaxDeadline);
    return {.ConfirmInterval = span * 6 / 10,
            .MinAgeLimit = span * 7 / 10,
            .MaxAgeLimit = span * 8 / 10,
            .MaxStoreSilence = span};
  }

private:
  /// Later deadlines are treated like this one: they would save few calls, and a watch that is
  /// broken would be noticed later.
  static constexpr Duration MaxDeadline = std::chrono::milliseconds{3400};
};

/// Keeps track of the age of a VM's replica of the store.
///
/// The reader of a data centre tells the others each time that the store confirms its replica. When
/// it falls silent, the VM with the smallest age limit asks the store first and tells the others,
/// so that not all of them ask. Each confirmation draws a new limit.
class ReplicaFreshness {
public:
  ReplicaFreshness(FreshnessLimits limits, std::uint64_t rngSeed, TimePoint startedAt)
      : Limits(limits), Rng(rngSeed), StartedAt(startedAt) {
    drawAgeLimit();
  }

  /// The replica has all changes that the store had acknowledged at `confirmedAt`. Returns whether
  /// that is later than what was known.
  bool didConfirm(TimePoint confirmedAt) {
    if (ConfirmedAt && confirmedAt <= *ConfirmedAt)
      return false;
    ConfirmedAt = confirmedAt;
    drawAgeLimit();
    return true;
  }

  /// Empty until the replica is first confirmed.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }
  /// Until the replica is first confirmed, the time since the start of the process.
  Duration age(TimePoint now) const { return now - currentAt(); }
  /// The latest time at which the replica is known to have had all changes. The start of the
  /// process until the replica is first confirmed.
  TimePoint currentAt() const { return ConfirmedAt.value_or(StartedAt); }
  /// When the store must have confirmed the replica again at the latest if this VM is the reader.
  TimePoint confirmationDue() const { return currentAt() + Limits.ConfirmInterval; }
  /// When this VM asks its reader, which should have told by then that the store has confirmed its
  /// replica. The message may have been lost.
  TimePoint questionDue() const {
    return currentAt() + (Limits.ConfirmInterval + Limits.MinAgeLimit) / 2;
  }
  /// When the replica is too old to wait for other VMs any longer.
  TimePoint expiresAt() const { return currentAt() + AgeLimit; }
  const FreshnessLimits &limits() const { return Limits; }

private:
  void drawAgeLimit() {
    AgeLimit = Limits.MinAgeLimit +
               fromSeconds(toSeconds(Limits.MaxAgeLimit - Limits.MinAgeLimit) * Rng.unit());
  }

  FreshnessLimits Limits;
  Random Rng;
  Duration AgeLimit{};
  TimePoint StartedAt;
  std::optional<TimePoint> ConfirmedAt;
};

} // namespace wigeonlift
