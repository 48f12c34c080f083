#pragma once

#include <LibBudget/LibBudget.h>
#include <LibFleet/FleetMessage.h>
#include <LibFleet/ShareHolders.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// A message and the VM to send it to.
struct FleetDatagram {
  VmAddress To = 0;
  FleetMessage Message;
};

/// Whether the store is down, as far as the states of the live VMs show.
enum class StoreOutage : std::uint8_t {
  None,
  Possible, ///< Some VMs don't reach the store; others may reach it.
  Certain,  ///< Each data centre has a VM that doesn't reach the store, and no VM has reached it
            ///< for as long as such news takes.
};

/// Another VM that watches the store for this one.
struct OtherReader {
  VmAddress Ip = 0;
  /// Time since a newer state of that VM last arrived.
  Duration SilentFor{};
};

/// Which VMs a change of the store is sent to. VMs that are known to have it are left out.
enum class PropagationScope : std::uint8_t {
  LocalVmsAndRemoteReaders, ///< If the change comes from the store.
  AllLocalVms,              ///< If the change comes from a VM of another data centre.
  FewLocalVms, ///< If the change comes from a VM of this data centre, which sends it to the other
               ///< local VMs as well. Makes up for lost datagrams.
};

/// The other VMs of the fleet and their states, exchanged by gossip. Performs no I/O.
///
/// With each tick, a VM sends its own state and those of some others to one or two random VMs of
/// its data centre, and less often to a VM of another data centre. A VM whose heartbeat count no
/// longer increases is considered dead. The states of VMs in the same data centre ("local" VMs)
/// arrive within seconds. Knowledge of VMs in other data centres ("remote" VMs) is incomplete and
/// less recent, so that the traffic of a VM doesn't grow with the fleet.
///
/// The readers of a data centre are the VMs that watch the store for the others. Each VM determines
/// the readers on its own from the states that it knows.
class FleetMembership {
public:
  /// Time between two calls of `tick`.
  static constexpr Duration GossipInterval = std::chrono::milliseconds{500};
  /// Number of addresses below which a caller also gets those of VMs in other data centres.
  static constexpr std::size_t MinAddresses = 2;

  /// `seeds` are the VMs that this VM contacts to join the fleet. `rngSeed` initializes the random
  /// number generator.
  FleetMembership(FleetVm self, std::vector<VmAddress> seeds, std::uint64_t rngSeed,
                  TimePoint startedAt);

  /// Updates the state of this VM that the others receive.
  void setReady(bool isReady) { Self.IsReady = isReady; }
  void setRevision(StoreRevision revision) { Self.Revision = revision; }
  /// The replica of this VM has all changes that the store had acknowledged by then.
  void setReplicaConfirmedAt(TimePoint confirmedAt) { ReplicaConfirmedAt = confirmedAt; }
  /// Sets whether this VM's calls to the store fail. If they have just begun to fail, returns
  /// messages that notify the next reader candidates directly, since gossip would take too long.
  std::vector<FleetDatagram> setStoreDisconnected(bool isDisconnected, TimePoint now);
  /// The store was unreachable at that time for the VM that read the latest changes of the replica
  /// from it.
  void setStoreDownAt(std::optional<TimePoint> time) { StoreDownAt = time; }
  /// The store answered a call of some VM at that time.
  void didReachStore(TimePoint time) {
    StoreReachedAt = std::max(time, StoreReachedAt.value_or(time));
  }
  /// Sets which services are short of room at this VM. All messages carry the most urgent ones.
  void setShortages(std::vector<ServiceShortage> shortages);
  /// Marks this VM as stopping. Returns messages that directly notify all VMs that are considered
  /// alive.
  std::vector<FleetDatagram> stop(TimePoint now);

  /// Returns the regular gossip messages; to be called every `GossipInterval`. A VM that wants news
  /// sends to another data centre each time and asks for answers.
  std::vector<FleetDatagram> tick(TimePoint now, bool wantsNews = false);
  /// Merges the VM states of a message; the caller applies its delta. Returns an answer if the
  /// sender wants one or was unknown.
  std::vector<FleetDatagram> didReceive(const FleetMessage &message, TimePoint now);
  /// Returns messages that send the changes after `deltaAfter` to VMs that aren't known to have
  /// them.
  std::vector<FleetDatagram> propagate(const StoreDelta &delta, StoreRevision deltaAfter,
                                       PropagationScope scope, TimePoint now);
  /// Returns messages that tell the other VMs of the data centre the present state of this VM. The
  /// lead reader also tells the readers of the other data centres. `isFromLeadReader` is set when
  /// its message is passed on.
  std::vector<FleetDatagram> announce(bool isFromLeadReader, TimePoint now);
  /// Returns a message that asks a VM for its present state.
  FleetDatagram ask(VmAddress vm, TimePoint now) const;
  /// Returns a message that asks the reader of this data centre, unless this VM is the reader.
  std::optional<FleetDatagram> askReader(TimePoint now) const;
  /// A time on this VM's clock that was received. Empty if it is for an earlier process.
  std::optional<TimePoint> toOwnTime(const std::optional<ClockReading> &reading,
                                     TimePoint now) const;
  /// When the store was last unreachable before the latest changes of a VM's replica, as that VM
  /// last said. Empty if it is not known.
  std::optional<TimePoint> storeDownAt(VmAddress vm) const;
  /// Returns false for unknown VMs.
  bool isInOwnDataCentre(VmAddress vm) const;

  const FleetVm &self() const { return Self; }
  /// All VMs that are considered alive, including this one.
  std::vector<FleetVm> aliveVms(TimePoint now) const;
  /// Whether this VM watches the store for its data centre.
  bool isReader(TimePoint now) const;
  /// The reader that tells those of the other data centres each time that the store confirms its
  /// replica. If all VMs know each other, there is one in the fleet.
  std::optional<VmAddress> leadReader(TimePoint now) const;
  bool isLeadReader(TimePoint now) const { return leadReader(now) == Self.Ip; }
  /// The VM that watches the store for this data centre. Empty if this VM does so itself or no VM
  /// is able to.
  std::optional<OtherReader> otherReader(TimePoint now) const;
  /// `maxSilence` is the time within which this VM hears of any VM that reaches the store.
  StoreOutage storeOutage(Duration maxSilence, TimePoint now) const;
  /// Whether the replica of some VM is ahead of this VM's.
  bool isBehind(TimePoint now) const;
  /// A random VM whose replica is ahead of a revision, preferably one that was heard a moment ago,
  /// and of this data centre.
  std::optional<VmAddress> findPeerAhead(StoreRevision revision, const std::set<VmAddress> &avoided,
                                         TimePoint now);
  /// Which VM holds which shares of what the fleet divides.
  ShareAssignment shareAssignment(SharedThing thing, TimePoint now) const {
    return Holders.assignment(Self, thing, now);
  }
  /// The fraction of the fleet's allowance of repeated requests that this VM may use, in proportion
  /// to its weight.
  double repeatShare(TimePoint now) const;
  /// An estimate of the fraction of the fleet's requests that this VM gets. For what has to be more
  /// than nothing also at a VM that doesn't know the others, and breaks no limit if it is wrong.
  double requestShare(TimePoint now) const;
  /// Addresses of ready VMs for a caller in a data centre. VMs are chosen at random, in proportion
  /// to their weights. VMs of other data centres are included only if fewer than two VMs of that
  /// data centre are ready. Callers try each address that they get, so VMs are named only if they
  /// are known to have run a few seconds ago.
  std::vector<VmAddress> addressesForCaller(std::string_view dataCentre, std::size_t maxCount,
                                            TimePoint now);
  /// VMs of this data centre that became alive ("up") or dead ("down") since the last call, for
  /// logs.
  std::vector<std::pair<VmAddress, std::string_view>> takeLivenessChanges(TimePoint now);

private:
  struct Peer {
    FleetVm Vm;
    /// When a newer state of the VM last arrived.
    TimePoint HeardAt{};
    /// When the VM sent that state, which other VMs may have kept for a while. At worst too late,
    /// by the time on the network.
    TimePoint SentAt{};
    /// When a message of the VM itself last arrived.
    std::optional<TimePoint> ContactAt{};
    /// What that message said of the store.
    std::optional<TimePoint> StoreDownAt{};
    bool WasReportedAlive = false;
  };

  bool isAlive(const Peer &peer, TimePoint now) const;
  /// Whether callers may get the address of this VM.
  static bool isNamedToCallers(const Peer &peer, TimePoint now);
  /// Whether callers of this data centre get addresses of others.
  bool namesRemoteVms(TimePoint now) const;
  bool isInOwnDataCentre(const FleetVm &vm) const { return vm.DataCentre == Self.DataCentre; }
  /// Takes over the state of a VM, if it is newer, from a message that was under way for so long.
  void merge(const FleetVm &vm, Duration delay, TimePoint now);
  /// The known state of a VM with its age, as messages contain it.
  static FleetVm stateOf(const Peer &peer, TimePoint now);
  /// How much longer than usual a message was on its way.
  Duration delayOf(const FleetMessage &message, TimePoint now) const;
  /// Returns a message with the state of this VM only.
  FleetMessage messageWithSelf(TimePoint now) const;
  /// Adds what depends on the receiver to a message.
  FleetDatagram addressTo(VmAddress to, FleetMessage message, TimePoint now) const;
  std::vector<FleetDatagram> addressTo(std::span<const VmAddress> receivers,
                                       const FleetMessage &message, TimePoint now) const;
  /// The other VMs of this data centre that are considered alive.
  std::vector<VmAddress> localVms(TimePoint now) const;
  /// VMs of a data centre in the order of preference as readers. Stopping VMs and VMs without a
  /// copy of the store are left out.
  std::vector<FleetVm> readerCandidates(std::string_view dataCentre, TimePoint now) const;
  /// The readers of the other data centres.
  std::vector<VmAddress> remoteReaders(TimePoint now) const;
  /// The readers of a data centre, which are its first candidates.
  std::vector<FleetVm> readersOf(std::string_view dataCentre, TimePoint now) const;
  std::vector<const Peer *> mostRecentlyHeard(bool isLocalWanted, std::size_t maxCount,
                                              TimePoint now) const;
  /// Returns a message with the states of this VM and others. `isToRemote` selects the fewer states
  /// that regular gossip sends to other data centres. Answers and messages to seeds always have the
  /// full number.
  FleetMessage composeMessage(bool isToRemote, TimePoint now);
  /// Returns a random one of the VMs; empty if there is none.
  std::optional<VmAddress> pick(std::span<const VmAddress> choices);
  /// Returns a random VM among those that are considered alive.
  std::optional<VmAddress> pickPeer(bool isLocalWanted, TimePoint now);
  /// Returns a random VM of this data centre among those that are considered dead.
  std::optional<VmAddress> pickSilentLocalPeer(TimePoint now);
  /// Returns the seeds in turn.
  std::span<const VmAddress> nextSeeds(std::size_t maxCount);
  /// Returns a random VM, whether or not it is considered alive.
  std::optional<VmAddress> pickKnownPeer();

  FleetVm Self;
  std::vector<VmAddress> Seeds;
  Random Rng;
  TimePoint StartedAt;
  /// When a message last arrived, or the start of the process.
  TimePoint ReceivedAt;
  std::map<VmAddress, Peer> Peers;
  PeerClocks Clocks;
  ShareHolders Holders;
  /// When the store last answered a call, as far as known.
  std::optional<TimePoint> StoreReachedAt;
  std::optional<TimePoint> ReplicaConfirmedAt;
  std::optional<TimePoint> StoreDownAt;
  std::vector<ServiceShortage> Shortages;
  std::uint64_t TickCount = 0;
  /// Number of other VMs of the own data centre at the last tick, including those that are
  /// considered dead.
  std::size_t LocalPeerCount = 0;
};

} // namespace wigeonlift
