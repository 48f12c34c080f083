#pragma once

#include <LibBudget/LibBudget.h>
#include <LibFleet/FleetMessage.h>

#include <map>
#include <optional>

namespace wigeonlift {

/// The VMs that hold shares of rates which hold for all VMs, also for those that are partitioned,
/// frozen or have just started. A VM must not gain shares because it doesn't hear the others, so
/// each VM keeps its shares for long after it was last heard of.
class ShareHolders {
public:
  explicit ShareHolders(TimePoint startedAt) : StartedAt(startedAt), ReceivedAt(startedAt) {}

  /// A message of another VM arrived. Called before `didHear` for the states that it contains.
  void didReceive(TimePoint now);
  /// A newer state of another VM became known.
  void didHear(const FleetVm &vm, TimePoint now);
  /// Drops VMs that no longer hold shares.
  void expire(TimePoint now);

  /// `hasSeeds` says whether the settings name other VMs. A VM with seeds holds no shares until it
  /// has heard of another VM and had time to hear of the rest.
  ShareAssignment assignment(const FleetVm &self, bool hasSeeds, TimePoint now) const;

private:
  struct Holder {
    FleetVm Vm;
    TimePoint HeardAt;
  };

  /// The present time, or when the last message arrived if none has arrived for long. The silence
  /// of the others says nothing about them then.
  TimePoint hearingUntil(TimePoint now) const;
  /// Whether this VM has received messages for long enough to know the others.
  bool hasJoined() const;
  bool isHolder(const Holder &holder, TimePoint now) const;

  TimePoint StartedAt;
  /// When a message of another VM last arrived, or the start of the process.
  TimePoint ReceivedAt;
  /// When the first message of another VM arrived. Starts anew if this VM becomes isolated before
  /// it knows the others.
  std::optional<TimePoint> FirstReceivedAt;
  std::map<VmAddress, Holder> Holders;
};

} // namespace wigeonlift
