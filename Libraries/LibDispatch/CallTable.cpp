#include <LibDispatch/CallTable.h>

#include <algorithm>

namespace wigeonlift {

namespace {

/// Inserts a new key in a free node, or in an allocated one when none is free. Returns its value.
template <typename Map>
typename Map::mapped_type &insertNode(Map &map, std::vector<typename Map::node_type> &freeNodes,
                                      typename Map::key_type id) {
  if (freeNodes.empty())
    return map[id];
  auto node = std::move(freeNodes.back());
  freeNodes.pop_back();
  node.key() = id;
  node.mapped() = {};
  return map.insert(std::move(node)).position->second;
}

template <typename Map>
void removeNode(Map &map, std::vector<typename Map::node_type> &freeNodes,
                typename Map::key_type id) {
  if (auto node = map.extract(id))
    freeNodes.push_back(std::move(node));
}

} // namespace

void Call::avoid(UpstreamIndex upstream) {
  if (AvoidedCount < MaxAvoided)
    Avoided[AvoidedCount++] = upstream;
}

Call *CallTable::add(const CallSpec &spec) {
  if (Calls.contains(spec.Id))
    return nullptr;
  Call &call = insertNode(Calls, FreeCallNodes, spec.Id);
  call.Spec = spec;
  call.ExtraAttemptsLeft = std::max(0, spec.ExtraAttempts);
  return &call;
}

Call *CallTable::find(CallId id) {
  const auto it = Calls.find(id);
  return it == Calls.end() ? nullptr : &it->second;
}

Attempt *CallTable::find(AttemptId id) {
  const auto it = Attempts.find(id);
  return it == Attempts.end() ? nullptr : &it->second;
}

Attempt &CallTable::start(Call &call, UpstreamIndex upstream, TimePoint now) {
  const AttemptId id{NextAttemptId++};
  Attempt &attempt = insertNode(Attempts, FreeAttemptNodes, id);
  attempt.Id = id;
  attempt.Call = call.Spec.Id;
  attempt.Upstream = upstream;
  attempt.StartedAt = now;
  attempt.IsExport = call.isExport();
  call.Running[call.RunningCount++] = id;
  ++call.AttemptsStarted;
  return attempt;
}

void CallTable::remove(AttemptId id) {
  const auto it = Attempts.find(id);
  Call *call = find(it->second.Call);
  const auto end = call->Running.begin() + static_cast<std::ptrdiff_t>(call->RunningCount);
  call->RunningCount -= static_cast<std::size_t>(end - std::remove(call->Running.begin(), end, id));
  removeNode(Attempts, FreeAttemptNodes, id);
}

void CallTable::remove(CallId id) { removeNode(Calls, FreeCallNodes, id); }

} // namespace wigeonlift
