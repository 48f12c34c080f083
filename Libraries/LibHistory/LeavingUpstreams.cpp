#include <LibHistory/LeavingUpstreams.h>

namespace wigeonlift {

LeavingUpstreams::LeavingUpstreams(const History &history) {
  for (const HistoryEvent &it : history.Events) {
    if (const auto *drain = std::get_if<DrainEvent>(&it.Data))
      add(drain->Upstream, drain->At, it);
    // After the end of its stop a process takes no work either, until it starts again.
    else if (const auto *stop = std::get_if<StopEvent>(&it.Data); stop && stop->At == Phase::Begun)
      add(stop->Process, Phase::Begun, it);
    else if (const auto *start = std::get_if<StartEvent>(&it.Data))
      add(start->Process, Phase::Ended, it);
  }
}

const HistoryEvent *LeavingUpstreams::overdueAt(const std::string &upstream, TimePoint time,
                                                Duration limit) const {
  const std::optional<Interval> span = Spans.at(upstream, time);
  if (!span || time <= span->Begin + limit)
    return nullptr;
  return Begins.at({upstream, span->Begin});
}

void LeavingUpstreams::add(const std::string &upstream, Phase phase, const HistoryEvent &event) {
  if (phase == Phase::Begun) {
    Spans.begin(upstream, event.Time);
    Begins.try_emplace({upstream, event.Time}, &event);
  } else {
    Spans.end(upstream, event.Time);
  }
}

} // namespace wigeonlift
