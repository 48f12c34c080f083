#pragma once

#include <LibMembership/LibMembership.h>
#include <LibWire/LibWire.h>

#include <string>

namespace wigeonlift {

/// What the control task adds to its state dump beside the fleet core.
struct PlatformState {
  /// Request and header of a read, as the platform's stand-in sends them.
  static constexpr std::uint64_t HttpBytes = 250;

  std::uint64_t ConfigurationReads = 0;
  std::uint64_t ConfigurationFailures = 0;
  std::uint64_t ListReads = 0;
  std::uint64_t ListFailures = 0;
  /// Bytes of the reads of the configuration service and of the list, requests and headers
  /// estimated.
  std::uint64_t ConfigurationBytes = 0;
  std::uint64_t ListBytes = 0;
  std::size_t Upstreams = 0;
  /// Parts of the last root that are missing or have another digest.
  std::size_t MissingParts = 0;
};

/// State of the control task as a JSON object.
std::string dumpControl(const FleetNode &node, const PeerTransport &transport,
                        const PlatformState &platform, TimePoint now);

} // namespace wigeonlift
