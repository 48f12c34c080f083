#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBalance/UpstreamLimits.h>

#include <cstdint>
#include <span>
#include <vector>

namespace wigeonlift {

/// Selects the subset of a service's upstreams that one VM sends requests to. If many small VMs
/// each used all upstreams of a large service, most of their requests would open a new connection.
///
/// The size of the subset grows with the VM's share of the fleet's requests. The subset contains
/// upstreams in the local and in other data centres, and changes little when upstreams or VMs are
/// added or removed. VMs with different keys select independently, so in a large fleet every
/// upstream is in the subsets of several VMs.
///
/// `requestShare` is the fraction of the fleet's requests that this VM receives, from 0 to 1.
std::vector<UpstreamInfo> chooseSubset(std::span<const UpstreamInfo> upstreams, std::uint64_t vmKey,
                                       double requestShare);

/// The same for a service of which some upstreams name rate limits or are cold. The subset contains
/// all upstreams that this VM holds shares of, since few other VMs send requests there, or probably
/// does if their limits aren't known to it. The rest is chosen from the others without those whose
/// limits leave nothing to this VM.
std::vector<UpstreamInfo> chooseSubset(std::span<const UpstreamInfo> upstreams,
                                       const UpstreamLimits &limits, std::uint64_t vmKey,
                                       double requestShare, TimePoint now);

} // namespace wigeonlift
