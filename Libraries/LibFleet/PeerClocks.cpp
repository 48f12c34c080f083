#include <LibFleet/PeerClocks.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Clocks that run at different speeds drift apart by less than this part of the time.
constexpr double MaxDrift = 0.0005;
constexpr Duration ForgetAfter = std::chrono::seconds{120};

Duration onThatClock(const ClockReading &reading) { return std::chrono::milliseconds{reading.Ms}; }

} // namespace

void PeerClocks::didReceive(const ClockReading &sentAt, TimePoint now) {
  const Duration offset = now.time_since_epoch() - onThatClock(sentAt);
  const auto [it, isNew] = Estimates.try_emplace(
      sentAt.Vm, Estimate{.Incarnation = sentAt.Incarnation, .Offset = offset, .UpdatedAt = now});
  Estimate &estimate = it->second;
  if (isNew || sentAt.Incarnation < estimate.Incarnation)
    return;
  if (sentAt.Incarnation > estimate.Incarnation) {
    estimate = {.Incarnation = sentAt.Incarnation, .Offset = offset, .UpdatedAt = now};
    return;
  }
  const Duration drift = fromSeconds(toSeconds(now - estimate.UpdatedAt) * MaxDrift);
  estimate.Offset = std::min(offset, estimate.Offset + drift);
  estimate.UpdatedAt = now;
}

std::optional<TimePoint> PeerClocks::toOwnClock(const ClockReading &reading) const {
  const auto it = Estimates.find(reading.Vm);
  if (it == Estimates.end() || it->second.Incarnation != reading.Incarnation)
    return std::nullopt;
  return TimePoint{onThatClock(reading) + it->second.Offset};
}

void PeerClocks::expire(TimePoint now) {
  std::erase_if(Estimates, [&](const auto &it) { return now - it.second.UpdatedAt > ForgetAfter; });
}

} // namespace wigeonlift
