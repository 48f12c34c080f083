#pragma once

#include <LibFleet/FleetMessage.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// A datagram to be sent.
struct FleetDatagram {
  VmAddress To = 0;
  FleetMessage Message;
};

/// What the VMs together say of the store.
enum class StoreOutage : std::uint8_t {
  None,
  Possible, ///< Some VMs don't reach it; whether others do is not known.
  Certain,  ///< No data centre reaches it, or did so until a moment ago.
};

/// To whom a change of the store is passed on.
enum class PropagationScope : std::uint8_t {
  LocalVmsAndRemoteReaders, ///< By a VM that has it from the store.
  AllLocalVms,              ///< By a VM that has it from another data centre.
  FewLocalVms,              ///< By all others, since datagrams get lost.
};

/// What this VM knows of the other VMs. Each VM sends a datagram to a near VM every beat and to a
/// far one now and then; rows spread from VM to VM, and a row whose beat stands still is dead. Near
/// VMs are known within seconds. Of far ones it is only known roughly who is there, so that what a
/// VM sends doesn't grow with the fleet.
/// Performs no I/O.
///
/// The VMs of a data centre that watch the store for the others are its readers. Every VM works out
/// for itself which ones these are.
class FleetMembership {
public:
  /// Time between two calls of `tick`.
  static constexpr Duration GossipInterval = std::chrono::milliseconds{500};

  FleetMembership(FleetVm self, std::vector<VmAddress> seeds, std::uint64_t seed,
                  TimePoint startedAt);

  /// What others shall know of this VM.
  void setReady(bool isReady) { Self.IsReady = isReady; }
  void setRevision(StoreRevision revision) { Self.Revision = revision; }
  /// Returns messages to the VMs that come next as readers: they must not wait until the news has
  /// passed from VM to VM.
  std::vector<FleetDatagram> setStoreDisconnected(bool hasLost, TimePoint now);
  void didReachStore(TimePoint now) { ContactAt = now; }
  /// This VM stops: tells all at once.
  std::vector<FleetDatagram> stop(TimePoint now);

  /// Regular messages.
  std::vector<FleetDatagram> tick(TimePoint now);
  /// Takes over what a message says about VMs; returns answers.
  std::vector<FleetDatagram> didReceive(const FleetMessage &message, TimePoint now);
  /// Messages that bring a change of the store to VMs that aren't known to have it.
  std::vector<FleetDatagram> propagate(const StoreDelta &delta, StoreRevision after,
                                       PropagationScope reach, TimePoint now);
  bool isInOwnDataCentre(VmAddress vm) const;

  const FleetVm &self() const { return Self; }
  /// All VMs that are alive, this one included.
  std::vector<FleetVm> aliveVms(TimePoint now) const;
  /// Whether this VM watches the store for its data centre.
  bool isReader(TimePoint now) const;
  /// Whether a near VM that isn't this one watches the store with success.
  bool hasWorkingReader(TimePoint now) const;
  StoreOutage storeOutage(TimePoint now) const;
  /// A VM whose replica is ahead of a revision, a near one if there is one.
  std::optional<VmAddress> findPeerAhead(StoreRevision revision, TimePoint now);
  /// This VM's share of what the fleet may spend together, in proportion to the callers that it
  /// gets. VMs that have fallen silent keep theirs for a while, since they may only be out of
  /// reach.
  double budgetShare(TimePoint now) const;
  /// VMs for a caller in a data centre, chosen in proportion to their weights.
  std::vector<VmAddress> addressesForCaller(std::string_view dataCentre, std::size_t most,
                                            TimePoint now);
  /// Near VMs that have come or gone since the last call, for logs.
  std::vector<std::pair<VmAddress, std::string_view>> takeLivenessChanges(TimePoint now);

private:
  struct Peer {
    FleetVm Vm;
    TimePoint HeardAt{};
    bool WasAlive = false;
  };

  bool isAlive(const Peer &peer, TimePoint now) const;
  bool isInOwnDataCentre(const FleetVm &vm) const { return vm.DataCentre == Self.DataCentre; }
  void refreshSelf(TimePoint now);
  void merge(const FleetVm &vm, TimePoint now);
  /// VMs of a data centre in the order in which they become readers.
  std::vector<FleetVm> readerOrder(std::string_view dataCentre, TimePoint now) const;
  std::vector<FleetVm> readersOf(std::string_view dataCentre, TimePoint now) const;
  std::vector<const Peer *> freshest(bool isNearWanted, std::size_t most, TimePoint now) const;
  FleetMessage message(bool isFar, TimePoint now);
  std::optional<VmAddress> pick(bool isInOwnDataCentre, TimePoint now);

  FleetVm Self;
  std::vector<VmAddress> Seeds;
  Random Rng;
  TimePoint StartedAt;
  std::map<VmAddress, Peer> Peers;
  TimePoint ContactAt{};
  std::uint64_t Ticks = 0;
  /// Other VMs of the own data centre.
  std::size_t NearCount = 0;
};

} // namespace wigeonlift
