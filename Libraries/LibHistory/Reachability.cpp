#include <LibHistory/Reachability.h>

#include <algorithm>

namespace wigeonlift {

Reachability::Reachability(const FaultTimeline &faults)
    : Faults(faults), Changes(faults.cutChanges()) {
  for (const EntryLife &it : Faults.entryLives()) {
    Changes.insert(it.Alive.Begin);
    Changes.insert(it.Alive.End);
  }
}

bool Reachability::wasIsolatedFor(Duration span, const std::string &vm, const std::string &upstream,
                                  TimePoint time) const {
  if (!Faults.areCut(vm, upstream, time))
    return false;
  // Cuts change at known times, so it is enough to look at the begin and at those.
  const TimePoint begin = time - span;
  std::set<std::string> knowing = spread(vm, upstream, begin, {});
  std::for_each(Changes.upper_bound(begin), Changes.upper_bound(time),
                [&](TimePoint it) { knowing = spread(vm, upstream, it, knowing); });
  return !knowing.contains(vm);
}

std::set<std::string> Reachability::spread(const std::string &vm, const std::string &upstream,
                                           TimePoint time,
                                           const std::set<std::string> &before) const {
  // The VM itself lives, since it sends work; a stopping VM no longer counts as alive.
  std::set<std::string> others{vm};
  for (const EntryLife &it : Faults.entryLives())
    if (it.Alive.contains(time))
      others.insert(it.Process);
  std::set<std::string> knowing;
  const auto learns = [&](const std::string &one) {
    return before.contains(one) || !Faults.areCut(one, upstream, time) ||
           std::ranges::any_of(
               knowing, [&](const std::string &other) { return !Faults.areCut(one, other, time); });
  };
  for (bool hasSpread = true; hasSpread;)
    hasSpread = std::erase_if(others, [&](const std::string &one) {
                  return learns(one) && knowing.insert(one).second;
                }) > 0;
  return knowing;
}

} // namespace wigeonlift
