#include <LibMembership/MemberTable.h>

#include <algorithm>
#include <set>

namespace wigeonlift {

namespace {

constexpr Duration SuspicionTime = std::chrono::seconds{3};
/// A dead member is kept this long, so that a late rumour doesn't bring it back. After that it is
/// kept only while the platform lists it.
constexpr Duration TombstoneTime = std::chrono::seconds{60};

} // namespace

MemberTable::MemberTable(MemberUpdate self) : Self(std::move(self)) { Queue.add(Self.Id.Name, 1); }

Member *MemberTable::find(const std::string &name) {
  const auto it = Members.find(name);
  return it == Members.end() ? nullptr : &it->second;
}

std::size_t MemberTable::usable() const {
  return std::ranges::count_if(Members, [](const auto &it) { return it.second.isUsable(); });
}

Member *MemberTable::add(const MemberUpdate &info, TimePoint now) {
  if (Members.size() >= MaxMembers)
    return nullptr;
  Member &member = Members[info.Id.Name];
  member.Info = info;
  member.ChangedAt = now;
  return &member;
}

void MemberTable::setListed(const std::vector<ListedPeer> &listed, TimePoint now,
                            FleetOutput &output) {
  std::set<std::string> names;
  for (const ListedPeer &it : listed) {
    names.insert(it.Name);
    if (it.Name == Self.Id.Name || find(it.Name))
      continue;
    const MemberUpdate info{{it.Name, {}, 0},  MemberState::Alive, it.PeerAddress,
                            it.CallersAddress, it.DataCentre,      it.Region};
    if (add(info, now))
      output.Events.push_back(MemberChanged{info});
  }
  for (auto &[name, member] : Members)
    member.IsListed = names.contains(name);
}

bool MemberTable::isNewer(const Member &member, const MemberUpdate &update) const {
  if (!member.HasBoot)
    return true;
  // Boot ids have no order, and a rumour may be of an incarnation that ended long ago. It doesn't
  // replace one that has been heard from itself and is not dead.
  if (update.Id.Boot != member.Info.Id.Boot)
    return !member.isFormer(update.Id.Boot) && update.State == MemberState::Alive &&
           !(member.HasBeenHeard && member.isUsable());
  if (update.Id.Incarnation != member.Info.Id.Incarnation)
    return update.Id.Incarnation > member.Info.Id.Incarnation;
  return update.State > member.Info.State;
}

void MemberTable::merge(const MemberUpdate &update, TimePoint now, FleetOutput &output) {
  if (update.Id.Name == Self.Id.Name)
    return mergeSelf(update);
  Member *member = find(update.Id.Name);
  if (!member) {
    // Nobody needs to learn of a member that is gone already.
    if (update.State != MemberState::Alive && update.State != MemberState::Suspect)
      return;
    member = add(update, now);
    if (!member)
      return;
    member->HasBoot = true;
  } else {
    if (!isNewer(*member, update))
      return;
    if (!member->HasBoot || member->Info.Id.Boot != update.Id.Boot)
      member->setBoot(update.Id.Boot, false);
    member->Info = update;
  }
  setState(*member, update.State, now, output);
}

void MemberTable::mergeSelf(const MemberUpdate &update) {
  if (update.Id.Boot != Self.Id.Boot || update.State == MemberState::Alive ||
      Self.State == MemberState::Left || update.Id.Incarnation < Self.Id.Incarnation)
    return;
  // Refutes the suspicion: only the VM itself raises its incarnation.
  Self.Id.Incarnation = update.Id.Incarnation + 1;
  Queue.add(Self.Id.Name, Members.size());
}

void MemberTable::setState(Member &member, MemberState state, TimePoint now, FleetOutput &output) {
  member.Info.State = state;
  member.ChangedAt = now;
  if (member.HasBoot)
    Queue.add(member.Info.Id.Name, Members.size());
  output.Events.push_back(MemberChanged{member.Info});
}

bool MemberTable::didHear(const PeerIdentity &sender, TimePoint now, FleetOutput &output) {
  Member *member = find(sender.Name);
  if (!member || sender.Name == Self.Id.Name || member->isFormer(sender.Boot))
    return false;
  const bool isNewBoot = !member->HasBoot || member->Info.Id.Boot != sender.Boot;
  if (isNewBoot)
    member->setBoot(sender.Boot, true);
  if (sender.Incarnation > member->Info.Id.Incarnation || isNewBoot) {
    member->Info.Id.Incarnation = sender.Incarnation;
    setState(*member, MemberState::Alive, now, output);
  }
  member->HeardAt = now;
  member->HasBeenHeard = true;
  return true;
}

bool MemberTable::suspect(const std::string &name, TimePoint now, FleetOutput &output) {
  Member *member = find(name);
  if (!member || member->Info.State != MemberState::Alive)
    return false;
  setState(*member, MemberState::Suspect, now, output);
  return true;
}

void MemberTable::expire(TimePoint now, FleetOutput &output) {
  for (auto it = Members.begin(); it != Members.end();) {
    Member &member = it->second;
    const Duration age = now - member.ChangedAt;
    if (member.Info.State == MemberState::Suspect && age >= SuspicionTime)
      setState(member, MemberState::Dead, now, output);
    const bool isForgotten = !member.isUsable() && !member.IsListed && age >= TombstoneTime;
    it = isForgotten ? Members.erase(it) : std::next(it);
  }
}

void MemberTable::extendSuspicions(TimePoint now) {
  for (auto &[name, member] : Members)
    if (member.Info.State == MemberState::Suspect)
      member.ChangedAt = now;
}

void MemberTable::leave() {
  Self.State = MemberState::Left;
  Queue.add(Self.Id.Name, Members.size());
}

std::vector<MemberUpdate> MemberTable::takeUpdates(const std::string &receiver) {
  std::vector<MemberUpdate> updates;
  const Member *accused = find(receiver);
  if (accused && accused->HasBoot && accused->Info.State != MemberState::Alive)
    updates.push_back(accused->Info);
  // A VM that never sent a message to this one may not know it.
  if (!accused || !accused->HasBeenHeard)
    updates.push_back(Self);
  const auto add = [&](const std::string &name) {
    const auto it = Members.find(name);
    const bool isKnown = it != Members.end() && it->second.HasBoot;
    if (!isKnown && name != Self.Id.Name)
      return;
    const MemberUpdate &info = isKnown ? it->second.Info : Self;
    if (std::ranges::find(updates, info) == updates.end())
      updates.push_back(info);
  };
  for (const std::string &name : Queue.take(MaxUpdatesPerMessage - updates.size()))
    add(name);
  // One member in turn repairs what a lost rumour left out.
  if (updates.size() < MaxUpdatesPerMessage)
    add(nextInTurn());
  return updates;
}

std::string MemberTable::nextInTurn() {
  auto it = Members.upper_bound(LastInTurn);
  if (it == Members.end())
    it = Members.begin();
  LastInTurn = it == Members.end() ? std::string{} : it->first;
  return LastInTurn;
}

} // namespace wigeonlift
