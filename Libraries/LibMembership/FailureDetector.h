#pragma once

#include <LibMembership/PeerMessage.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Keeps the pings that are not answered yet, and those sent on behalf of other members.
class FailureDetector {
public:
  /// Notes a ping to a member; an empty name belongs to a seed address.
  std::uint64_t didPing(const std::string &name, TimePoint now);
  /// Notes a ping that another member asked for.
  std::uint64_t didPingFor(std::uint64_t sequence, const PeerRoute &asker, TimePoint now);
  void didAck(std::uint64_t sequence);
  /// Where the ack of a ping that another member asked for must go.
  std::optional<std::pair<std::uint64_t, PeerRoute>> takeRelay(std::uint64_t sequence);

  struct Overdue {
    /// Members to ping through others, with the sequence number of the ping.
    std::vector<std::pair<std::string, std::uint64_t>> Indirect;
    /// Members that answered neither way.
    std::vector<std::string> Unreachable;
  };
  Overdue check(TimePoint now);
  /// Forgets all pings; after a pause their age means nothing.
  void reset();

private:
  struct OutstandingPing {
    std::string Name;
    TimePoint SentAt{};
    bool IsIndirect = false;
  };
  struct RelayedPing {
    std::uint64_t Sequence = 0;
    PeerRoute Asker;
    TimePoint SentAt{};
  };
  std::uint64_t LastSequence = 0;
  std::map<std::uint64_t, OutstandingPing> Pings;
  std::map<std::uint64_t, RelayedPing> Relays;
};

} // namespace wigeonlift
