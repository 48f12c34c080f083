#pragma once

#include <LibBase/LibBase.h>
#include <LibDiscovery/LibDiscovery.h>
#include <LibFleet/PeerClocks.h>
#include <LibFleet/VmAddress.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Largest datagram between VMs, in bytes. Larger changes of the store are read over a connection
/// by those who need them.
inline constexpr std::size_t MaxDatagramBytes = 1300;

/// Whether the changes may fit a datagram.
inline bool mayFitDatagram(const StoreDelta &delta) {
  std::size_t bytes = 0;
  for (const StoreItem &it : delta.Items)
    if ((bytes += it.Key.size() + it.Value.size()) > MaxDatagramBytes)
      return false;
  return true;
}

/// The state of a VM. The VM itself sets it, and other VMs forward it.
struct FleetVm {
  VmAddress Ip = 0;
  std::string DataCentre;
  /// Increases with each start of the process. If peers know a higher number than that of the
  /// running process, the process takes an even higher one.
  std::uint64_t Incarnation = 0;
  /// Heartbeat counter, which increases while the process runs.
  std::uint32_t HeartbeatCount = 0;
  bool IsReady = false;
  bool IsStopping = false;
  /// Whether the VM's calls to the store fail, or failed a short time ago.
  bool IsStoreDisconnected = false;
  /// Capacity for callers, relative to the weights of other VMs.
  std::uint32_t Weight = 1;
  /// Sum of the weights of the VMs of its data centre that it knows, including its own. VMs of
  /// other data centres don't know all of them.
  std::uint32_t DataCentreWeight = 0;
  /// Revision of the VM's replica of the store.
  StoreRevision Revision = 0;
  /// How long the VMs that forwarded this state have kept it; zero in the VM's own messages. The
  /// time on the network is not included.
  Duration Age{};

  bool operator==(const FleetVm &) const = default;
};

/// What a VM wants to be answered.
enum class AnswerWanted : std::uint8_t {
  None,
  Own, ///< The state of the receiver, its clock, and how recent its replica is.
  All, ///< The states of other VMs as well.
};

/// A datagram between VMs.
struct FleetMessage {
  FleetVm Sender;
  /// On the sender's clock, in milliseconds; 0 if unknown.
  std::uint64_t SentAtMs = 0;
  /// The sender's replica has all changes that the store had acknowledged by then, on the
  /// receiver's clock. Empty if that isn't known, or not how the receiver's clock runs.
  std::optional<ClockReading> ReplicaConfirmedAt{};
  /// Whether the lead reader sends this, directly or through a VM of the receiver's data centre.
  bool IsFromLeadReader = false;
  /// The store answered a call of some VM at this time, on the receiver's clock. Empty if no such
  /// answer is known, or not how the receiver's clock runs.
  std::optional<ClockReading> StoreReachedAt{};
  /// The store was unreachable at this time, on the receiver's clock, for the VM that read the
  /// latest changes of the sender's replica from it. Empty if it was not shortly before.
  std::optional<ClockReading> StoreDownAt{};
  /// States of VMs other than the sender.
  std::vector<FleetVm> Others{};
  AnswerWanted Wanted = AnswerWanted::None;
  /// The most urgent shortages of services at the sender, four at most. A service that isn't named
  /// has none, or a less urgent one.
  std::vector<ServiceShortage> Shortages{};
  /// The seeds that the sender has heard of since its start, or VMs that it has heard.
  std::vector<VmAddress> KnownSeeds{};
  /// Changes of the store after the revision `DeltaAfter`, or a complete copy of the store.
  std::optional<StoreDelta> Delta{};
  StoreRevision DeltaAfter = 0;
};

} // namespace wigeonlift
