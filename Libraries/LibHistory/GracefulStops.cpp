#include <LibHistory/GracefulStops.h>

#include <algorithm>

namespace wigeonlift {

GracefulStops::GracefulStops(const History &history) {
  for (const HistoryEvent &it : history.Events) {
    if (const auto *stop = std::get_if<StopEvent>(&it.Data))
      add(stop->Process, stop->At, it);
    else if (const auto *drain = std::get_if<DrainEvent>(&it.Data))
      add(drain->Upstream, drain->At, it);
  }
}

const HistoryEvent *GracefulStops::stopDuring(const std::string &process, TimePoint taken,
                                              TimePoint answered) const {
  const auto it = std::ranges::find_if(Stops, [&](const Stop &stop) {
    return stop.Process == process && stop.Span.Begin <= answered && taken < stop.Span.End;
  });
  return it == Stops.end() ? nullptr : it->Begin;
}

void GracefulStops::add(const std::string &process, Phase phase, const HistoryEvent &event) {
  if (phase == Phase::Begun) {
    Stops.push_back({process, {event.Time, TimePoint::max()}, &event});
    return;
  }
  for (Stop &it : Stops)
    if (it.Process == process)
      it.Span.End = std::min(it.Span.End, event.Time);
}

} // namespace wigeonlift
