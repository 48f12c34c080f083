#include <StandIns/Upstream/WorkQueue.h>

namespace wigeonlift {

WorkQueue::Admission WorkQueue::submit(WorkId id) {
  if (inFlight() < Slots) {
    Running.insert(id);
    return Admission::Started;
  }
  if (queued() >= QueueLimit)
    return Admission::Refused;
  Waiting.push_back(id);
  return Admission::Queued;
}

std::optional<WorkQueue::WorkId> WorkQueue::remove(WorkId id) {
  if (Running.erase(id) == 0) {
    std::erase(Waiting, id);
    return std::nullopt;
  }
  if (Waiting.empty())
    return std::nullopt;
  const WorkId next = Waiting.front();
  Waiting.pop_front();
  Running.insert(next);
  return next;
}

} // namespace wigeonlift
