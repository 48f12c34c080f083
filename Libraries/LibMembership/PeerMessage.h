#pragma once

#include <LibBase/LibBase.h>
#include <LibCatalogue/CatalogueVersion.h>
#include <LibMembership/ListRow.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wigeonlift {

/// Bounds of one message. A message that breaks one is refused as a whole.
inline constexpr std::size_t MaxObservationsPerMessage = 16;
inline constexpr std::size_t MaxUpdatesPerMessage = 8;
inline constexpr std::size_t MaxListRowsPerMessage = 8;
inline constexpr std::size_t MaxNameBytes = 256;

/// State of a member in increasing strength: at the same incarnation the stronger state holds.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

std::string_view toString(MemberState state);

/// One incarnation of an entry VM.
struct PeerIdentity {
  std::string Name;
  BootId Boot;
  /// Raised by the VM itself to refute a suspicion.
  std::uint32_t Incarnation = 0;

  bool operator==(const PeerIdentity &) const = default;
};

/// What the fleet is told about a member.
struct MemberUpdate {
  PeerIdentity Id;
  MemberState State = MemberState::Alive;
  std::string PeerAddress;
  std::string CallersAddress;
  std::string DataCentre;
  std::string Region;

  bool operator==(const MemberUpdate &) const = default;
};

/// Identifies an upstream in messages: a 64-bit hash of service and name, which is shorter than the
/// names. With 3,000 upstreams two of them collide with a probability of about 2.4e-13.
using UpstreamHash = StrongId<struct UpstreamHashTag, std::uint64_t>;

UpstreamHash hashOfUpstream(std::string_view service, std::string_view upstream);

/// Evidence about an upstream with its age at the sending.
struct Observation {
  UpstreamHash Upstream;
  Duration Age{};
  LoadReport Load;

  bool operator==(const Observation &) const = default;
};

/// Returns to a peer the time at which it sent its last message. Times of two processes can't be
/// compared, so the receiver dates evidence by its own clock: the message was sent no earlier than
/// `SentAt + HeldFor`.
struct Echo {
  /// First bytes of the boot id of the receiver; an echo for a predecessor of it is ignored.
  std::uint64_t BootPrefix = 0;
  TimePoint SentAt{};
  Duration HeldFor{};

  bool operator==(const Echo &) const = default;
};

/// First 8 bytes of a boot id.
std::uint64_t prefixOf(const BootId &boot);

/// State that every ping, ack and rumour carries.
struct Heartbeat {
  TimePoint SentAt{};
  std::optional<Echo> Received;
  CatalogueVersion Catalogue;
  /// Time since a reader of the configuration service was known to work; empty when never.
  std::optional<Duration> ReaderAge;
  /// Callers and running calls of the sender.
  int Load = 0;
  std::vector<Observation> Observations;
  std::vector<MemberUpdate> Updates;
  /// Rows of the platform's VM list; only beside an echo, which dates them.
  std::vector<ListNews> ListRows;

  bool operator==(const Heartbeat &) const = default;
};

struct Ping {
  std::uint64_t Sequence = 0;
  Heartbeat State;
};
struct Ack {
  std::uint64_t Sequence = 0;
  Heartbeat State;
};
/// Asks the receiver to ping an address and to pass the ack on under this sequence number.
struct PingRequest {
  std::uint64_t Sequence = 0;
  std::string Address;
};
struct Rumours {
  Heartbeat State;
};
/// Asks for the receiver's catalogue. The base is the sender's own version.
struct CatalogueFetch {
  CatalogueVersion Base;
};
struct CatalogueReply {
  CatalogueVersion Version;
  /// Version that a delta applies to; all zero for a whole document.
  CatalogueVersion Base;
  std::string Payload;
};
/// Asks for a part of the receiver's share of an entry's limits.
struct ShareRequest {
  std::uint64_t Id = 0;
  std::string Entry;
  double CallsPerSecond = 0;
  int InFlight = 0;
};
struct ShareGrant {
  std::uint64_t Id = 0;
  std::string Entry;
  double CallsPerSecond = 0;
  int InFlight = 0;
};

using PeerBody = std::variant<Ping, Ack, PingRequest, Rumours, CatalogueFetch, CatalogueReply,
                              ShareRequest, ShareGrant>;

struct PeerMessage {
  PeerIdentity Sender;
  PeerBody Body;
};

/// Identifies the connection on which a peer's request came in, for the answer.
struct PeerRoute {
  std::string Value;

  bool operator==(const PeerRoute &) const = default;
};
/// `IP:PORT` of a peer.
struct PeerAddress {
  std::string Value;

  bool operator==(const PeerAddress &) const = default;
};
using PeerDestination = std::variant<PeerAddress, PeerRoute>;

struct OutgoingMessage {
  PeerDestination To;
  PeerMessage Message;
};

} // namespace wigeonlift
