#include <LibDispatch/TimerQueue.h>

#include <algorithm>

namespace wigeonlift {

namespace {

bool isLater(const Timer &a, const Timer &b) { return a.Due > b.Due; }

} // namespace

void TimerQueue::add(Timer timer) {
  Heap.push_back(timer);
  std::push_heap(Heap.begin(), Heap.end(), isLater);
}

std::optional<Timer> TimerQueue::popDue(TimePoint now) {
  if (Heap.empty() || Heap.front().Due > now)
    return std::nullopt;
  std::pop_heap(Heap.begin(), Heap.end(), isLater);
  const Timer timer = Heap.back();
  Heap.pop_back();
  return timer;
}

std::optional<TimePoint> TimerQueue::next() const {
  if (Heap.empty())
    return std::nullopt;
  return Heap.front().Due;
}

} // namespace wigeonlift
