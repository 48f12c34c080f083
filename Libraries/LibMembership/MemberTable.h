#pragma once

#include <LibMembership/FleetEvents.h>
#include <LibMembership/Member.h>
#include <LibMembership/RumourQueue.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wigeonlift {

/// An entry VM as the platform's list names it.
struct ListedPeer {
  std::string Name;
  std::string PeerAddress;
  std::string CallersAddress;
  std::string DataCentre;
  std::string Region;
};

/// The members of the fleet beside this one, and the updates to pass on. The number of members is
/// bounded; VMs beyond the bound are ignored.
class MemberTable {
public:
  static constexpr std::size_t MaxMembers = 2048;

  explicit MemberTable(MemberUpdate self);

  const MemberUpdate &self() const { return Self; }
  const std::map<std::string, Member> &members() const { return Members; }
  /// Null when there is no such member.
  Member *find(const std::string &name);
  std::size_t usable() const;

  /// Takes over the platform's list: names in it become members, and members that it no longer
  /// names and that are not usable are forgotten.
  void setListed(const std::vector<ListedPeer> &listed, TimePoint now, FleetOutput &output);
  /// Takes over what a peer says about a member, this VM included.
  void merge(const MemberUpdate &update, TimePoint now, FleetOutput &output);
  /// Notes a message of a VM itself. False when the message is of a former incarnation or can't be
  /// assigned to a member, and must be ignored.
  bool didHear(const PeerIdentity &sender, TimePoint now, FleetOutput &output);
  /// True when the member was not suspected before.
  bool suspect(const std::string &name, TimePoint now, FleetOutput &output);
  /// Declares members dead whose suspicion has lasted 3 s, and forgets those that are long gone.
  void expire(TimePoint now, FleetOutput &output);
  /// Restarts the time of all suspicions; after a pause nobody had a chance to refute.
  void extendSuspicions(TimePoint now);
  /// This VM leaves the fleet.
  void leave();

  /// Up to 8 updates for a message. What the receiver must refute comes first.
  std::vector<MemberUpdate> takeUpdates(const std::string &receiver);

private:
  void mergeSelf(const MemberUpdate &update);
  void setState(Member &member, MemberState state, TimePoint now, FleetOutput &output);
  std::string nextInTurn();
  Member *add(const MemberUpdate &info, TimePoint now);
  bool isNewer(const Member &member, const MemberUpdate &update) const;

  MemberUpdate Self;
  std::map<std::string, Member> Members;
  RumourQueue Queue;
  std::string LastInTurn;
};

} // namespace wigeonlift
