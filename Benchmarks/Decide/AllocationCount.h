#pragma once

#include <cstdint>

namespace wigeonlift::bench {

/// Allocations of this process through operator new.
std::uint64_t allocations();

} // namespace wigeonlift::bench
