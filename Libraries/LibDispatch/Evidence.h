#pragma once

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

#include <vector>

namespace wigeonlift {

/// Applies evidence that this VM received from the upstream. Returns true when it shows for the
/// first time that the upstream drains.
bool applyDirectEvidence(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now);
/// Applies evidence relayed by a peer. Returns true when it shows for the first time that the
/// upstream drains.
bool applyPeerEvidence(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now);
/// Evidence that is recent enough for peers: draining upstreams first, then newest first.
std::vector<UpstreamEvidence> freshEvidence(const UpstreamTable &table, TimePoint now);

} // namespace wigeonlift
