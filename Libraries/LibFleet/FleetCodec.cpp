#include <LibFleet/FleetCodec.h>

#include <Fleet.pb.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Decades; larger values would exceed the range of our clocks.
constexpr std::uint64_t MaxClockMs = 1'000'000'000'000;

// Bounds on received shortages. Larger numbers wouldn't change a decision; services with longer
// names are not reported.
constexpr int MaxShortages = 8;
constexpr std::size_t MaxServiceNameBytes = 64;
constexpr std::uint32_t MaxPriority = 1000;
constexpr std::uint32_t MaxShortRequests = 10'000;
constexpr std::uint32_t MaxShortageAgeMs = 60'000;

// States that are older are of no use for anything that asks for their age.
constexpr std::uint32_t MaxAgeUnits = 6000;
constexpr Duration AgeUnit = std::chrono::milliseconds{100};

enum Flag : std::uint32_t { ReadyFlag = 1, StoppingFlag = 2, StoreDisconnectedFlag = 4 };

/// Most VMs are in the era of the sender. To leave it out keeps a message with many VMs below the
/// size of a datagram.
void encode(const FleetVm &vm, std::uint64_t eraOfSender, fleetwire::Vm &out) {
  out.set_ip(vm.Ip);
  out.set_data_centre(vm.DataCentre);
  out.set_incarnation(vm.Incarnation);
  out.set_beat(vm.HeartbeatCount);
  out.set_flags((vm.IsReady ? ReadyFlag : 0U) | (vm.IsStopping ? StoppingFlag : 0U) |
                (vm.IsStoreDisconnected ? StoreDisconnectedFlag : 0U));
  out.set_weight(vm.Weight);
  out.set_data_centre_weight(vm.DataCentreWeight);
  out.set_revision(vm.Revision.Number);
  if (vm.Revision.Era != eraOfSender)
    out.set_era(vm.Revision.Era);
  const auto units = (vm.Age + AgeUnit - Duration{1}) / AgeUnit;
  out.set_age(static_cast<std::uint32_t>(std::clamp<std::int64_t>(units, 0, MaxAgeUnits)));
}

FleetVm decode(const fleetwire::Vm &in, std::uint64_t eraOfSender) {
  return {.Ip = in.ip(),
          .DataCentre = in.data_centre(),
          .Incarnation = in.incarnation(),
          .HeartbeatCount = in.beat(),
          .IsReady = (in.flags() & ReadyFlag) != 0,
          .IsStopping = (in.flags() & StoppingFlag) != 0,
          .IsStoreDisconnected = (in.flags() & StoreDisconnectedFlag) != 0,
          .Weight = in.weight(),
          .DataCentreWeight = in.data_centre_weight(),
          .Revision = {in.has_era() ? in.era() : eraOfSender, in.revision()},
          .Age = AgeUnit * static_cast<int>(std::min(in.age(), MaxAgeUnits))};
}

AnswerWanted decodeWanted(std::uint32_t wanted) {
  return wanted <= static_cast<std::uint32_t>(AnswerWanted::All) ? static_cast<AnswerWanted>(wanted)
                                                                 : AnswerWanted::None;
}

std::optional<ClockReading> decode(const fleetwire::ReceiverTimes &in, std::uint64_t ms) {
  return ms == 0 ? std::nullopt
                 : std::optional{ClockReading{.Incarnation = in.incarnation(), .Ms = ms}};
}

bool isPossible(const fleetwire::Message &in) {
  return in.sent_at_ms() <= MaxClockMs && in.times().replica_confirmed_at_ms() <= MaxClockMs &&
         in.times().store_reached_at_ms() <= MaxClockMs &&
         in.times().store_down_at_ms() <= MaxClockMs;
}

bool isBounded(const std::string &service, std::uint32_t priority) {
  return !service.empty() && service.size() <= MaxServiceNameBytes && priority <= MaxPriority;
}

std::uint32_t bounded(std::uint32_t number, std::uint32_t most) { return std::min(number, most); }

void encode(const ServiceShortage &shortage, fleetwire::Message &out) {
  const Shortage &lack = shortage.Lack;
  if (out.shortages_size() >= MaxShortages ||
      !isBounded(shortage.Service, static_cast<std::uint32_t>(lack.Priority)))
    return;
  auto &wire = *out.add_shortages();
  wire.set_service(shortage.Service);
  wire.set_priority(static_cast<std::uint32_t>(lack.Priority));
  wire.set_waiting(static_cast<std::uint32_t>(lack.Waiting));
  wire.set_age_ms(static_cast<std::uint32_t>(toMilliseconds(lack.Age)));
  wire.set_rejections(static_cast<std::uint32_t>(lack.Rejections));
}

std::vector<ServiceShortage> decodeShortages(const fleetwire::Message &in) {
  std::vector<ServiceShortage> shortages;
  for (const auto &it : in.shortages()) {
    if (shortages.size() >= MaxShortages)
      break;
    if (!isBounded(it.service(), it.priority()))
      continue;
    const auto age = std::chrono::milliseconds{bounded(it.age_ms(), MaxShortageAgeMs)};
    shortages.push_back(
        {.Service = it.service(),
         .Lack = {.Priority = static_cast<int>(it.priority()),
                  .Waiting = static_cast<int>(bounded(it.waiting(), MaxShortRequests)),
                  .Age = age,
                  .Rejections = static_cast<int>(bounded(it.rejections(), MaxShortRequests))}});
  }
  return shortages;
}

void encode(const StoreDelta &delta, StoreRevision deltaAfter, fleetwire::Delta &out) {
  out.set_complete(delta.IsComplete);
  // A delta that was wanted by a VM of another era is a complete copy.
  out.set_after(deltaAfter.Era == delta.AsOf.Era ? deltaAfter.Number : 0);
  out.set_as_of(delta.AsOf.Number);
  out.set_era(delta.AsOf.Era);
  out.set_left_out(delta.HasLeftOut);
  out.set_lacking(delta.IsLacking);
  for (const StoreItem &it : delta.Items) {
    auto &item = *out.add_items();
    item.set_key(it.Key);
    item.set_value(it.Value);
    item.set_revision(it.Revision.Number);
    item.set_removed(it.IsRemoved);
  }
}

StoreDelta decode(const fleetwire::Delta &in) {
  StoreDelta delta{.Items = {},
                   .IsComplete = in.complete(),
                   .AsOf = {in.era(), in.as_of()},
                   .HasLeftOut = in.left_out(),
                   .IsLacking = in.lacking()};
  for (const auto &it : in.items())
    delta.Items.push_back({.Key = it.key(),
                           .Value = it.value(),
                           .Revision = {in.era(), it.revision()},
                           .IsRemoved = it.removed()});
  return delta;
}

template <typename Message> bool parse(Message &message, std::string_view bytes) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string encodeFleetMessage(const FleetMessage &message) {
  fleetwire::Message out;
  encode(message.Sender, 0, *out.mutable_sender());
  for (const FleetVm &it : message.Others)
    encode(it, message.Sender.Revision.Era, *out.add_others());
  out.set_wanted(static_cast<std::uint32_t>(message.Wanted));
  out.set_sent_at_ms(message.SentAtMs);
  out.set_from_lead_reader(message.IsFromLeadReader);
  if (const auto &reading = message.ReplicaConfirmedAt) {
    out.mutable_times()->set_incarnation(reading->Incarnation);
    out.mutable_times()->set_replica_confirmed_at_ms(reading->Ms);
  }
  if (const auto &reading = message.StoreReachedAt) {
    out.mutable_times()->set_incarnation(reading->Incarnation);
    out.mutable_times()->set_store_reached_at_ms(reading->Ms);
  }
  if (const auto &reading = message.StoreDownAt) {
    out.mutable_times()->set_incarnation(reading->Incarnation);
    out.mutable_times()->set_store_down_at_ms(reading->Ms);
  }
  for (const ServiceShortage &it : message.Shortages)
    encode(it, out);
  for (const VmAddress it : message.KnownSeeds)
    out.add_known_seeds(it);
  if (message.Delta)
    encode(*message.Delta, message.DeltaAfter, *out.mutable_delta());
  return out.SerializeAsString();
}

std::string encodeDatagram(const FleetMessage &message, std::size_t maxBytes) {
  std::string bytes = encodeFleetMessage(message);
  if (bytes.size() <= maxBytes)
    return bytes;
  FleetMessage smaller = message;
  smaller.Delta.reset();
  bytes = encodeFleetMessage(smaller);
  while (bytes.size() > maxBytes && !smaller.Others.empty()) {
    smaller.Others.pop_back();
    bytes = encodeFleetMessage(smaller);
  }
  return bytes;
}

std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes) {
  fleetwire::Message in;
  if (!parse(in, bytes) || in.sender().ip() == 0 || !isPossible(in))
    return std::nullopt;
  FleetMessage message{.Sender = decode(in.sender(), 0),
                       .SentAtMs = in.sent_at_ms(),
                       .ReplicaConfirmedAt = {},
                       .IsFromLeadReader = in.from_lead_reader(),
                       .StoreReachedAt = {},
                       .StoreDownAt = {},
                       .Others = {},
                       .Wanted = decodeWanted(in.wanted()),
                       .Shortages = decodeShortages(in),
                       .KnownSeeds = {in.known_seeds().begin(), in.known_seeds().end()},
                       .Delta = {},
                       .DeltaAfter = {in.delta().era(), in.delta().after()}};
  for (const auto &it : in.others())
    message.Others.push_back(decode(it, in.sender().era()));
  message.ReplicaConfirmedAt = decode(in.times(), in.times().replica_confirmed_at_ms());
  message.StoreReachedAt = decode(in.times(), in.times().store_reached_at_ms());
  message.StoreDownAt = decode(in.times(), in.times().store_down_at_ms());
  if (in.has_delta())
    message.Delta = decode(in.delta());
  return message;
}

std::string encodeStoreDelta(const StoreDelta &delta, StoreRevision deltaAfter) {
  fleetwire::Delta out;
  encode(delta, deltaAfter, out);
  return out.SerializeAsString();
}

std::optional<StoreDelta> decodeStoreDelta(std::string_view bytes) {
  fleetwire::Delta in;
  if (!parse(in, bytes))
    return std::nullopt;
  return decode(in);
}

} // namespace wigeonlift
