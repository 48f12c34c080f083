#pragma once

#include <LibBase/LibBase.h>
#include <LibMembership/MemberTable.h>

#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Decides whether this VM watches the configuration service. In each data centre the 2 usable
/// members with the highest rendezvous hash do. When no reader works, every VM reads now and then.
class CatalogueReaders {
public:
  explicit CatalogueReaders(std::uint64_t seed) : Chance(seed) {}

  /// Chooses the readers of the data centre anew and reports a change.
  void update(const MemberTable &table, FleetOutput &output);
  bool isSelf() const { return IsSelf; }
  const std::vector<std::string> &names() const { return Names; }

  /// This VM reaches the service.
  void didReachService(TimePoint now) { WorkedAt = now; }
  /// A peer knows of a reader that worked this long before the message was sent.
  void didHearReader(Duration age, TimePoint now);
  /// Time since a reader was known to work; empty when never.
  std::optional<Duration> age(TimePoint now) const;
  /// Whether this VM, which is no reader, should read once now.
  bool mustStandIn(std::size_t fleetSize, TimePoint now);

private:
  std::vector<std::string> Names;
  bool IsSelf = false;
  std::optional<TimePoint> WorkedAt;
  std::optional<TimePoint> StandInAt;
  Random Chance;
};

} // namespace wigeonlift
