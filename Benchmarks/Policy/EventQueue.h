#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wigeonlift::bench {

/// Virtual time: actions run in the order of their instants, equal instants in order of addition.
class EventQueue {
public:
  TimePoint now() const { return Now; }
  void at(TimePoint due, std::function<void()> action) {
    Events.push({std::max(due, Now), Next++, std::move(action)});
  }
  void after(Duration delay, std::function<void()> action) { at(Now + delay, std::move(action)); }
  void runUntil(TimePoint end);

private:
  struct Event {
    TimePoint Due;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &other) const {
      return Due != other.Due ? Due > other.Due : Order > other.Order;
    }
  };

  TimePoint Now{};
  std::uint64_t Next = 0;
  std::priority_queue<Event> Events;
};

} // namespace wigeonlift::bench
