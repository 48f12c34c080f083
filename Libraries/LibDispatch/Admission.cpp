#include <LibDispatch/Admission.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

constexpr double CostSmoothing = 0.05;
constexpr Duration CountingTime = std::chrono::seconds(1);
// Retry time when an in-flight limit is reached and nothing is known about how long calls take.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(50);

Failure refusal(FailureKind kind, Duration retryAfter) {
  return {kind, Execution::NotRun, std::max(retryAfter, Duration{std::chrono::milliseconds(1)})};
}

} // namespace

void Admission::setCatalogue(const Catalogue &catalogue, std::uint32_t service, TimePoint now) {
  FlowOfEntry.assign(catalogue.Entries.size(), std::nullopt);
  for (EntryFlow &it : Flows)
    it.Entry.reset();
  // Static shares of all VMs together stay within the limit, whatever any VM believes.
  const int vms = std::max(1, catalogue.Fleet.MaxEntryVms);
  for (std::uint32_t n = 0; n < catalogue.Entries.size(); ++n) {
    const EntrySpec &spec = catalogue.Entries[n];
    if (spec.Service != service)
      continue;
    EntryFlow &flow = flowNamed(spec.Name);
    const auto index = static_cast<std::size_t>(&flow - Flows.data());
    flow.Entry = n;
    flow.Owner = spec.Owner;
    flow.RateShare = spec.Limits.CallsPerSecond / vms;
    flow.InFlightShare = spec.Limits.InFlight / vms;
    flow.QueueShare = static_cast<std::size_t>(spec.Limits.Queue / vms);
    OwnerOfFlow[index] = ownerOf(spec.Owner);
    FlowOfEntry[n] = index;
    flow.applyShare(now);
  }
}

void Admission::setLimitShare(std::uint32_t entry, double callsPerSecond, int inFlight,
                              TimePoint until, TimePoint now) {
  const auto index = flowOf(entry);
  if (!index)
    return;
  EntryFlow &flow = Flows[*index];
  flow.endLoan(now);
  flow.LentRate = callsPerSecond;
  flow.LentInFlight = inFlight;
  flow.LentUntil = until;
  flow.applyShare(now);
}

std::optional<std::size_t> Admission::flowOf(std::uint32_t entry) const {
  return entry < FlowOfEntry.size() ? FlowOfEntry[entry] : std::nullopt;
}

std::optional<Failure> Admission::admit(std::size_t flow, Duration timeLeft, TimePoint now) {
  EntryFlow &it = Flows[flow];
  ++it.Arrived;
  it.endLoan(now);
  it.Rate.refill(now);
  const Duration tokenWait = it.tokenAt() - now;
  const bool isDelayed = tokenWait > Duration::zero();
  const bool isFull = it.Queue.size() >= it.waitingPlaces(isDelayed);
  if ((isDelayed && tokenWait >= timeLeft) || (isFull && it.waitsForToken())) {
    ++it.RefusedByLimit;
    return refusal(FailureKind::RateLimited, it.retryAfter(timeLeft, now));
  }
  if (isFull) {
    ++it.RefusedByLimit;
    const Duration wait = std::max(expectedWait(flow, now), DefaultRetryAfter);
    return refusal(it.QueueShare == 0 ? FailureKind::InFlightLimited : FailureKind::QueueFull,
                   wait);
  }
  ++it.Admitted;
  return std::nullopt;
}

Duration Admission::expectedWait(std::size_t flow, TimePoint now) const {
  return Flows[flow].expectedWait(now);
}

std::size_t Admission::enqueue(std::size_t flow, CallId call) {
  EntryFlow &it = Flows[flow];
  if (it.Queue.empty())
    startClocks(flow);
  it.Queue.push_back(call);
  ++Queued;
  return it.Queue.size() - 1;
}

void Admission::requeue(std::size_t flow, CallId call) {
  if (Flows[flow].Queue.empty())
    startClocks(flow);
  Flows[flow].Queue.push_front(call);
  ++Flows[flow].HaveToken;
  ++Queued;
}

void Admission::remove(std::size_t flow, CallId call) {
  if (Flows[flow].remove(call))
    --Queued;
}

bool Admission::isBacklogged() const {
  return std::ranges::any_of(
      Flows, [](const EntryFlow &it) { return !it.Queue.empty() && !it.waitsForToken(); });
}

std::optional<TimePoint> Admission::nextWakeup() const {
  TimePoint next = TimePoint::max();
  for (const EntryFlow &it : Flows) {
    if (it.Queue.empty())
      continue;
    if (it.LentUntil != TimePoint{})
      next = std::min(next, it.LentUntil);
    if (it.waitsForToken() && it.InFlight < it.inFlightLimit())
      next = std::min(next, it.Rate.readyAt(0));
  }
  return next == TimePoint::max() ? std::nullopt : std::optional(next);
}

void Admission::beginRound(TimePoint now) {
  IsSkipped.assign(Flows.size(), false);
  for (std::size_t n = 0; n < Flows.size(); ++n) {
    EntryFlow &it = Flows[n];
    it.endLoan(now);
    it.Rate.refill(now);
    const bool didLack = std::exchange(it.LacksToken, it.waitsForToken());
    if (didLack && !it.LacksToken && !it.Queue.empty())
      startClocks(n);
  }
}

std::optional<std::size_t> Admission::nextFlow() const {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < Flows.size(); ++n) {
    const EntryFlow &it = Flows[n];
    if (it.Queue.empty() || IsSkipped[n] || it.waitsForToken() || it.InFlight >= it.inFlightLimit())
      continue;
    const double owner = Owners[OwnerOfFlow[n]].VirtualTime;
    if (!best || owner < Owners[OwnerOfFlow[*best]].VirtualTime ||
        (OwnerOfFlow[n] == OwnerOfFlow[*best] && it.VirtualTime < Flows[*best].VirtualTime))
      best = n;
  }
  return best;
}

void Admission::didStart(std::size_t flow, TimePoint queuedAt, std::size_t queuedBehind,
                         TimePoint now) {
  EntryFlow &it = Flows[flow];
  it.takeHead(queuedAt, queuedBehind, now);
  --Queued;
  ++it.InFlight;
  OwnerClock &owner = Owners[OwnerOfFlow[flow]];
  Clock = std::max(Clock, owner.VirtualTime);
  owner.VirtualTime += it.SecondsPerCall;
  it.VirtualTime += it.SecondsPerCall;
}

void Admission::didEnd(std::size_t flow, Duration ran) {
  EntryFlow &it = Flows[flow];
  --it.InFlight;
  it.SecondsPerCall += CostSmoothing * (toSeconds(ran) - it.SecondsPerCall);
}

void Admission::tick(TimePoint now) {
  for (EntryFlow &it : Flows)
    it.endLoan(now);
  if (now - CountedAt < CountingTime)
    return;
  const double seconds = toSeconds(now - CountedAt);
  CountedAt = now;
  for (EntryFlow &it : Flows) {
    it.ArrivalsPerSecond = static_cast<double>(it.Arrived - it.ArrivedAtSecond) / seconds;
    it.ArrivedAtSecond = it.Arrived;
  }
}

std::vector<EntrySnapshot> Admission::figures() const {
  std::vector<EntrySnapshot> all;
  for (const EntryFlow &it : Flows)
    if (it.Entry)
      all.push_back({*it.Entry, it.Name, static_cast<int>(it.Queue.size()), it.InFlight,
                     it.Rate.rate(), it.inFlightLimit(), it.ArrivalsPerSecond, it.Arrived,
                     it.Admitted, it.RefusedByLimit, it.RefusedByDeadline,
                     it.waitsForToken() ? static_cast<int>(it.Queue.size()) : 0});
  return all;
}

EntryFlow &Admission::flowNamed(const std::string &name) {
  const auto it = std::ranges::find(Flows, name, &EntryFlow::Name);
  if (it != Flows.end())
    return *it;
  OwnerOfFlow.push_back(0);
  IsSkipped.push_back(false);
  EntryFlow &flow = Flows.emplace_back();
  flow.Name = name;
  return flow;
}

std::size_t Admission::ownerOf(const std::string &owner) {
  const auto it = std::ranges::find(Owners, owner, &OwnerClock::Owner);
  if (it != Owners.end())
    return static_cast<std::size_t>(it - Owners.begin());
  Owners.push_back({owner, Clock});
  return Owners.size() - 1;
}

void Admission::startClocks(std::size_t flow) {
  // A flow that was idle, or had no token, must not catch up on the service that others had
  // meanwhile.
  OwnerClock &owner = Owners[OwnerOfFlow[flow]];
  bool isOwnerIdle = true;
  double earliest = Flows[flow].VirtualTime;
  for (std::size_t n = 0; n < Flows.size(); ++n) {
    if (n == flow || OwnerOfFlow[n] != OwnerOfFlow[flow] || Flows[n].Queue.empty() ||
        Flows[n].LacksToken)
      continue;
    earliest = isOwnerIdle ? Flows[n].VirtualTime : std::min(earliest, Flows[n].VirtualTime);
    isOwnerIdle = false;
  }
  if (isOwnerIdle)
    owner.VirtualTime = std::max(owner.VirtualTime, Clock);
  else
    Flows[flow].VirtualTime = std::max(Flows[flow].VirtualTime, earliest);
}

} // namespace wigeonlift
