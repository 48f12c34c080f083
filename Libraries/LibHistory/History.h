#pragma once

#include <LibHistory/HistoryEvent.h>

#include <vector>

namespace wigeonlift {

/// All events of a run, ordered by time.
struct History {
  std::vector<HistoryEvent> Events;

  /// Orders events by time, and those of one writer at one time by their sequence.
  void sort();

  /// Calls `visit(event, data)` for each event of the given type, in order of time.
  template <typename Data> void forEach(auto &&visit) const {
    for (const HistoryEvent &it : Events)
      if (const Data *data = std::get_if<Data>(&it.Data))
        visit(it, *data);
  }
};

} // namespace wigeonlift
