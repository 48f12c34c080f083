#include <LibBalance/ServiceBalancer.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr int ProbesPerRound = 3;
// A long queue needs several upstreams from one round.
constexpr int MaxProbesPerRound = 12;
constexpr int UpstreamsPerProbe = 4;
// Rounds of probes after which a request takes an upstream that isn't idle and fast.
constexpr int RoundsForGood = 2;
// Rounds that find nothing are followed by longer and longer pauses.
constexpr Duration FirstRoundInterval = std::chrono::milliseconds{2};
constexpr Duration LastRoundInterval = std::chrono::milliseconds{16};
constexpr Duration LateRoundInterval = std::chrono::milliseconds{60};
constexpr int MaxDoublings = 3;
// Probes answer within a round trip; a request doesn't wait longer for the rest of them.
constexpr Duration ProbePatience = std::chrono::milliseconds{6};
// Work at an upstream whose slots are nearly all taken.
constexpr double CrowdedFactor = 1.7;
constexpr double GoodFactor = 1.3;
// The way to another data centre and back.
constexpr Duration FarCost = std::chrono::milliseconds{2};
// Bytes between data centres are dear: the time that a near upstream may take longer, per KiB.
constexpr Duration FarCostPerKib = std::chrono::milliseconds{4};
// Far upstreams are asked first when the near ones are thought to be slower than this share of the
// work. The share halves with each round that finds nothing.
constexpr double FarAskFactor = 0.6;
// Each new connection is work for the upstream, so those with an open one are asked first.
constexpr double ColdAskFactor = 0.3;
constexpr Duration WarmSpan = std::chrono::seconds{8};
constexpr double TroubleFactor = 1.0;
// An upstream with more failures than this gets no requests.
constexpr double EjectAtTrouble = 1.6;
// A failure of a request that can't be repeated is final.
constexpr double TroubleFactorOnce = 3.0;
constexpr double BytesPerKib = 1024;
// A request that no upstream has taken is refused when it can't meet its objective any more, but
// not before this share of its time has passed: a caller that comes back is late from the start.
constexpr double LeastPatience = 0.12;

} // namespace

Duration ServiceBalancer::work(const Request &request) const {
  return Work.work(request.Spec.Kind, request.Spec.Objective - request.Spec.ArrivedAt);
}

bool ServiceBalancer::isLate(const Request &request, TimePoint now) const {
  return now + work(request) > request.Spec.Objective;
}

bool ServiceBalancer::isHopeless(const Request &request, TimePoint now) const {
  if (now + work(request) > request.Spec.Deadline)
    return true;
  // A caller that is told early can still come back.
  const Duration allowed = request.Spec.Deadline - request.Spec.ArrivedAt;
  const Duration waited = now - request.Spec.ArrivedAt;
  return request.Tried.empty() && isLate(request, now) &&
         toSeconds(waited) > LeastPatience * toSeconds(allowed);
}

std::vector<CallId> ServiceBalancer::inOrder(TimePoint now) const {
  struct Place {
    bool IsLate;
    int Priority;
    TimePoint ArrivedAt;
    CallId Id;
    auto operator<=>(const Place &) const = default;
  };
  std::vector<Place> places;
  places.reserve(Queue.size());
  for (const CallId id : Queue) {
    const Request &it = Requests.at(id);
    places.push_back({isLate(it, now), it.Spec.Priority, it.Spec.ArrivedAt, id});
  }
  std::ranges::sort(places);
  std::vector<CallId> order;
  order.reserve(places.size());
  for (const Place &it : places)
    order.push_back(it.Id);
  return order;
}

double ServiceBalancer::excessTrouble(const UpstreamView &view, TimePoint now) const {
  return std::max(0.0, view.trouble(now) - MeanTrouble);
}

void ServiceBalancer::pump(TimePoint now, BalanceCommands &out) {
  if (Queue.empty())
    return;
  MeanTrouble = 0;
  for (const auto &[index, view] : Upstreams)
    MeanTrouble += view.trouble(now) / static_cast<double>(Upstreams.size());
  TimelyQueued = static_cast<int>(
      std::ranges::count_if(Queue, [&](CallId id) { return !isLate(Requests.at(id), now); }));
  for (const CallId id : inOrder(now)) {
    const auto it = Requests.find(id);
    if (it != Requests.end() && it->second.IsQueued)
      place(it->second, now, out);
  }
}

bool ServiceBalancer::place(Request &request, TimePoint now, BalanceCommands &out) {
  if (request.Running.empty() && isHopeless(request, now)) {
    refuse(request,
           request.PossibleRuns > 0 ? FailureKind::ConnectionLost : FailureKind::Overloaded, now,
           out);
    return true;
  }
  const auto found = best(request, now);
  if (found && isGood(*found, request)) {
    start(request, *found, now, out);
    return true;
  }
  if (awaitsProbes(now))
    return false;
  const bool mayTake = found && isAcceptable(*found, request, now);
  if (mayTake && request.Rounds >= RoundsForGood) {
    start(request, *found, now, out);
    return true;
  }
  if (now < NextRoundAt)
    return false;
  if (askSome(request, now, out) > 0) {
    ++request.Rounds;
    const int doublings = std::min(FruitlessRounds++, MaxDoublings);
    RoundAt = now;
    NextRoundAt = now + FirstRoundInterval * (1 << doublings);
    // What is late anyway must not use up the probes of what comes next.
    if (isLate(request, now))
      NextRoundAt = now + LateRoundInterval;
    return false;
  }
  NextRoundAt = now + LastRoundInterval;
  if (!mayTake)
    return false;
  start(request, *found, now, out);
  return true;
}

std::optional<ServiceBalancer::Candidate> ServiceBalancer::best(const Request &request,
                                                                TimePoint now) {
  std::optional<Candidate> result;
  for (auto &[index, view] : Upstreams) {
    // The last slot would slow all requests at the upstream down, and with it the service.
    const bool hasRoom = view.occupied() < view.easySlots();
    if (!hasRoom || !view.isFresh(now) || !mayUse(view, request, now))
      continue;
    const Candidate it = judge(view, request, now);
    if (!result || it.Cost < result->Cost)
      result = it;
  }
  return result;
}

bool ServiceBalancer::mayUse(const UpstreamView &view, const Request &request,
                             TimePoint now) const {
  const auto &tried = request.Tried;
  return excessTrouble(view, now) < EjectAtTrouble &&
         std::ranges::find(tried, view.facts().Index) == tried.end();
}

ServiceBalancer::Candidate ServiceBalancer::judge(UpstreamView &view, const Request &request,
                                                  TimePoint now) const {
  const double slowness = view.slowness(now, TypicalSlowness);
  const int occupied = view.occupied();
  double expected = toSeconds(work(request)) * slowness;
  if (occupied >= view.easySlots())
    expected *= CrowdedFactor;
  if (occupied >= view.slots())
    expected *= 1.0 + (occupied - view.slots() + 1.0) / view.slots();
  const bool isOnce = request.Spec.Class == CallClass::NonIdempotent;
  const double trouble = excessTrouble(view, now) * (isOnce ? TroubleFactorOnce : TroubleFactor);
  Duration cost = fromSeconds(expected * (1 + trouble));
  if (!view.facts().IsInLocalDataCentre)
    cost += FarCost +
            fromSeconds(toSeconds(FarCostPerKib) * Work.bytes(request.Spec.Kind) / BytesPerKib);
  return {.View = &view, .Expected = fromSeconds(expected), .Cost = cost};
}

bool ServiceBalancer::isGood(const Candidate &candidate, const Request &request) const {
  return toSeconds(candidate.Cost) <= GoodFactor * toSeconds(work(request)) + toSeconds(FarCost);
}

bool ServiceBalancer::isAcceptable(const Candidate &candidate, const Request &request,
                                   TimePoint now) const {
  if (request.WantsHedge)
    return false;
  if (now + candidate.Expected <= request.Spec.Objective)
    return true;
  // A late request on a slow upstream takes the place of several that could be in time. When the
  // whole service is slow there is nothing better.
  const bool isUsual =
      toSeconds(candidate.Expected) <= GoodFactor * TypicalSlowness * toSeconds(work(request));
  return isUsual && isLate(request, now) && now + candidate.Expected <= request.Spec.Deadline;
}

void ServiceBalancer::start(Request &request, const Candidate &candidate, TimePoint now,
                            BalanceCommands &out) {
  const AttemptId id{++LastAttempt};
  UpstreamView &view = *candidate.View;
  Attempt &attempt = Attempts[id];
  attempt.Call = request.Spec.Id;
  attempt.Upstream = view.facts().Index;
  attempt.StartedAt = now;
  attempt.Slowness = view.slowness(now, TypicalSlowness);
  attempt.IsHedge = request.WantsHedge;
  attempt.IsRepeat = !request.Tried.empty();
  attempt.Choice = {.Upstream = attempt.Upstream,
                    .OutstandingRequests = view.occupied(),
                    .Slots = view.slots(),
                    .Slowness = attempt.Slowness,
                    .ReportAge = view.reportAge(now),
                    .Waited = now - request.Spec.ArrivedAt,
                    .Attempt = static_cast<int>(request.Tried.size()) + 1,
                    .IsHedge = attempt.IsHedge};
  ++Counts.Attempts;
  Counts.Hedges += attempt.IsHedge ? 1 : 0;
  Counts.SentToSlow += attempt.Slowness > GoodFactor ? 1 : 0;
  Counts.SentToOtherDataCentre += view.facts().IsInLocalDataCentre ? 0 : 1;
  view.didSend(id, now);
  request.Tried.push_back(attempt.Upstream);
  request.Running.push_back(id);
  request.IsQueued = false;
  request.WantsHedge = false;
  Queue.erase(request.Spec.Id);
  FruitlessRounds = 0;
  armHedge(request, candidate, now);
  out.push_back(SendRequest{.Attempt = id, .Call = request.Spec.Id, .Upstream = attempt.Upstream});
}

int ServiceBalancer::askSome(const Request &request, TimePoint now, BalanceCommands &out) {
  constexpr double spread = 0.6;
  struct Choice {
    double Cost;
    UpstreamView *View;
  };
  std::vector<Choice> choices;
  for (auto &[index, view] : Upstreams) {
    if (view.Probe || view.isFresh(now) || !mayUse(view, request, now))
      continue;
    // VMs that know the same must not all ask, and then choose, the same upstreams.
    const double jitter = 1 - spread / 2 + spread * Rng.unit();
    const bool isWarm = view.hasReport() && view.reportAge(now) < WarmSpan;
    const double detour =
        ((view.facts().IsInLocalDataCentre ? 0 : FarAskFactor) + (isWarm ? 0 : ColdAskFactor)) *
        std::exp2(-request.Rounds);
    choices.push_back(
        {toSeconds(judge(view, request, now).Cost) * jitter + detour * toSeconds(work(request)),
         &view});
  }
  std::ranges::sort(choices, {}, &Choice::Cost);
  // The reports of a small service are all known after a few rounds.
  const int most = std::clamp(static_cast<int>(Upstreams.size()) / UpstreamsPerProbe,
                              ProbesPerRound, MaxProbesPerRound);
  const int wanted = std::clamp(TimelyQueued, ProbesPerRound, most);
  int asked = 0;
  for (const Choice &it : choices) {
    if (asked >= wanted || !ask(*it.View, now, out))
      break;
    ++asked;
  }
  return asked;
}

bool ServiceBalancer::ask(UpstreamView &view, TimePoint now, BalanceCommands &out) {
  if (!ProbeRate.take(now)) {
    ++Counts.ProbesDenied;
    return false;
  }
  const ProbeId id{++LastProbe};
  view.Probe = id;
  view.ProbedAt = now;
  Probes[id] = view.facts().Index;
  ++Counts.Probes;
  out.push_back(SendProbe{.Probe = id, .Upstream = view.facts().Index});
  return true;
}

bool ServiceBalancer::hasProbesUnderWay() const {
  return std::ranges::any_of(Upstreams, [](const auto &it) { return it.second.Probe.has_value(); });
}

bool ServiceBalancer::awaitsProbes(TimePoint now) const {
  return now < RoundAt + ProbePatience && hasProbesUnderWay();
}

TimePoint ServiceBalancer::nextRound() const {
  return hasProbesUnderWay() ? std::max(NextRoundAt, RoundAt + ProbePatience) : NextRoundAt;
}

} // namespace wigeonlift
