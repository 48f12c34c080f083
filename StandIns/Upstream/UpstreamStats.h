#pragma once

#include <cstdint>

namespace wigeonlift {

/// Counters of one upstream since its process started.
struct UpstreamStats {
  std::uint64_t Connections = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Started = 0;
  std::uint64_t Finished = 0;
  std::uint64_t Effects = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t FailedFast = 0;
};

} // namespace wigeonlift
