#include <LibMembership/ListSchedule.h>

#include <algorithm>

namespace wigeonlift {

namespace {

/// Keeps all VMs together at 10 reads a second.
constexpr Duration SpanPerVm = std::chrono::milliseconds{100};
/// Keeps 40 VMs that start together at 10 reads a second, although none of them knows the others
/// yet.
constexpr Duration SeededStartSpan = std::chrono::seconds{4};
/// Longest interval of a VM that learns nothing from peers or whose last read failed.
constexpr Duration MaxLonelyInterval = std::chrono::seconds{30};

Duration scaled(Duration span, double part) { return fromSeconds(toSeconds(span) * part); }

} // namespace

ListSchedule::ListSchedule(std::uint64_t seed, bool hasSeeds, TimePoint now) : Chance(seed) {
  readSoon(hasSeeds ? SeededStartSpan : Duration{}, now);
}

void ListSchedule::readSoon(Duration minSpan, TimePoint now) {
  IsSoon = true;
  Part = Chance.unit();
  BeganAt = now;
  MinSpan = minSpan;
}

bool ListSchedule::isDue(std::size_t vms, bool hasPeers, TimePoint now) {
  // VMs that lose their peers together must not read together.
  if (HadPeers && !hasPeers && !IsSoon)
    readSoon({}, now);
  HadPeers = hasPeers;
  const Duration fleetSpan = SpanPerVm * static_cast<int>(vms);
  if (IsSoon)
    return now - BeganAt >= scaled(std::max(MinSpan, fleetSpan), Part);
  Duration interval = Interval;
  if (!hasPeers || HasFailed)
    interval = std::min(interval, std::max(MaxLonelyInterval, fleetSpan));
  // VMs that read soon did so together. A random part of the interval spreads them over all of it,
  // so that one of them notices a change early.
  return now - BeganAt >= scaled(interval, IsAfterSoon ? Part : 1 + Part / 4);
}

void ListSchedule::didRead(bool isRead, Duration interval, TimePoint now) {
  IsAfterSoon = IsSoon;
  IsSoon = false;
  HasFailed = !isRead;
  Part = Chance.unit();
  BeganAt = now;
  Interval = interval;
}

} // namespace wigeonlift
