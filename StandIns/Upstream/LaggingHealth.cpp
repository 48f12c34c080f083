#include <StandIns/Upstream/LaggingHealth.h>

namespace wigeonlift {

void LaggingHealth::record(const LoadReport &load, TimePoint now) {
  History.emplace_back(now, load);
  // The second entry is old enough to be shown, so the first one is not needed any more.
  while (History.size() > 1 && History[1].first <= now - Lag)
    History.pop_front();
}

LoadReport LaggingHealth::shown(TimePoint now) const {
  LoadReport load;
  for (const auto &[time, recorded] : History)
    if (time <= now - Lag)
      load = recorded;
  load.State = UpstreamState::Ready;
  return load;
}

} // namespace wigeonlift
