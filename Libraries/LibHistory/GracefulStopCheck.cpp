#include <LibHistory/GracefulStopCheck.h>

#include <LibHistory/FaultTimeline.h>
#include <LibHistory/GracefulStops.h>
#include <LibHistory/RequestTable.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace wigeonlift {

namespace {

/// Failures that say that a request was broken off after it was accepted.
constexpr std::array<std::string_view, 3> Interruptions{FailureBroken, "connection-lost",
                                                        "shutting-down"};

bool isInterrupted(const AnswerEvent &answer) {
  return answer.Failure ? std::ranges::find(Interruptions, *answer.Failure) != Interruptions.end()
                        : !answer.IsWhole;
}

/// A process that took part in a request, and when it took it.
struct Party {
  std::string Process;
  TimePoint TakenAt;
};

/// One try of a request, with all processes that took part in it: first the VM that was asked, then
/// the VMs that dispatched it, which may be others for a ticket, and the upstreams.
struct Exchange {
  const HistoryEvent *Call = nullptr;
  const HistoryEvent *Answer = nullptr;
  std::vector<Party> Parties;

  Interval span() const { return {Call->Time, Answer->Time}; }
};

Exchange exchangeOf(const RequestEvents &events, const HistoryEvent &call,
                    const FaultTimeline &faults) {
  const auto &data = std::get<CallEvent>(call.Data);
  Exchange exchange{&call, RequestTable::answerOf(events, data.Try), {}};
  exchange.Parties.push_back({faults.processAt(data.To), call.Time});
  for (const HistoryEvent *it : events.Dispatches)
    exchange.Parties.push_back({it->Writer, it->Time});
  for (const HistoryEvent *it : events.Work)
    exchange.Parties.push_back({std::get<WorkEvent>(it->Data).Upstream, it->Time});
  return exchange;
}

bool wasDisturbed(const Exchange &exchange, const FaultTimeline &faults) {
  const Interval span = exchange.span();
  const auto isInSpan = [&](const Interval &cut) { return cut.overlaps(span); };
  return std::ranges::any_of(exchange.Parties, [&](const Party &one) {
    return faults.wasKilledIn(one.Process, span) ||
           std::ranges::any_of(exchange.Parties, [&](const Party &other) {
             return one.Process != other.Process &&
                    std::ranges::any_of(faults.cutsBetween(one.Process, other.Process), isInSpan);
           });
  });
}

/// Begin of a stop that the request was in flight for; null when there is none.
const HistoryEvent *stopOf(const Exchange &exchange, const GracefulStops &stops) {
  const auto &answer = std::get<AnswerEvent>(exchange.Answer->Data);
  for (const Party &it : exchange.Parties) {
    const HistoryEvent *stop = stops.stopDuring(it.Process, it.TakenAt, exchange.Answer->Time);
    // A stopping VM may turn away requests that arrive after it has begun to stop.
    const bool isTurnedAway = stop && answer.Failure && *answer.Failure == "shutting-down" &&
                              stop->Time <= exchange.Call->Time;
    if (stop && !isTurnedAway)
      return stop;
  }
  return nullptr;
}

} // namespace

Verdict GracefulStopCheck::check(const History &history) {
  Verdict verdict;
  verdict.Invariant = "I6";
  const RequestTable requests(history);
  const FaultTimeline faults(history);
  const GracefulStops stops(history);
  std::uint64_t excused = 0;
  for (const auto &[id, events] : requests.all())
    for (const HistoryEvent *call : events.Calls) {
      const Exchange exchange = exchangeOf(events, *call, faults);
      const HistoryEvent *stop = exchange.Answer ? stopOf(exchange, stops) : nullptr;
      if (!stop)
        continue;
      ++verdict.LookedAt;
      if (!isInterrupted(std::get<AnswerEvent>(exchange.Answer->Data)))
        continue;
      if (wasDisturbed(exchange, faults))
        ++excused;
      else
        verdict.addViolation("a graceful stop interrupted a request",
                             {*stop, *call, *exchange.Answer});
    }
  verdict.Figures = {{"excused", excused}};
  return verdict;
}

} // namespace wigeonlift
