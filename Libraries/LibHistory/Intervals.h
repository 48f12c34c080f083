#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// A half-open span of time.
struct Interval {
  TimePoint Begin{};
  TimePoint End = TimePoint::max();

  bool contains(TimePoint time) const { return Begin <= time && time < End; }
  bool overlaps(const Interval &other) const { return Begin < other.End && other.Begin < End; }
};

/// Spans of time during which something lasted, by its name.
class Intervals {
public:
  /// Begins a span, unless one of that name lasts already.
  void begin(const std::string &name, TimePoint time);
  /// Ends the span of that name that lasts, if any.
  void end(const std::string &name, TimePoint time);

  /// Spans of that name in order; one that did not end lasts to the end of time.
  const std::vector<Interval> &of(const std::string &name) const;
  /// The span of that name which contains the time.
  std::optional<Interval> at(const std::string &name, TimePoint time) const;
  bool isEmpty() const { return Spans.empty(); }

private:
  std::map<std::string, std::vector<Interval>> Spans;
};

} // namespace wigeonlift
