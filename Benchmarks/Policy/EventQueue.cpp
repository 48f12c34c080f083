#include "EventQueue.h"

namespace wigeonlift::bench {

void EventQueue::runUntil(TimePoint end) {
  while (!Events.empty() && Events.top().Due <= end) {
    // The queue gives no mutable access to its top; the event is removed right after the move.
    Event event = std::move(const_cast<Event &>(Events.top()));
    Events.pop();
    Now = event.Due;
    event.Action();
  }
  Now = end;
}

} // namespace wigeonlift::bench
