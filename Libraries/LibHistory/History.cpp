#include <LibHistory/History.h>

#include <algorithm>
#include <tuple>

namespace wigeonlift {

void History::sort() {
  std::ranges::sort(Events, [](const HistoryEvent &a, const HistoryEvent &b) {
    return std::tie(a.Time, a.Writer, a.Incarnation, a.Sequence) <
           std::tie(b.Time, b.Writer, b.Incarnation, b.Sequence);
  });
}

} // namespace wigeonlift
