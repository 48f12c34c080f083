#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Why an evacuation order is no longer in the store.
enum class OrderRemoval : std::uint8_t {
  /// It was removed.
  Removed,
  /// The store was restored from an older copy, which lacks it. It may be written again.
  LostByRestore,
};

/// The data centres whose evacuation the operator has ordered. Their upstreams get no new requests.
///
/// An order that a restored store lacks stays in force for a retention time, since it was probably
/// lost by the restore. It ends then unless it was written again.
class EvacuatedDataCentres {
public:
  explicit EvacuatedDataCentres(Duration retention) : Retention(retention) {}

  /// The evacuation is ordered. Returns whether it was not in force before.
  bool didOrder(std::string_view dataCentre);
  /// The order is no longer in the store. Returns whether the evacuation ended.
  bool didEnd(std::string_view dataCentre, OrderRemoval removal, TimePoint now);
  /// Ends the evacuations whose retention time is over, and returns their data centres.
  std::vector<std::string> applyDueEnds(TimePoint now);
  /// When the next retention time is over; empty if none is running.
  std::optional<TimePoint> nextEndDue() const;

  bool contains(std::string_view dataCentre) const { return EndsAt.contains(dataCentre); }
  /// The data centres whose evacuation is in force. The value is when it ends if the order isn't
  /// written again; empty while the order is in the store.
  const std::map<std::string, std::optional<TimePoint>, std::less<>> &all() const { return EndsAt; }

private:
  Duration Retention;
  std::map<std::string, std::optional<TimePoint>, std::less<>> EndsAt;
};

} // namespace wigeonlift
