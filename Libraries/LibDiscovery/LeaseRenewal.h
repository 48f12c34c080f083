#pragma once

#include <LibBase/LibBase.h>

namespace wigeonlift {

/// Upstreams whose leases expired while the store was unreachable write their entries again within
/// this time after the store is reachable again.
inline constexpr Duration LeaseRenewalTime = std::chrono::milliseconds{2200};

} // namespace wigeonlift
