#pragma once

#include <LibMembership/MemberTable.h>
#include <LibMembership/PeerRing.h>

#include <string>
#include <vector>

namespace wigeonlift {

/// Chooses whom to ping and to whom rumours go. Of 3 pings 2 go to the own data centre and one to
/// another one, as long as both have members; of 2 of those one goes to another region, if any.
class PeerPicker {
public:
  explicit PeerPicker(std::uint64_t seed);

  /// Name of the next member to ping; empty when there is none.
  std::string next(const MemberTable &table);
  /// Up to `count` different members that are in use as ping targets, without the excluded one.
  std::vector<std::string> some(const MemberTable &table, std::size_t count,
                                const std::string &excluded = {});

private:
  enum class Level : std::uint8_t { DataCentre, Region, World, Gone };
  static std::vector<std::string> candidates(const MemberTable &table, Level level);
  PeerRing &ring(Level level) { return Rings[static_cast<std::size_t>(level)]; }

  std::vector<PeerRing> Rings;
  std::uint64_t Turn = 0;
  Random Chance;
};

} // namespace wigeonlift
