#include <LibFleet/PeerReads.h>

namespace wigeonlift {

namespace {

// How long a VM from which a read failed is avoided.
constexpr Duration AvoidAfterFailure = std::chrono::seconds{3};

} // namespace

std::optional<VmAddress> PeerReads::next(FleetMembership &members, StoreRevision revision,
                                         TimePoint now) {
  if (InProgress.size() >= MaxInProgress)
    return std::nullopt;
  std::erase_if(FailedAt, [&](const auto &it) { return now - it.second > AvoidAfterFailure; });
  std::set<VmAddress> avoided = InProgress;
  for (const auto &[vm, failedAt] : FailedAt)
    avoided.insert(vm);
  auto vm = members.findPeerAhead(revision, avoided, now);
  if (!vm)
    vm = members.findPeerAhead(revision, InProgress, now);
  if (vm)
    InProgress.insert(*vm);
  return vm;
}

void PeerReads::didEnd(VmAddress vm, bool hasSucceeded, TimePoint now) {
  InProgress.erase(vm);
  if (!hasSucceeded)
    FailedAt[vm] = now;
}

} // namespace wigeonlift
