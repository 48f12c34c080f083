#pragma once

#include <LibDiscovery/LibDiscovery.h>
#include <LibFleet/VmAddress.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// What a VM says of itself, as others pass it on.
struct FleetVm {
  VmAddress Ip = 0;
  std::string DataCentre;
  /// Larger for each start of the process.
  std::uint64_t Incarnation = 0;
  /// Increases while the process runs.
  std::uint32_t Beat = 0;
  bool IsReady = false;
  bool IsStopping = false;
  /// Its calls to the store fail, or did so a moment ago.
  bool HasLostStore = false;
  /// Time since the store last answered it; calls that it doesn't make don't count.
  std::uint32_t StoreContactAgeMs = UINT32_MAX;
  /// Share of the callers that it can take, in relation to others.
  std::uint32_t Weight = 1;
  /// Revision of its replica of the store.
  StoreRevision Revision = 0;

  bool operator==(const FleetVm &) const = default;
};

/// A datagram between VMs.
struct FleetMessage {
  FleetVm Sender;
  std::vector<FleetVm> Others{};
  bool WantsAnswer = false;
  /// Changes of the store after a revision.
  std::optional<StoreDelta> Delta{};
  StoreRevision DeltaAfter = 0;
};

} // namespace wigeonlift
