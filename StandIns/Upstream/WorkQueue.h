#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace wigeonlift {

/// Slots of an upstream with a first-in-first-out queue before them.
class WorkQueue {
public:
  using WorkId = std::uint64_t;
  enum class Admission : std::uint8_t { Started, Queued, Refused };

  WorkQueue(int slots, int queueLimit) : Slots(slots), QueueLimit(queueLimit) {}

  Admission submit(WorkId id);
  /// Removes work that has finished or was cancelled. Returns the work that starts in its place.
  std::optional<WorkId> remove(WorkId id);
  void setQueueLimit(int limit) { QueueLimit = limit; }

  bool isRunning(WorkId id) const { return Running.contains(id); }
  int slots() const { return Slots; }
  int inFlight() const { return static_cast<int>(Running.size()); }
  int queued() const { return static_cast<int>(Waiting.size()); }
  bool isIdle() const { return Running.empty() && Waiting.empty(); }

private:
  int Slots;
  int QueueLimit;
  std::set<WorkId> Running;
  std::deque<WorkId> Waiting;
};

} // namespace wigeonlift
