#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace wigeonlift {

/// Sum of the probes that the upstreams with these admin addresses have counted. Upstreams that
/// don't answer count as 0.
std::uint64_t countProbes(std::span<const std::string> adminAddresses);

} // namespace wigeonlift
