#include <LibHistory/Intervals.h>

#include <algorithm>

namespace wigeonlift {

void Intervals::begin(const std::string &name, TimePoint time) {
  std::vector<Interval> &spans = Spans[name];
  if (spans.empty() || spans.back().End != TimePoint::max())
    spans.push_back({time, TimePoint::max()});
}

void Intervals::end(const std::string &name, TimePoint time) {
  std::vector<Interval> &spans = Spans[name];
  if (!spans.empty() && spans.back().End == TimePoint::max())
    spans.back().End = time;
}

const std::vector<Interval> &Intervals::of(const std::string &name) const {
  static const std::vector<Interval> none;
  const auto it = Spans.find(name);
  return it == Spans.end() ? none : it->second;
}

std::optional<Interval> Intervals::at(const std::string &name, TimePoint time) const {
  const std::vector<Interval> &spans = of(name);
  const auto it =
      std::ranges::find_if(spans, [&](const Interval &span) { return span.contains(time); });
  return it == spans.end() ? std::nullopt : std::optional{*it};
}

} // namespace wigeonlift
