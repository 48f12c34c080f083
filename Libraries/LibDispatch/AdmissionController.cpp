#include <LibDispatch/AdmissionController.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

constexpr double CallDurationSmoothing = 0.05;
constexpr Duration ArrivalRatePeriod = std::chrono::seconds(1);
// Minimum retry time when the in-flight limit or the queue limit of an entry is reached. The
// expected wait may be lower, or zero before a call has waited.
constexpr Duration MinLimitedRetryAfter = std::chrono::milliseconds(50);

Failure refusal(FailureKind kind, Duration retryAfter) {
  return {kind, Execution::NotRun, std::max(retryAfter, Duration{std::chrono::milliseconds(1)})};
}

} // namespace

void AdmissionController::setCatalogue(const Catalogue &catalogue, std::uint32_t service,
                                       TimePoint now) {
  FlowOfEntry.assign(catalogue.Entries.size(), std::nullopt);
  for (EntryFlow &it : Flows)
    it.Entry.reset();
  // Dividing by the maximum number of VMs keeps the sum of the static shares within the limit,
  // independent of how many VMs each VM knows of.
  const int maxVms = std::max(1, catalogue.Fleet.MaxEntryVms);
  for (std::uint32_t n = 0; n < catalogue.Entries.size(); ++n) {
    const EntrySpec &spec = catalogue.Entries[n];
    if (spec.Service != service)
      continue;
    EntryFlow &flow = findOrAddFlow(spec.Name);
    const auto index = static_cast<std::size_t>(&flow - Flows.data());
    flow.Entry = n;
    flow.Owner = spec.Owner;
    flow.RateShare = spec.Limits.CallsPerSecond / maxVms;
    flow.InFlightShare = spec.Limits.InFlight / maxVms;
    flow.QueueShare = static_cast<std::size_t>(spec.Limits.Queue / maxVms);
    OwnerOfFlow[index] = findOrAddOwner(spec.Owner);
    FlowOfEntry[n] = index;
    flow.applyShare(now);
  }
}

void AdmissionController::setLimitShare(std::uint32_t entry, double leasedRate, int leasedInFlight,
                                        TimePoint leaseExpiresAt, TimePoint now) {
  const auto index = flowOf(entry);
  if (!index)
    return;
  EntryFlow &flow = Flows[*index];
  flow.expireLease(now);
  flow.LeasedRate = leasedRate;
  flow.LeasedInFlight = leasedInFlight;
  flow.LeaseExpiresAt = leaseExpiresAt;
  flow.applyShare(now);
}

std::optional<std::size_t> AdmissionController::flowOf(std::uint32_t entry) const {
  return entry < FlowOfEntry.size() ? FlowOfEntry[entry] : std::nullopt;
}

std::optional<Failure> AdmissionController::admit(std::size_t flow, Duration timeLeft,
                                                  TimePoint now) {
  EntryFlow &it = Flows[flow];
  ++it.Arrived;
  it.expireLease(now);
  it.Rate.refill(now);
  const Duration tokenWait = it.tokenReadyAt() - now;
  const bool isDelayed = tokenWait > Duration::zero();
  const bool isFull = it.Queue.size() >= it.queueCapacity(isDelayed);
  if ((isDelayed && tokenWait >= timeLeft) || (isFull && it.waitsForToken())) {
    ++it.RefusedByLimit;
    return refusal(FailureKind::RateLimited, it.retryAfter(timeLeft, now));
  }
  if (isFull) {
    ++it.RefusedByLimit;
    const Duration wait = std::max(expectedWait(flow, now), MinLimitedRetryAfter);
    return refusal(it.QueueShare == 0 ? FailureKind::InFlightLimited : FailureKind::QueueFull,
                   wait);
  }
  ++it.Admitted;
  return std::nullopt;
}

Duration AdmissionController::expectedWait(std::size_t flow, TimePoint now) const {
  return Flows[flow].expectedWait(now);
}

std::size_t AdmissionController::enqueue(std::size_t flow, CallId call) {
  EntryFlow &it = Flows[flow];
  if (it.Queue.empty())
    advanceVirtualTime(flow);
  it.Queue.push_back(call);
  ++QueuedCalls;
  return it.Queue.size() - 1;
}

void AdmissionController::requeue(std::size_t flow, CallId call) {
  if (Flows[flow].Queue.empty())
    advanceVirtualTime(flow);
  Flows[flow].Queue.push_front(call);
  ++Flows[flow].QueuedWithToken;
  ++QueuedCalls;
}

void AdmissionController::remove(std::size_t flow, CallId call) {
  if (Flows[flow].remove(call))
    --QueuedCalls;
}

bool AdmissionController::isBacklogged() const {
  return std::ranges::any_of(
      Flows, [](const EntryFlow &it) { return !it.Queue.empty() && !it.waitsForToken(); });
}

std::optional<TimePoint> AdmissionController::nextWakeup() const {
  TimePoint next = TimePoint::max();
  for (const EntryFlow &it : Flows) {
    if (it.Queue.empty())
      continue;
    if (it.LeaseExpiresAt != TimePoint{})
      next = std::min(next, it.LeaseExpiresAt);
    if (it.waitsForToken() && it.InFlight < it.inFlightLimit())
      next = std::min(next, it.Rate.readyAt(0));
  }
  return next == TimePoint::max() ? std::nullopt : std::optional(next);
}

void AdmissionController::beginRound(TimePoint now) {
  IsSkipped.assign(Flows.size(), false);
  for (std::size_t n = 0; n < Flows.size(); ++n) {
    EntryFlow &it = Flows[n];
    it.expireLease(now);
    it.Rate.refill(now);
    const bool lackedToken = std::exchange(it.HeadLacksToken, it.waitsForToken());
    if (lackedToken && !it.HeadLacksToken && !it.Queue.empty())
      advanceVirtualTime(n);
  }
}

std::optional<std::size_t> AdmissionController::nextFlow() const {
  std::optional<std::size_t> bestFlow;
  for (std::size_t n = 0; n < Flows.size(); ++n) {
    const EntryFlow &it = Flows[n];
    if (it.Queue.empty() || IsSkipped[n] || it.waitsForToken() || it.InFlight >= it.inFlightLimit())
      continue;
    const double ownerVirtualTime = Owners[OwnerOfFlow[n]].VirtualTime;
    if (!bestFlow || ownerVirtualTime < Owners[OwnerOfFlow[*bestFlow]].VirtualTime ||
        (OwnerOfFlow[n] == OwnerOfFlow[*bestFlow] && it.VirtualTime < Flows[*bestFlow].VirtualTime))
      bestFlow = n;
  }
  return bestFlow;
}

void AdmissionController::didStart(std::size_t flow, TimePoint queuedAt, std::size_t queuedBehind,
                                   TimePoint now) {
  EntryFlow &it = Flows[flow];
  it.dequeueHead(queuedAt, queuedBehind, now);
  --QueuedCalls;
  ++it.InFlight;
  OwnerVirtualTime &owner = Owners[OwnerOfFlow[flow]];
  MaxServedVirtualTime = std::max(MaxServedVirtualTime, owner.VirtualTime);
  owner.VirtualTime += it.MeanCallSeconds;
  it.VirtualTime += it.MeanCallSeconds;
}

void AdmissionController::didEnd(std::size_t flow, Duration runTime) {
  EntryFlow &it = Flows[flow];
  --it.InFlight;
  it.MeanCallSeconds += CallDurationSmoothing * (toSeconds(runTime) - it.MeanCallSeconds);
}

void AdmissionController::tick(TimePoint now) {
  for (EntryFlow &it : Flows)
    it.expireLease(now);
  if (now - ArrivalRateUpdatedAt < ArrivalRatePeriod)
    return;
  const double seconds = toSeconds(now - ArrivalRateUpdatedAt);
  ArrivalRateUpdatedAt = now;
  for (EntryFlow &it : Flows) {
    it.ArrivalsPerSecond = static_cast<double>(it.Arrived - it.ArrivedAtLastUpdate) / seconds;
    it.ArrivedAtLastUpdate = it.Arrived;
  }
}

std::vector<EntrySnapshot> AdmissionController::snapshots() const {
  std::vector<EntrySnapshot> result;
  for (const EntryFlow &it : Flows)
    if (it.Entry)
      result.push_back({*it.Entry, it.Name, static_cast<int>(it.Queue.size()), it.InFlight,
                        it.Rate.rate(), it.inFlightLimit(), it.ArrivalsPerSecond, it.Arrived,
                        it.Admitted, it.RefusedByLimit, it.RefusedByDeadline,
                        it.waitsForToken() ? static_cast<int>(it.Queue.size()) : 0});
  return result;
}

EntryFlow &AdmissionController::findOrAddFlow(const std::string &name) {
  const auto it = std::ranges::find(Flows, name, &EntryFlow::Name);
  if (it != Flows.end())
    return *it;
  OwnerOfFlow.push_back(0);
  IsSkipped.push_back(false);
  EntryFlow &flow = Flows.emplace_back();
  flow.Name = name;
  return flow;
}

std::size_t AdmissionController::findOrAddOwner(const std::string &owner) {
  const auto it = std::ranges::find(Owners, owner, &OwnerVirtualTime::Owner);
  if (it != Owners.end())
    return static_cast<std::size_t>(it - Owners.begin());
  Owners.push_back({owner, MaxServedVirtualTime});
  return Owners.size() - 1;
}

void AdmissionController::advanceVirtualTime(std::size_t flow) {
  // A flow that had an empty queue or no token must not be compensated for the service that other
  // flows received during that time.
  OwnerVirtualTime &owner = Owners[OwnerOfFlow[flow]];
  bool isOwnerIdle = true;
  double lowestVirtualTime = Flows[flow].VirtualTime;
  for (std::size_t n = 0; n < Flows.size(); ++n) {
    if (n == flow || OwnerOfFlow[n] != OwnerOfFlow[flow] || Flows[n].Queue.empty() ||
        Flows[n].HeadLacksToken)
      continue;
    lowestVirtualTime =
        isOwnerIdle ? Flows[n].VirtualTime : std::min(lowestVirtualTime, Flows[n].VirtualTime);
    isOwnerIdle = false;
  }
  if (isOwnerIdle)
    owner.VirtualTime = std::max(owner.VirtualTime, MaxServedVirtualTime);
  else
    Flows[flow].VirtualTime = std::max(Flows[flow].VirtualTime, lowestVirtualTime);
}

} // namespace wigeonlift
