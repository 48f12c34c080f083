#include <LibBalance/PriorityAdmission.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Bounds on the memory for reports and priorities. A VM hears about ten others in the lifetime of a
// report, and services have two or three priorities.
constexpr std::size_t MaxReports = 256;
constexpr std::size_t MaxPriorities = 16;
// Every kind keeps well over a quarter of what all kinds get.
constexpr double MinAdmitted = 0.4;
constexpr double FallSeconds = 0.5;
// A longer time since the last adjustment says nothing about the shortage in it.
constexpr double MaxFallStepSeconds = 0.1;
// From the lowest fraction to 1 in 3 s, which is two lifetimes of a report.
constexpr double RisePerSecond = 0.2;
// Fraction of the upstreams at which a slot is left free, at most. Each costs less urgent requests
// up to a third of the upstream's room.
constexpr double MaxUpstreamsWithFreeSlot = 0.5;
// Multiple of the fraction that isn't admitted. Room that is left free serves urgent requests
// better than rejections do, which make requests late that could have been on time.
constexpr double FreeSlotGain = 2.0;
constexpr double DecaySeconds = 4.0;
// In a shorter time, a few starts would look like a high rate.
constexpr double MinCountedSeconds = 0.5;
// A kind is starved when less than a quarter of the usual fraction of its requests is served. This
// ratio leaves a margin of two.
constexpr double StarvedRatio = 0.5;
// With fewer decided requests, the fraction that started is mostly chance.
constexpr double MinDecided = 8;

} // namespace

void PriorityAdmission::didHear(std::uint32_t vm, const std::optional<Shortage> &shortage,
                                TimePoint now) {
  if (Reports.size() < MaxReports || Reports.contains(vm))
    Reports[vm] = {.Lack = shortage, .HeardAt = now};
  update(now);
}

void PriorityAdmission::didArrive(int priority, TimePoint now) {
  decay(now);
  if (Priorities.size() < MaxPriorities)
    Priorities.try_emplace(priority);
}

void PriorityAdmission::didDecide(int priority, bool hasStarted, TimePoint now) {
  decay(now);
  const auto it = Priorities.find(priority);
  if (it != Priorities.end())
    ++(hasStarted ? it->second.Starts : it->second.Rejections);
}

void PriorityAdmission::update(TimePoint now) {
  std::erase_if(Reports, [&](const auto &it) { return now - it.second.HeardAt >= ReportLifetime; });
  decay(now);
  const double elapsed = toSeconds(now - AdjustedAt);
  AdjustedAt = now;
  for (auto &[priority, state] : Priorities)
    adjust(priority, state, elapsed);
}

void PriorityAdmission::adjust(int priority, PriorityState &state, double elapsedSeconds) const {
  const double lack = isStarved(priority) ? 0 : lackOfMoreUrgent(priority);
  const double shortFraction = lack > 0 ? lack / (lack + startsFrom(priority)) : 0;
  const double target = std::max(MinAdmitted, 1 - shortFraction);
  if (target < state.Admitted)
    state.Admitted += (target - state.Admitted) *
                      (1 - std::exp(-std::min(elapsedSeconds, MaxFallStepSeconds) / FallSeconds));
  else
    state.Admitted = std::min(target, state.Admitted + RisePerSecond * elapsedSeconds);
}

double PriorityAdmission::lackOfMoreUrgent(int priority) const {
  double lack = 0;
  const auto add = [&](const std::optional<Shortage> &it) {
    if (it && it->Priority < priority)
      lack += it->Waiting + it->Rejections;
  };
  add(OwnShortage);
  for (const auto &[vm, report] : Reports)
    add(report.Lack);
  return lack / static_cast<double>(Reports.size() + 1);
}

double PriorityAdmission::startsFrom(int priority) const {
  double starts = 0;
  for (auto it = Priorities.lower_bound(priority); it != Priorities.end(); ++it)
    starts += it->second.Starts;
  return starts / std::max(CountedSeconds, MinCountedSeconds);
}

double PriorityAdmission::admittedFraction(int priority) const {
  const auto it = Priorities.find(priority);
  return it == Priorities.end() ? 1 : it->second.Admitted;
}

bool PriorityAdmission::admit(int priority) {
  const double fraction = admittedFraction(priority);
  const auto it = Priorities.find(priority);
  if (fraction >= 1 || it == Priorities.end())
    return true;
  it->second.Excess += 1 - fraction;
  if (it->second.Excess < 1)
    return true;
  it->second.Excess -= 1;
  return false;
}

int PriorityAdmission::slotsToLeaveFree(int priority, std::uint64_t fleetKey) const {
  // The queue of this VM already puts its own urgent requests first.
  const bool isShortElsewhere = std::ranges::any_of(Reports, [&](const auto &it) {
    return it.second.Lack && it.second.Lack->Priority < priority;
  });
  if (!isShortElsewhere)
    return 0;
  const double part =
      std::min(MaxUpstreamsWithFreeSlot, FreeSlotGain * (1 - admittedFraction(priority)));
  // The keys are evenly distributed hashes.
  return static_cast<double>(fleetKey) * 0x1.0p-64 < part ? 1 : 0;
}

bool PriorityAdmission::isShort() const {
  if (Priorities.size() < 2)
    return false;
  return OwnShortage ||
         std::ranges::any_of(Reports, [](const auto &it) { return it.second.Lack.has_value(); });
}

bool PriorityAdmission::isStarved(int priority) const {
  const auto it = Priorities.find(priority);
  if (it == Priorities.end())
    return false;
  const auto decided = [](const PriorityState &state) { return state.Starts + state.Rejections; };
  double allStarts = 0;
  double allDecided = 0;
  for (const auto &[other, state] : Priorities) {
    allStarts += state.Starts;
    allDecided += decided(state);
  }
  return decided(it->second) >= MinDecided &&
         it->second.Starts / decided(it->second) < StarvedRatio * allStarts / allDecided;
}

int PriorityAdmission::queuePriority(int priority) const {
  return isStarved(priority) ? std::min(priority, Priorities.begin()->first) : priority;
}

std::map<int, double> PriorityAdmission::admittedFractions() const {
  std::map<int, double> fractions;
  for (const auto &[priority, state] : Priorities)
    fractions[priority] = admittedFraction(priority);
  return fractions;
}

void PriorityAdmission::decay(TimePoint now) {
  if (DecayedAt == TimePoint{})
    DecayedAt = now;
  const double elapsed = toSeconds(now - DecayedAt);
  if (elapsed <= 0)
    return;
  const double weight = std::exp(-elapsed / DecaySeconds);
  CountedSeconds = CountedSeconds * weight + DecaySeconds * (1 - weight);
  for (auto &[priority, state] : Priorities) {
    state.Starts *= weight;
    state.Rejections *= weight;
  }
  DecayedAt = now;
}

} // namespace wigeonlift
