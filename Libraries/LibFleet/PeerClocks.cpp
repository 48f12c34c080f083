#include <LibFleet/PeerClocks.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Clocks that run at different speeds drift apart by less than this part of the time.
constexpr double MaxDrift = 0.0005;
constexpr Duration ForgetAfter = std::chrono::seconds{120};
// Messages that show the same offset differ by less than this.
constexpr Duration OffsetTolerance = std::chrono::milliseconds{100};
// Messages that waited together in the socket are read at about the same time.
constexpr Duration MinConfirmationGap = std::chrono::milliseconds{100};
constexpr Duration UnconfirmedLifetime = std::chrono::seconds{1};

Duration onThatClock(const ClockReading &reading) { return std::chrono::milliseconds{reading.Ms}; }

} // namespace

void PeerClocks::didReceive(const ClockReading &sentAt, TimePoint now) {
  const Estimate first{.Incarnation = sentAt.Incarnation,
                       .Offset = now.time_since_epoch() - onThatClock(sentAt),
                       .FirstSeenAt = now,
                       .UpdatedAt = now};
  const auto [it, isNew] = Estimates.try_emplace(sentAt.Vm, first);
  Estimate &estimate = it->second;
  if (isNew || sentAt.Incarnation < estimate.Incarnation)
    return;
  if (sentAt.Incarnation > estimate.Incarnation ||
      first.Offset < estimate.Offset - OffsetTolerance) {
    estimate = first;
    return;
  }
  const bool showsSameOffset = first.Offset < estimate.Offset + OffsetTolerance;
  if (showsSameOffset && now - estimate.FirstSeenAt > MinConfirmationGap)
    estimate.IsConfirmed = true;
  const Duration drift = fromSeconds(toSeconds(now - estimate.UpdatedAt) * MaxDrift);
  estimate.Offset = std::min(first.Offset, estimate.Offset + drift);
  estimate.UpdatedAt = now;
}

std::optional<TimePoint> PeerClocks::toOwnClock(const ClockReading &reading, TimePoint now) const {
  const auto it = Estimates.find(reading.Vm);
  if (it == Estimates.end() || it->second.Incarnation != reading.Incarnation)
    return std::nullopt;
  const Estimate &estimate = it->second;
  if (!estimate.IsConfirmed && now - estimate.FirstSeenAt > UnconfirmedLifetime)
    return std::nullopt;
  return TimePoint{onThatClock(reading) + estimate.Offset};
}

void PeerClocks::expire(TimePoint now) {
  std::erase_if(Estimates, [&](const auto &it) { return now - it.second.UpdatedAt > ForgetAfter; });
}

} // namespace wigeonlift
