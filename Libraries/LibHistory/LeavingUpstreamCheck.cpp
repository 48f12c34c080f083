#include <LibHistory/LeavingUpstreamCheck.h>

#include <LibHistory/FaultTimeline.h>
#include <LibHistory/LeavingUpstreams.h>
#include <LibHistory/Reachability.h>

namespace wigeonlift {

Verdict LeavingUpstreamCheck::check(const History &history) const {
  Verdict verdict;
  verdict.Invariant = "I5";
  const LeavingUpstreams leaving(history);
  const FaultTimeline faults(history);
  const Reachability reachability(faults);
  std::uint64_t drains = 0;
  std::uint64_t cutDispatches = 0;
  history.forEach<DrainEvent>([&](const HistoryEvent &, const DrainEvent &drain) {
    drains += drain.At == Phase::Begun ? 1 : 0;
  });
  const auto judge = [&](const HistoryEvent &event, const std::string &upstream, TimePoint time) {
    ++verdict.LookedAt;
    if (const HistoryEvent *begin = leaving.overdueAt(upstream, time, Limit))
      verdict.addViolation("an upstream that is leaving got new work", {*begin, event});
  };
  history.forEach<WorkEvent>([&](const HistoryEvent &event, const WorkEvent &work) {
    judge(event, work.Upstream, work.ReceivedAt);
  });
  history.forEach<DispatchEvent>([&](const HistoryEvent &event, const DispatchEvent &dispatch) {
    judge(event, dispatch.Upstream, event.Time);
    cutDispatches += faults.areCut(event.Writer, dispatch.Upstream, event.Time) ? 1 : 0;
    if (reachability.wasIsolatedFor(Limit, event.Writer, dispatch.Upstream, event.Time))
      verdict.addViolation("a VM without any way to learn the upstream's state sent it work",
                           {event});
  });
  verdict.Figures = {{"drains", drains},
                     {"partitions", faults.cutChanges().size()},
                     {"dispatches_while_cut", cutDispatches}};
  return verdict;
}

} // namespace wigeonlift
