#include <LibMembership/PeerPicker.h>

#include <algorithm>
#include <array>

namespace wigeonlift {

namespace {

/// Sizes of the rings; their sum bounds the connections that pings keep open.
constexpr std::array<std::size_t, 4> RingSizes{8, 8, 2, 1};
/// Every tenth ping goes to a member that is gone but still listed, to notice that a partition has
/// ended.
constexpr std::uint64_t TurnsPerGonePing = 10;

} // namespace

PeerPicker::PeerPicker(std::uint64_t seed)
    : Rings(RingSizes.begin(), RingSizes.end()), Turn(seed % TurnsPerGonePing), Chance(seed) {}

std::vector<std::string> PeerPicker::candidates(const MemberTable &table, Level level) {
  const MemberUpdate &self = table.self();
  std::vector<std::string> names;
  for (const auto &[name, member] : table.members()) {
    Level actual = Level::World;
    if (!member.isUsable())
      actual = Level::Gone;
    else if (member.Info.Region == self.Region)
      actual = member.Info.DataCentre == self.DataCentre ? Level::DataCentre : Level::Region;
    // A member that left on purpose doesn't come back under the same boot id.
    if (actual == level && member.Info.State != MemberState::Left)
      names.push_back(name);
  }
  return names;
}

std::string PeerPicker::next(const MemberTable &table) {
  ++Turn;
  std::vector<Level> order;
  if (Turn % TurnsPerGonePing == 0)
    order.push_back(Level::Gone);
  if (Turn % 6 == 0)
    order.insert(order.end(), {Level::World, Level::Region, Level::DataCentre});
  else if (Turn % 3 == 0)
    order.insert(order.end(), {Level::Region, Level::World, Level::DataCentre});
  else
    order.insert(order.end(), {Level::DataCentre, Level::Region, Level::World});
  order.push_back(Level::Gone);
  for (const Level it : order) {
    std::string name = ring(it).next(candidates(table, it), Chance);
    if (!name.empty())
      return name;
  }
  return {};
}

std::vector<std::string> PeerPicker::some(const MemberTable &table, std::size_t count,
                                          const std::string &excluded) {
  std::vector<std::string> names;
  for (const Level level : {Level::DataCentre, Level::Region, Level::World}) {
    ring(level).refresh(candidates(table, level), Chance);
    for (const std::string &it : ring(level).names())
      if (it != excluded)
        names.push_back(it);
  }
  std::ranges::shuffle(names, Chance.engine());
  names.resize(std::min(names.size(), count));
  return names;
}

} // namespace wigeonlift
