#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <string>

namespace wigeonlift {

/// State of a row of the platform's list. A removed row is one that the list no longer has.
enum class ListRowState : std::uint8_t { Live, Leaving, Removed };

/// One VM of the platform's list. Role and name identify it.
struct ListRow {
  std::string Role;
  std::string Name;
  /// `IP:PORT` for callers or, for upstreams, for calls.
  std::string Address;
  /// `IP:PORT` for peers; empty for upstreams.
  std::string PeerAddress;
  std::string DataCentre;
  std::string Region;
  ListRowState State = ListRowState::Live;

  bool operator==(const ListRow &) const = default;
};

/// A row as a peer sends it. The row was observed no earlier than `MaxAge` and no later than
/// `MinAge` before the sending, by the sender's clock.
struct ListNews {
  ListRow Row;
  Duration MaxAge{};
  Duration MinAge{};

  bool operator==(const ListNews &) const = default;
};

/// Earliest and latest time of an observation on the clock of this process. The platform answers a
/// read at some time between its request and its response.
struct ObservationSpan {
  TimePoint Earliest{};
  TimePoint Latest{};
};

} // namespace wigeonlift
