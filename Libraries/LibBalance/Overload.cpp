#include <LibBalance/ServiceBalancer.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Four rounds of probes end within this time. A request that waits for longer found no room.
constexpr Duration ProbeTime = std::chrono::milliseconds{30};
// Shorter than the time in which the admitted fractions change, and much longer than the interval
// between two events under load.
constexpr Duration ShortageInterval = std::chrono::milliseconds{10};
// Late requests leave a slot of each upstream free to timely ones during this fraction of the time
// in which they may start. During all of it, most requests of returning callers would be rejected
// again; a shorter time makes more of the others late.
constexpr double LateYieldFraction = 0.75;
constexpr Duration RejectionSpan = std::chrono::seconds{1};
// Bounds the memory for rejections. More than these don't change a decision.
constexpr std::size_t MaxRoomRejections = 1000;

} // namespace

void ServiceBalancer::setOverloadControl(bool isEnabled) {
  if (isEnabled == HasOverloadControl)
    return;
  HasOverloadControl = isEnabled;
  Admission = {};
  Forecast.clear();
  RoomRejections.clear();
}

bool ServiceBalancer::isWaiting(const Request &request) {
  return request.IsQueued && request.TriedUpstreams.empty();
}

bool ServiceBalancer::lacksRoom(const Request &request, TimePoint now) {
  return isWaiting(request) && now - request.Spec.ArrivedAt >= ProbeTime;
}

std::optional<Shortage> ServiceBalancer::shortage(TimePoint now) const {
  std::optional<Shortage> result;
  if (!HasOverloadControl)
    return result;
  // The shortage of this priority, or nothing if a more urgent one is short.
  const auto shortageOf = [&](int priority) -> Shortage * {
    if (!result || priority < result->Priority)
      result = Shortage{.Priority = priority};
    return priority == result->Priority ? &*result : nullptr;
  };
  for (const CallId id : Queue) {
    const Request &request = Requests.at(id);
    if (!lacksRoom(request, now))
      continue;
    if (Shortage *it = shortageOf(request.Spec.Priority)) {
      ++it->Waiting;
      it->Age = std::max(it->Age, now - request.Spec.ArrivedAt);
    }
  }
  for (const RoomRejection &rejection : RoomRejections)
    if (now - rejection.At < RejectionSpan)
      if (Shortage *it = shortageOf(rejection.Priority))
        ++it->Rejections;
  return result;
}

void ServiceBalancer::didHearShortage(std::uint32_t vm, const std::optional<Shortage> &shortage,
                                      TimePoint now) {
  if (HasOverloadControl)
    Admission.didHear(vm, shortage, now);
}

void ServiceBalancer::observeQueue(TimePoint now) {
  if (!HasOverloadControl)
    return;
  while (!RoomRejections.empty() && now - RoomRejections.front().At >= RejectionSpan)
    RoomRejections.pop_front();
  Forecast.setBacklog(
      std::ranges::any_of(Queue, [&](CallId id) { return lacksRoom(Requests.at(id), now); }), now);
  if (now - ShortageUpdatedAt < ShortageInterval)
    return;
  ShortageUpdatedAt = now;
  Admission.setOwnShortage(shortage(now));
  Admission.update(now);
}

void ServiceBalancer::didRejectForRoom(const Request &request, TimePoint now) {
  if (RoomRejections.size() >= MaxRoomRejections)
    RoomRejections.pop_front();
  RoomRejections.push_back({.At = now, .Priority = request.Spec.Priority});
}

bool ServiceBalancer::isBeyondForecast(const Request &request, std::size_t requestsAhead,
                                       TimePoint now) const {
  if (!isWaiting(request) || request.Spec.IsReturning)
    return false;
  const auto start = Forecast.earliestStart(requestsAhead, now);
  return start && *start > latestStart(request);
}

bool ServiceBalancer::leavesRoomToTimely(const Request &request, TimePoint now) const {
  if (!Admission.isShort() || !isLate(request, now))
    return false;
  const Duration longestWait = latestStart(request) - request.Spec.ArrivedAt;
  return now < request.Spec.ArrivedAt + fromSeconds(LateYieldFraction * toSeconds(longestWait));
}

bool ServiceBalancer::givesWay(Request &request, TimePoint now) {
  if (request.IsAdmitted || request.Spec.IsReturning || !lacksRoom(request, now))
    return false;
  request.IsAdmitted = Admission.admit(request.Spec.Priority);
  return !request.IsAdmitted;
}

} // namespace wigeonlift
