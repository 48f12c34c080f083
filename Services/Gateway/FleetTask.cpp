#include "FleetTask.h"

#include "KeepRunning.h"

#include <platform/Platform.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReceiveBytes = 64 * 1024;
constexpr std::string_view ReplicaTarget = "/replica?after=";
constexpr Duration PullTimeout = std::chrono::milliseconds{1200};
// A change that was announced usually arrives by itself.
constexpr Duration PullDelay = std::chrono::milliseconds{80};
// How often a VM that lacks upstreams asks another one for a complete copy, which is large.
constexpr Duration LackingInterval = std::chrono::seconds{1};
constexpr std::size_t MaxCallerAddresses = 64;
constexpr std::size_t BytesPerKb = 1024;
constexpr double WeightPerCore = 1000;
// A link of so many Mbit/s carries the downloads of a whole core.
constexpr double LinkMbpsPerCore = 200;

FleetVm selfOf(const GatewaySettings &settings) {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const double share = std::min(settings.CpuShare, settings.LinkMbps / LinkMbpsPerCore);
  return {.Ip = parseVmAddress(settings.Ip).value_or(0),
          .DataCentre = settings.DataCentre,
          .Incarnation = static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()),
          .Weight = std::max(1U, static_cast<std::uint32_t>(WeightPerCore * share))};
}

std::vector<VmAddress> seedsOf(const GatewaySettings &settings) {
  std::vector<VmAddress> seeds;
  for (const std::string &it : settings.SeedPeers)
    if (const auto address = parseVmAddress(it))
      seeds.push_back(*address);
  return seeds;
}

} // namespace

FleetTask::FleetTask(Gateway &gateway, std::uint64_t seed)
    : Owner(gateway),
      Fleet(selfOf(gateway.settings()), seedsOf(gateway.settings()),
            FreshnessLimits::forChangeDeadline(gateway.settings().Bounds.changeDeadline()), seed,
            bootTimeNow(), &platform::platformStoreFormat()),
      Socket(gateway.context()), Server(gateway.context(), [this](HttpRequest request) {
        return answer(std::move(request));
      }) {
  if (const auto callers = parseEndpoint(gateway.settings().CallersAddress))
    CallersPort = callers->port();
  const auto seeds = seedsOf(gateway.settings());
  IsSeed = std::ranges::find(seeds, Fleet.members().self().Ip) != seeds.end();
}

absl::Status FleetTask::start() {
  const GatewaySettings &settings = Owner.settings();
  const auto endpoint =
      parseEndpoint(fmt::format("{}:{}", settings.Ip, settings.FirstInternalPort));
  if (!endpoint)
    return absl::InvalidArgumentError("the address or the internal port is missing");
  if (absl::Status status = Server.start(*endpoint); !status.ok())
    return status;
  boost::system::error_code ec;
  Socket.open(asio::ip::udp::v4(), ec);
  if (!ec)
    Socket.bind({endpoint->address(), endpoint->port()}, ec);
  if (!ec)
    Socket.non_blocking(true, ec);
  if (ec)
    return absl::UnavailableError(ec.message());
  keepRunning(Owner.context(), Owner.eventLog(), "datagrams", [this] { return receive(); });
  keepRunning(Owner.context(), Owner.eventLog(), "gossip", [this] { return beatRegularly(); });
  return absl::OkStatus();
}

void FleetTask::stop() { send(Fleet.members().stop(bootTimeNow())); }

std::vector<std::string> FleetTask::callersAddresses(std::string_view dataCentre) {
  std::vector<std::string> result;
  for (const VmAddress it :
       Fleet.members().addressesForCaller(dataCentre, MaxCallerAddresses, bootTimeNow()))
    result.push_back(toText(it, CallersPort));
  return result;
}

asio::awaitable<void> FleetTask::beatRegularly() {
  asio::steady_timer timer{Owner.context()};
  while (true) {
    const TimePoint now = bootTimeNow();
    Fleet.members().setReady(Owner.isReady());
    Fleet.members().setShortages(Owner.shortages(now));
    publish(Fleet.tick(now), "peer");
    logReplicaAge(now);
    logLeftOut();
    if (Fleet.isLacking())
      beginToCatchUp();
    shareOut(now);
    for (const auto &[ip, state] : Fleet.members().takeLivenessChanges(now))
      Owner.eventLog().write(EventLog::Priority::Important, "member",
                             {{"vm", toText(ip, CallersPort)}, {"state", std::string{state}}});
    timer.expires_after(FleetMembership::GossipInterval);
    co_await timer.async_wait(Completion);
  }
}

void FleetTask::shareOut(TimePoint now) {
  const FleetMembership &members = Fleet.members();
  const double ofRepeats = members.repeatShare(now);
  const bool hasShares = ofRepeats > 0;
  if (std::exchange(HadShares, hasShares) != hasShares)
    Owner.eventLog().write(EventLog::Priority::Important, hasShares ? "shares_held" : "shares_lost",
                           {{"fraction", fmt::format("{:.4f}", ofRepeats)}});
  Owner.setShares({.OfRepeats = ofRepeats, .OfRequests = members.requestShare(now)});
  Owner.setShareAssignment(members.shareAssignment(SharedThing::NamedLimits, now));
  if (Owner.settings().Bounds.limitsWarmup())
    Owner.setWarmupAssignment(members.shareAssignment(SharedThing::RatesOfAllVms, now));
}

void FleetTask::logReplicaAge(TimePoint now) {
  const Duration age = Fleet.freshness().age(now);
  const bool isOld = age > Fleet.freshness().limits().MaxAgeLimit;
  if (std::exchange(WasReplicaOld, isOld) == isOld)
    return;
  if (!isOld) {
    Owner.eventLog().write(EventLog::Priority::Important, "replica_current",
                           {{"age_ms", fmt::format("{}", toMilliseconds(age))},
                            revisionField("rev", Fleet.revision())});
    return;
  }
  ++OldReplicas;
  const auto reader = Fleet.members().otherReader(now);
  Owner.eventLog().write(
      EventLog::Priority::Important, "replica_old",
      {{"age_ms", fmt::format("{}", toMilliseconds(age))},
       revisionField("rev", Fleet.revision()),
       {"reader", reader ? toText(reader->Ip, CallersPort) : "self"},
       {"reader_silent_ms", fmt::format("{}", reader ? toMilliseconds(reader->SilentFor) : 0)}});
}

asio::awaitable<void> FleetTask::receive() {
  std::vector<char> buf(ReceiveBytes);
  while (true) {
    asio::ip::udp::endpoint from;
    const auto [ec, n] = co_await Socket.async_receive_from(asio::buffer(buf), from, Completion);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec)
      continue;
    if (const auto message = decodeFleetMessage({buf.data(), n}))
      handle(*message);
  }
}

void FleetTask::handle(const FleetMessage &message) {
  const TimePoint now = bootTimeNow();
  publish(Fleet.didReceive(message, now), "peer");
  if (message.Sender.Ip != members().self().Ip)
    Owner.didHearShortages(message.Sender.Ip, message.Shortages, now);
  if (Fleet.members().isBehind(now))
    beginToCatchUp();
}

void FleetTask::beginToCatchUp() {
  if (std::exchange(IsCatchingUp, true))
    return;
  asio::co_spawn(Owner.context(), catchUp(),
                 [this](const std::exception_ptr &) { IsCatchingUp = false; });
}

asio::awaitable<void> FleetTask::catchUp() {
  asio::steady_timer timer{Owner.context()};
  Duration wait = Fleet.replica().isEmpty() ? Duration::zero() : PullDelay;
  while (true) {
    timer.expires_after(wait);
    co_await timer.async_wait(Completion);
    const TimePoint now = bootTimeNow();
    const bool isBehind = Fleet.members().isBehind(now);
    if (!isBehind && !Fleet.isLacking())
      break;
    // Any other VM may have what this one lacks.
    const StoreRevision known = isBehind ? Fleet.revision() : StoreRevision{};
    if (const auto from = Reads.next(Fleet.members(), known, now))
      asio::co_spawn(Owner.context(), pull(*from),
                     [this, vm = *from](const std::exception_ptr &failure, bool hasSucceeded) {
                       Reads.didEnd(vm, !failure && hasSucceeded, bootTimeNow());
                     });
    wait = isBehind ? PeerReads::Interval : LackingInterval;
  }
}

asio::awaitable<bool> FleetTask::pull(VmAddress from) {
  ++Pulls;
  const auto endpoint = *parseEndpoint(toText(from, Owner.settings().FirstInternalPort));
  const StoreRevision after = Fleet.isLacking() ? StoreRevision{} : Fleet.revision();
  const std::string target = fmt::format("{}{}", ReplicaTarget, after.text());
  StoreIntake intake = Fleet.intake(IntakeKind::Changes);
  StoreDeltaReader reader{intake};
  const auto read = [&](const HttpResponseHead &head, std::string_view part) -> absl::Status {
    if (head.result() == http::status::ok && !reader.write(part))
      return absl::InvalidArgumentError("the copy is invalid");
    return absl::OkStatus();
  };
  const auto head =
      co_await fetchInParts(endpoint, HttpRequest{http::verb::get, target, 11}, PullTimeout, read);
  const auto delta = head.ok() ? reader.finish() : std::nullopt;
  if (delta)
    publish(Fleet.didReadPeer(*delta, after, from, bootTimeNow()), "peer");
  else
    Owner.eventLog().write(EventLog::Priority::Routine, "pull_failed",
                           {{"vm", toText(from, CallersPort)}});
  co_return delta.has_value();
}

const std::string &FleetTask::changesSince(StoreRevision after) {
  if (AnswerBody.empty() || AnswerAfter != after || AnswerVersion != Fleet.replica().version()) {
    AnswerBody = compress(encodeStoreDelta(Fleet.replica().changesSince(after), after));
    AnswerAfter = after;
    AnswerVersion = Fleet.replica().version();
  }
  return AnswerBody;
}

void FleetTask::logLeftOut() {
  const StoreReplica &replica = Fleet.replica();
  if (std::exchange(HadLeftOut, replica.hasLeftOut()) != replica.hasLeftOut())
    Owner.eventLog().write(
        EventLog::Priority::Important, HadLeftOut ? "entries_left_out" : "entries_complete",
        {{"kept_kb", fmt::format("{}", replica.bounded().unusedBytes() / BytesPerKb)},
         {"largest_svc", replica.bounded().largestUnusedService()},
         revisionField("rev", replica.revision())});
  if (std::exchange(WasLacking, Fleet.isLacking()) != Fleet.isLacking())
    Owner.eventLog().write(EventLog::Priority::Important,
                           WasLacking ? "upstreams_lacking" : "upstreams_complete",
                           {revisionField("rev", replica.revision())});
}

asio::awaitable<HttpResponse> FleetTask::answer(HttpRequest request) {
  const std::string_view target = request.target();
  const auto after = target.starts_with(ReplicaTarget)
                         ? StoreRevision::parse(target.substr(ReplicaTarget.size()))
                         : std::nullopt;
  if (!after)
    co_return HttpResponse{http::status::not_found, 11};
  HttpResponse response{http::status::ok, 11};
  response.set(http::field::content_type, "application/octet-stream");
  response.body() = changesSince(*after);
  BytesSent += response.body().size();
  co_return response;
}

void FleetTask::publish(const ReplicaUpdate &update, std::string_view source) {
  send(update.Datagrams);
  if (update.IsRestored)
    logRestore(update, source);
  // A restore that changes no key still extends the time in which others write what it has lost.
  if (!update.Changes.empty() || update.IsRestored)
    Owner.didLearn(update.Changes, source, update.removals());
}

void FleetTask::logRestore(const ReplicaUpdate &update, std::string_view source) {
  const auto lost = std::ranges::count_if(update.Changes, &StoreItem::IsRemoved);
  Owner.eventLog().write(EventLog::Priority::Important, "store_restored",
                         {revisionField("old_rev", update.RevisionBefore),
                          revisionField("rev", Fleet.revision()),
                          {"keys_lost", fmt::format("{}", lost)},
                          {"keys_changed", fmt::format("{}", std::ssize(update.Changes) - lost)},
                          {"from", std::string{source}}});
}

void FleetTask::send(const std::vector<FleetDatagram> &sends) {
  for (const FleetDatagram &it : sends)
    sendOne(it);
}

void FleetTask::sendOne(const FleetDatagram &send) {
  const std::string bytes = encodeDatagram(send.Message, MaxDatagramBytes);
  const asio::ip::udp::endpoint to{asio::ip::address_v4{send.To},
                                   static_cast<std::uint16_t>(Owner.settings().FirstInternalPort)};
  boost::system::error_code ec;
  // A datagram that can't be sent now is replaced by the next beat.
  Socket.send_to(asio::buffer(bytes), to, 0, ec);
  BytesSent += bytes.size();
}

} // namespace wigeonlift
