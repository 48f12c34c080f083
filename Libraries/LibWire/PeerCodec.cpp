#include <LibWire/PeerCodec.h>

#include <Peer.pb.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t MaxMicroseconds = std::uint64_t{1} << 52;
constexpr std::uint32_t MaxCount = 1'000'000;
/// Ages and holding times beyond a day are of no use and could overflow a duration.
constexpr std::uint64_t MaxAgeMs = 86'400'000;

// Encoding. Times and ages are rounded so that evidence never seems younger than it is.

wire::Version toWire(const CatalogueVersion &version) {
  wire::Version result;
  result.set_number(version.Number);
  result.set_digest_high(version.DigestHigh);
  result.set_digest_low(version.DigestLow);
  return result;
}

wire::Identity toWire(const PeerIdentity &identity) {
  wire::Identity result;
  result.set_name(identity.Name);
  result.set_boot(identity.Boot.Bytes.data(), identity.Boot.Bytes.size());
  result.set_incarnation(identity.Incarnation);
  return result;
}

wire::Member toWire(const MemberUpdate &update) {
  wire::Member result;
  *result.mutable_id() = toWire(update.Id);
  result.set_state(static_cast<wire::State>(update.State));
  result.set_peer_address(update.PeerAddress);
  result.set_callers_address(update.CallersAddress);
  result.set_data_centre(update.DataCentre);
  result.set_region(update.Region);
  return result;
}

std::uint64_t toMicros(Duration span) {
  return static_cast<std::uint64_t>(
      std::max<long long>(0, duration_cast<microseconds>(span).count()));
}

std::uint64_t toMillisUp(Duration span) {
  return static_cast<std::uint64_t>(
      std::max<long long>(0, std::chrono::ceil<milliseconds>(span).count()));
}

wire::Echo toWire(const Echo &echo) {
  wire::Echo result;
  result.set_boot_prefix(echo.BootPrefix);
  result.set_sent_us(toMicros(echo.SentAt.time_since_epoch()));
  result.set_held_us(toMicros(echo.HeldFor));
  return result;
}

wire::Observations toWire(const std::vector<Observation> &observations) {
  wire::Observations result;
  for (const Observation &it : observations) {
    result.add_upstream(it.Upstream.Value);
    result.add_age_ms(static_cast<std::uint32_t>(std::min(toMillisUp(it.Age), MaxAgeMs)));
    result.add_in_flight(static_cast<std::uint32_t>(it.Load.InFlight));
    result.add_queued(static_cast<std::uint32_t>(it.Load.Queued));
    result.add_slots(static_cast<std::uint32_t>(it.Load.Slots));
    result.add_state(static_cast<std::uint32_t>(it.Load.State));
  }
  return result;
}

wire::ListRow toWire(const ListNews &news) {
  wire::ListRow result;
  result.set_role(news.Row.Role);
  result.set_name(news.Row.Name);
  result.set_address(news.Row.Address);
  result.set_peer_address(news.Row.PeerAddress);
  result.set_data_centre(news.Row.DataCentre);
  result.set_region(news.Row.Region);
  result.set_state(static_cast<std::uint32_t>(news.Row.State));
  result.set_max_age_ms(static_cast<std::uint32_t>(std::min(toMillisUp(news.MaxAge), MaxAgeMs)));
  // Rounded down, so that the span covers the observation.
  const auto minAge = static_cast<std::uint64_t>(std::max(0LL, toMilliseconds(news.MinAge)));
  result.set_min_age_ms(static_cast<std::uint32_t>(std::min(minAge, MaxAgeMs)));
  return result;
}

wire::Heartbeat toWire(const Heartbeat &state) {
  wire::Heartbeat result;
  result.set_sent_us(toMicros(state.SentAt.time_since_epoch()));
  if (state.Received)
    *result.mutable_received() = toWire(*state.Received);
  *result.mutable_catalogue() = toWire(state.Catalogue);
  if (state.ReaderAge)
    result.set_reader_age_ms(std::min(toMillisUp(*state.ReaderAge), MaxAgeMs));
  result.set_load(static_cast<std::uint32_t>(std::max(0, state.Load)));
  if (!state.Observations.empty())
    *result.mutable_observations() = toWire(state.Observations);
  for (const MemberUpdate &it : state.Updates)
    *result.add_updates() = toWire(it);
  for (const ListNews &it : state.ListRows)
    *result.add_list_rows() = toWire(it);
  return result;
}

template <typename Share> wire::Share toWireShare(const Share &share) {
  wire::Share result;
  result.set_id(share.Id);
  result.set_entry(share.Entry);
  result.set_calls_per_second(share.CallsPerSecond);
  result.set_in_flight(static_cast<std::uint32_t>(std::max(0, share.InFlight)));
  return result;
}

void setBody(const Ping &body, wire::PeerMessage &message) {
  message.mutable_ping()->set_sequence(body.Sequence);
  *message.mutable_ping()->mutable_state() = toWire(body.State);
}

void setBody(const Ack &body, wire::PeerMessage &message) {
  message.mutable_ack()->set_sequence(body.Sequence);
  *message.mutable_ack()->mutable_state() = toWire(body.State);
}

void setBody(const PingRequest &body, wire::PeerMessage &message) {
  message.mutable_ping_request()->set_sequence(body.Sequence);
  message.mutable_ping_request()->set_address(body.Address);
}

void setBody(const Rumours &body, wire::PeerMessage &message) {
  *message.mutable_rumours()->mutable_state() = toWire(body.State);
}

void setBody(const CatalogueFetch &body, wire::PeerMessage &message) {
  *message.mutable_catalogue_fetch()->mutable_base() = toWire(body.Base);
}

void setBody(const CatalogueReply &body, wire::PeerMessage &message) {
  *message.mutable_catalogue_reply()->mutable_version() = toWire(body.Version);
  *message.mutable_catalogue_reply()->mutable_base() = toWire(body.Base);
  message.mutable_catalogue_reply()->set_payload(body.Payload);
}

void setBody(const ShareRequest &body, wire::PeerMessage &message) {
  *message.mutable_share_request() = toWireShare(body);
}

void setBody(const ShareGrant &body, wire::PeerMessage &message) {
  *message.mutable_share_grant() = toWireShare(body);
}

// Decoding. Each function returns false when a bound is broken.

bool isName(const std::string &text) { return !text.empty() && text.size() <= MaxNameBytes; }

CatalogueVersion fromWire(const wire::Version &version) {
  return {version.number(), version.digest_high(), version.digest_low()};
}

bool fromWire(const wire::Identity &identity, PeerIdentity &result) {
  if (!isName(identity.name()) || identity.boot().size() != result.Boot.Bytes.size())
    return false;
  result.Name = identity.name();
  std::ranges::copy(identity.boot(), result.Boot.Bytes.begin());
  result.Incarnation = identity.incarnation();
  return true;
}

bool fromWire(const wire::Member &member, MemberUpdate &result) {
  if (!fromWire(member.id(), result.Id) || !wire::State_IsValid(member.state()))
    return false;
  for (const std::string *it :
       {&member.peer_address(), &member.callers_address(), &member.data_centre(), &member.region()})
    if (!isName(*it))
      return false;
  result.State = static_cast<MemberState>(member.state());
  result.PeerAddress = member.peer_address();
  result.CallersAddress = member.callers_address();
  result.DataCentre = member.data_centre();
  result.Region = member.region();
  return true;
}

bool fromMicros(std::uint64_t value, Duration &result) {
  result = microseconds{value};
  return value <= MaxMicroseconds;
}

bool fromWire(const wire::Echo &echo, Echo &result) {
  Duration sentAt{};
  if (!fromMicros(echo.sent_us(), sentAt) || !fromMicros(echo.held_us(), result.HeldFor))
    return false;
  result.SentAt = TimePoint{sentAt};
  result.BootPrefix = echo.boot_prefix();
  return true;
}

bool fromWire(const wire::Observations &columns, std::vector<Observation> &result) {
  const int count = columns.upstream_size();
  if (count > static_cast<int>(MaxObservationsPerMessage) || columns.age_ms_size() != count ||
      columns.in_flight_size() != count || columns.queued_size() != count ||
      columns.slots_size() != count || columns.state_size() != count)
    return false;
  for (int n = 0; n < count; ++n) {
    const bool isInRange = columns.age_ms(n) <= MaxAgeMs && columns.in_flight(n) <= MaxCount &&
                           columns.queued(n) <= MaxCount && columns.slots(n) <= MaxCount &&
                           columns.state(n) <= static_cast<unsigned>(UpstreamState::Draining);
    if (!isInRange)
      return false;
    result.push_back(
        {{columns.upstream(n)},
         milliseconds{columns.age_ms(n)},
         {static_cast<int>(columns.in_flight(n)), static_cast<int>(columns.queued(n)),
          static_cast<int>(columns.slots(n)), static_cast<UpstreamState>(columns.state(n))}});
  }
  return true;
}

bool fromWire(const wire::ListRow &row, ListNews &result) {
  const auto isShort = [](const std::string &text) { return text.size() <= MaxNameBytes; };
  if (!isName(row.role()) || !isName(row.name()) || !isName(row.address()) ||
      !isShort(row.peer_address()) || !isShort(row.data_centre()) || !isShort(row.region()) ||
      row.state() > static_cast<unsigned>(ListRowState::Removed) || row.max_age_ms() > MaxAgeMs ||
      row.min_age_ms() > row.max_age_ms())
    return false;
  result.Row = {row.role(),
                row.name(),
                row.address(),
                row.peer_address(),
                row.data_centre(),
                row.region(),
                static_cast<ListRowState>(row.state())};
  result.MaxAge = milliseconds{row.max_age_ms()};
  result.MinAge = milliseconds{row.min_age_ms()};
  return true;
}

bool fromWire(const wire::Heartbeat &state, Heartbeat &result) {
  Duration sentAt{};
  if (!fromMicros(state.sent_us(), sentAt) ||
      state.updates_size() > static_cast<int>(MaxUpdatesPerMessage) || state.load() > MaxCount ||
      state.list_rows_size() > static_cast<int>(MaxListRowsPerMessage) ||
      state.reader_age_ms() > MaxAgeMs)
    return false;
  result.SentAt = TimePoint{sentAt};
  result.Catalogue = fromWire(state.catalogue());
  result.Load = static_cast<int>(state.load());
  if (state.has_reader_age_ms())
    result.ReaderAge = milliseconds{state.reader_age_ms()};
  if (state.has_received() && !fromWire(state.received(), result.Received.emplace()))
    return false;
  for (const wire::Member &it : state.updates())
    if (!fromWire(it, result.Updates.emplace_back()))
      return false;
  for (const wire::ListRow &it : state.list_rows())
    if (!fromWire(it, result.ListRows.emplace_back()))
      return false;
  return fromWire(state.observations(), result.Observations);
}

template <typename Share> bool fromWireShare(const wire::Share &share, Share &result) {
  const double calls = share.calls_per_second();
  if (!isName(share.entry()) || !std::isfinite(calls) || calls < 0 || share.in_flight() > MaxCount)
    return false;
  result = {share.id(), share.entry(), calls, static_cast<int>(share.in_flight())};
  return true;
}

template <typename Wire, typename Body> bool fromWirePing(const Wire &ping, Body &result) {
  result.Sequence = ping.sequence();
  return fromWire(ping.state(), result.State);
}

bool fromWire(const wire::PingRequest &request, PingRequest &result) {
  result = {request.sequence(), request.address()};
  return isName(result.Address);
}

bool fromWire(const wire::CatalogueReply &reply, CatalogueReply &result) {
  result = {fromWire(reply.version()), fromWire(reply.base()), reply.payload()};
  return true;
}

bool fromWire(const wire::PeerMessage &message, PeerBody &result) {
  switch (message.body_case()) {
  case wire::PeerMessage::kPing:
    return fromWirePing(message.ping(), result.emplace<Ping>());
  case wire::PeerMessage::kAck:
    return fromWirePing(message.ack(), result.emplace<Ack>());
  case wire::PeerMessage::kPingRequest:
    return fromWire(message.ping_request(), result.emplace<PingRequest>());
  case wire::PeerMessage::kRumours:
    return fromWire(message.rumours().state(), result.emplace<Rumours>().State);
  case wire::PeerMessage::kCatalogueFetch:
    result.emplace<CatalogueFetch>().Base = fromWire(message.catalogue_fetch().base());
    return true;
  case wire::PeerMessage::kCatalogueReply:
    return fromWire(message.catalogue_reply(), result.emplace<CatalogueReply>());
  case wire::PeerMessage::kShareRequest:
    return fromWireShare(message.share_request(), result.emplace<ShareRequest>());
  case wire::PeerMessage::kShareGrant:
    return fromWireShare(message.share_grant(), result.emplace<ShareGrant>());
  case wire::PeerMessage::BODY_NOT_SET:
    return false;
  }
  return false;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message) {
  wire::PeerMessage result;
  *result.mutable_sender() = toWire(message.Sender);
  std::visit([&](const auto &body) { setBody(body, result); }, message.Body);
  return result.SerializeAsString();
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes) {
  wire::PeerMessage message;
  PeerMessage result;
  if (bytes.size() > MaxPeerMessageBytes ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !fromWire(message.sender(), result.Sender) || !fromWire(message, result.Body))
    return std::nullopt;
  return result;
}

} // namespace wigeonlift
