#pragma once

#include <LibBudget/LibBudget.h>
#include <LibFleet/FleetMessage.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// What is shared, which decides how long VMs that are no longer heard of keep their shares.
enum class SharedThing : std::uint8_t {
  /// Rate limits that upstreams name. They don't hold for VMs that are partitioned, so the others
  /// of a data centre take over the shares of a silent VM after 10 s.
  NamedLimits,
  /// The rates of cold upstreams and the allowance of repeats, which hold for all VMs. Silent VMs
  /// keep their shares for 60 s.
  RatesOfAllVms,
};

/// The one account of which VM may use which part of what the fleet shares. A VM must not gain
/// shares because it doesn't hear the others: they may be partitioned or frozen, or may have
/// started while no VM could tell them of each other.
///
/// - A VM whose settings name no others is alone and holds everything.
/// - Any other VM holds nothing until it has heard of another one and had time to hear of the rest.
/// - Each seed that the settings name stands for an equal part of the fleet. Nobody uses the parts
///   of seeds that nobody has heard of: another part of the fleet may have started beside them.
/// - A VM that hears nothing keeps what it has, however long that lasts.
/// - Silent VMs lose their shares after a time that depends on what is shared, unless they may be
///   running in another part of a partitioned fleet: if a whole data centre is silent, or more than
///   a quarter of this one.
class ShareHolders {
public:
  /// `seeds` are the VMs that the settings name, which may include this one.
  ShareHolders(VmAddress self, std::span<const VmAddress> seeds, TimePoint startedAt);

  /// A message of another VM arrived. Called before `didHear` for the states that it contains.
  void didReceive(TimePoint now);
  /// A newer state of another VM became known, which that VM had sent at `sentAt`.
  void didHear(const FleetVm &vm, TimePoint sentAt, TimePoint now);
  /// Another VM has heard of these VMs, whether or not they run now.
  void didHearOfSeeds(std::span<const VmAddress> seeds, TimePoint now);
  /// Drops VMs that no longer hold shares of anything.
  void expire(const FleetVm &self, TimePoint now);

  /// The seeds that this VM, or one that it has heard, has heard of since its start.
  std::vector<VmAddress> knownSeeds() const;
  ShareAssignment assignment(const FleetVm &self, SharedThing thing, TimePoint now) const;
  /// Sum of the weights of all VMs as far as they are known, whether or not this VM holds shares.
  double fleetWeight(const FleetVm &self, TimePoint now) const;
  /// Sum of the weights of this data centre's VMs that hold shares, including this one.
  std::uint32_t localWeight(const FleetVm &self, TimePoint now) const;

private:
  struct Holder {
    FleetVm Vm;
    /// When it sent the last state that is known.
    TimePoint HeardAt;
  };
  struct DataCentre {
    double KnownWeight = 0;
    /// The largest sum that one of its VMs knows.
    double ToldWeight = 0;

    double weight() const;
  };
  using DataCentres = std::map<std::string_view, DataCentre>;

  void didHearOf(VmAddress vm, TimePoint now);
  /// The present time, or when the last message arrived if none has arrived for long. The silence
  /// of the others says nothing about them then.
  TimePoint hearingUntil(TimePoint now) const;
  /// Whether this VM has received messages for long enough to know the others.
  bool hasJoined() const;
  bool isAlone(TimePoint now) const;
  bool isSilent(const Holder &holder, TimePoint now) const;
  /// Data centres of which some VM is not silent.
  std::set<std::string_view> heardDataCentres(TimePoint now) const;
  /// Whether so much of this data centre is silent that it may be running in another part.
  bool mayBeDivided(const FleetVm &self, TimePoint now) const;
  /// Seeds whose parts of the fleet are known.
  std::size_t countedSeeds(TimePoint now) const;
  /// Whether this VM knows enough of the others to hold shares.
  bool mayHold(TimePoint now) const;
  /// The VMs that hold shares, other than this one.
  std::vector<const Holder *> holders(const FleetVm &self, SharedThing thing, TimePoint now) const;
  static DataCentres dataCentresOf(const FleetVm &self, const std::vector<const Holder *> &holders);
  static double sumOf(const DataCentres &dataCentres);
  /// This VM, the holders in its data centre, and stand-ins for those that only others know.
  static std::vector<ShareAssignment::Vm> localVms(const FleetVm &self,
                                                   const std::vector<const Holder *> &holders,
                                                   const DataCentre &local);

  VmAddress SelfIp;
  std::set<VmAddress> Seeds;
  /// Known seeds, and from when on their parts of the fleet are known as well.
  std::map<VmAddress, TimePoint> CountsFrom;
  TimePoint StartedAt;
  /// When a message of another VM last arrived, or the start of the process.
  TimePoint ReceivedAt;
  /// When the first message of another VM arrived. Starts anew if this VM becomes isolated before
  /// it knows the others.
  std::optional<TimePoint> FirstReceivedAt;
  std::map<VmAddress, Holder> Holders;
};

} // namespace wigeonlift
