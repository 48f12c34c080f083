#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibCatalogue/Catalogue.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlift {

/// Random arrivals of calls to the entries of a catalogue. The same seed gives the same calls.
class CallMix {
public:
  /// Fails with kInvalidArgument when a name is no entry of the catalogue or no rate is positive.
  static absl::StatusOr<CallMix> of(const Catalogue &catalogue,
                                    std::span<const std::pair<std::string, double>> rates,
                                    std::uint64_t seed);

  /// Time from one call to the next one, exponentially distributed.
  Duration nextGap();
  const EntrySpec &nextEntry();

private:
  explicit CallMix(std::uint64_t seed) : Source(seed) {}

  Random Source;
  /// Entries with the sum of the rates up to and including theirs.
  std::vector<std::pair<double, const EntrySpec *>> Cumulative;
};

} // namespace wigeonlift
