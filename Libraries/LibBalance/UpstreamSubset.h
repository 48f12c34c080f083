#pragma once

#include <LibBalance/BalanceTypes.h>

#include <cstdint>
#include <span>
#include <vector>

namespace wigeonlift {

/// The upstreams of a large service that one VM works with. If each of many small VMs worked with
/// all upstreams, most of its requests would open a connection of their own.
///
/// The subset is larger the more of the fleet's requests the VM gets, holds near and far upstreams,
/// and changes little when upstreams or VMs come and go. VMs with different keys choose
/// independently, so every upstream is in the subsets of several VMs.
/// `share` is the part of the fleet's requests that this VM gets, from 0 to 1.
std::vector<UpstreamInfo> chooseSubset(std::span<const UpstreamInfo> upstreams, std::uint64_t vmKey,
                                       double share);

} // namespace wigeonlift
