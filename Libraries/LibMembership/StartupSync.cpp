#include <LibMembership/StartupSync.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr std::size_t PeersToAsk = 3;
constexpr Duration MaxWait = std::chrono::seconds{3};
/// A peer that announces a version and can't deliver it must not keep the VM from serving.
constexpr Duration MaxWaitWhileBehind = std::chrono::seconds{10};

} // namespace

bool StartupSync::becomesDone(std::size_t knownPeers, bool hasCatalogue, bool isBehind,
                              TimePoint now) {
  const Duration waited = now - StartedAt;
  const bool hasAskedPeers =
      waited >= MaxWait || (knownPeers > 0 && Peers.size() >= std::min(knownPeers, PeersToAsk));
  const bool mayBeBehind = waited >= MaxWaitWhileBehind;
  if (IsDone || !hasCatalogue || !HasAskedService || !hasAskedPeers || (isBehind && !mayBeBehind))
    return false;
  IsDone = true;
  return true;
}

} // namespace wigeonlift
