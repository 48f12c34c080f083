#include <LibMembership/FleetNode.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr Duration PingInterval = std::chrono::seconds{1};
constexpr Duration SeedInterval = std::chrono::seconds{1};
constexpr Duration PauseLength = std::chrono::seconds{2};
/// Time that a VM that was paused gives its peers to answer before it judges them.
constexpr Duration JudgeDelay = std::chrono::seconds{2};
/// An echo that was held longer is too inexact to date evidence that lasts for 2.5 s.
constexpr Duration MaxEchoAge = std::chrono::seconds{30};
/// The clocks of two VMs may differ in rate by 5%, as with loans. Spans that a peer measured count
/// that much less or more, whichever makes evidence older.
constexpr int ClockRateDivisor = 20;
constexpr std::size_t RumourPeers = 3;
constexpr std::size_t IndirectPeers = 3;
constexpr std::size_t StartupPeers = 3;

/// Earliest time on the own clock at which a peer can have sent a message with this echo.
TimePoint earliestSending(const Echo &echo) {
  return echo.SentAt + echo.HeldFor - echo.HeldFor / ClockRateDivisor;
}

} // namespace

FleetNode::FleetNode(const FleetNodeConfig &config, TimePoint startedAt)
    : SeedPeers(config.SeedPeers), Table(config.Self), Picker(config.Seed), Readers(config.Seed),
      Sync(startedAt), LastActiveAt(startedAt), NextPingAt(startedAt), NextSeedAt(startedAt),
      JudgesFrom(startedAt) {}

void FleetNode::send(PeerDestination to, PeerBody body, FleetOutput &output) {
  output.Messages.push_back({std::move(to), {Table.self().Id, std::move(body)}});
}

void FleetNode::tick(TimePoint now, FleetOutput &output) {
  noticePause(now, output);
  checkPings(now, output);
  if (now >= NextPingAt) {
    NextPingAt = now + PingInterval;
    pingNext(now, output);
  }
  if (now >= NextSeedAt) {
    NextSeedAt = now + SeedInterval;
    pingSeeds(now, output);
  }
  if (now >= JudgesFrom)
    Table.expire(now, output);
  Readers.update(Table, output);
  Lending.tick(now, output);
  if (HasNews)
    sendRumours(now, output);
  const bool isDone =
      Sync.becomesDone(Table.usable(), Spread.inForce() != nullptr, Spread.isBehind(), now);
  if (isDone)
    output.Events.push_back(FleetSynchronized{Sync.answeredPeers()});
}

void FleetNode::noticePause(TimePoint now, FleetOutput &output) {
  const Duration gap = now - LastActiveAt;
  LastActiveAt = std::max(now, LastActiveAt);
  if (gap <= PauseLength)
    return;
  output.Events.push_back(PauseNoticed{gap});
  Detector.reset();
  Table.extendSuspicions(now);
  JudgesFrom = now + JudgeDelay;
  for (const std::string &name : Picker.some(Table, StartupPeers))
    ping(name, Table.find(name)->Info.PeerAddress, now, output);
}

void FleetNode::pingNext(TimePoint now, FleetOutput &output) {
  if (!Sync.isDone()) {
    for (const std::string &name : Picker.some(Table, StartupPeers))
      ping(name, Table.find(name)->Info.PeerAddress, now, output);
    return;
  }
  const std::string name = Picker.next(Table);
  if (const Member *member = Table.find(name))
    ping(name, member->Info.PeerAddress, now, output);
}

/// Seeds are asked only while no member is known.
void FleetNode::pingSeeds(TimePoint now, FleetOutput &output) {
  if (Table.usable() > 0)
    return;
  for (const std::string &address : SeedPeers)
    if (address != Table.self().PeerAddress)
      ping({}, address, now, output);
}

void FleetNode::ping(const std::string &name, const std::string &address, TimePoint now,
                     FleetOutput &output) {
  const std::uint64_t sequence = Detector.didPing(name, now);
  send(PeerAddress{address}, Ping{sequence, heartbeatFor(name, now)}, output);
}

void FleetNode::checkPings(TimePoint now, FleetOutput &output) {
  const FailureDetector::Overdue overdue = Detector.check(now);
  for (const auto &[name, sequence] : overdue.Indirect) {
    const Member *member = Table.find(name);
    if (!member || !member->isUsable())
      continue;
    for (const std::string &helper : Picker.some(Table, IndirectPeers, name))
      send(PeerAddress{Table.find(helper)->Info.PeerAddress},
           PingRequest{sequence, member->Info.PeerAddress}, output);
  }
  if (now < JudgesFrom)
    return;
  for (const std::string &name : overdue.Unreachable)
    HasNews = Table.suspect(name, now, output) || HasNews;
}

void FleetNode::sendRumours(TimePoint now, FleetOutput &output) {
  HasNews = false;
  HasUrgentNews = false;
  for (const std::string &name : Picker.some(Table, RumourPeers))
    send(PeerAddress{Table.find(name)->Info.PeerAddress}, Rumours{heartbeatFor(name, now)}, output);
}

Heartbeat FleetNode::heartbeatFor(const std::string &name, TimePoint now) {
  Heartbeat state;
  state.SentAt = now;
  const Member *member = Table.find(name);
  if (member && member->HasBeenHeard && now - member->HeardAt <= MaxEchoAge)
    state.Received =
        Echo{prefixOf(member->Info.Id.Boot), member->PeerSentAt, now - member->HeardAt};
  state.Catalogue = Spread.version();
  state.ReaderAge = Readers.age(now);
  state.Load = Load;
  state.Observations = Evidence.take(now);
  state.Updates = Table.takeUpdates(name);
  if (state.Received)
    state.ListRows = List.take(now);
  return state;
}

void FleetNode::receive(const PeerMessage &message, const PeerRoute &from, TimePoint now,
                        FleetOutput &output) {
  noticePause(now, output);
  if (message.Sender.Name == Table.self().Id.Name)
    return;
  std::visit([&](const auto &body) { handle(body, message.Sender, from, now, output); },
             message.Body);
  if (HasUrgentNews)
    sendRumours(now, output);
}

void FleetNode::handle(const Ping &ping, const PeerIdentity &sender, const PeerRoute &from,
                       TimePoint now, FleetOutput &output) {
  takeHeartbeat(ping.State, sender, now, output);
  send(from, Ack{ping.Sequence, heartbeatFor(sender.Name, now)}, output);
}

void FleetNode::handle(const Ack &ack, const PeerIdentity &sender, const PeerRoute &, TimePoint now,
                       FleetOutput &output) {
  takeHeartbeat(ack.State, sender, now, output);
  Sync.didHearPeer(sender.Name);
  if (const auto relay = Detector.takeRelay(ack.Sequence))
    send(relay->second, Ack{relay->first, heartbeatFor({}, now)}, output);
  else
    Detector.didAck(ack.Sequence);
}

void FleetNode::handle(const PingRequest &request, const PeerIdentity &, const PeerRoute &from,
                       TimePoint now, FleetOutput &output) {
  const std::uint64_t sequence = Detector.didPingFor(request.Sequence, from, now);
  send(PeerAddress{request.Address}, Ping{sequence, heartbeatFor({}, now)}, output);
}

void FleetNode::handle(const Rumours &rumours, const PeerIdentity &sender, const PeerRoute &,
                       TimePoint now, FleetOutput &output) {
  takeHeartbeat(rumours.State, sender, now, output);
}

void FleetNode::handle(const CatalogueFetch &fetch, const PeerIdentity &, const PeerRoute &from,
                       TimePoint now, FleetOutput &output) {
  if (auto reply = Spread.answer(fetch, now))
    send(from, std::move(*reply), output);
}

void FleetNode::handle(const CatalogueReply &reply, const PeerIdentity &sender, const PeerRoute &,
                       TimePoint now, FleetOutput &output) {
  if (Spread.didReceive(reply, sender.Name, now, output))
    didAcceptCatalogue(now, output);
}

void FleetNode::handle(const ShareRequest &request, const PeerIdentity &, const PeerRoute &from,
                       TimePoint now, FleetOutput &output) {
  Lending.didRequest(request, from, now, output);
}

void FleetNode::handle(const ShareGrant &grant, const PeerIdentity &, const PeerRoute &,
                       TimePoint now, FleetOutput &output) {
  Lending.didGrant(grant, now, output);
}

void FleetNode::takeHeartbeat(const Heartbeat &state, const PeerIdentity &sender, TimePoint now,
                              FleetOutput &output) {
  const std::size_t known = output.Events.size();
  for (const MemberUpdate &it : state.Updates)
    Table.merge(it, now, output);
  const bool isHeard = Table.didHear(sender, now, output);
  // Changes of members are passed on at once.
  HasNews = HasNews || output.Events.size() > known;
  if (isHeard) {
    Member &member = *Table.find(sender.Name);
    member.PeerSentAt = state.SentAt;
    member.Load = state.Load;
    takeObservations(state, now, output);
    takeListRows(state, now);
  }
  if (state.ReaderAge)
    Readers.didHearReader(*state.ReaderAge, now);
  const Member *member = Table.find(sender.Name);
  const auto fetch = Spread.didHearVersion(state.Catalogue, now);
  if (fetch && member)
    send(PeerAddress{member->Info.PeerAddress}, *fetch, output);
}

bool FleetNode::hasOwnEcho(const Heartbeat &state, TimePoint now) const {
  return state.Received && state.Received->BootPrefix == prefixOf(Table.self().Id.Boot) &&
         state.Received->SentAt <= now;
}

void FleetNode::takeObservations(const Heartbeat &state, TimePoint now, FleetOutput &output) {
  const bool hasEcho = hasOwnEcho(state, now);
  for (const Observation &it : state.Observations) {
    const bool isDraining = it.Load.State == UpstreamState::Draining;
    // Evidence that permits work is dated by the echo, which is never too late. Evidence that ends
    // a permission counts from the latest possible time.
    if (!isDraining && !hasEcho)
      continue;
    TimePoint observedAt = now - it.Age;
    if (!isDraining)
      observedAt = std::min(observedAt,
                            earliestSending(*state.Received) - it.Age - it.Age / ClockRateDivisor);
    if (!Evidence.add(it.Upstream, observedAt, it.Load))
      continue;
    const EvidenceTable::Name *name = Evidence.name(it.Upstream);
    output.Events.push_back(PeerObserved{name->Service, name->Upstream, observedAt, it.Load});
    HasUrgentNews = HasUrgentNews || isDraining;
  }
}

void FleetNode::takeListRows(const Heartbeat &state, TimePoint now) {
  if (!hasOwnEcho(state, now))
    return;
  const TimePoint sentFrom = std::min(now, earliestSending(*state.Received));
  for (const ListNews &it : state.ListRows) {
    // The message was sent between this time and the present.
    const ObservationSpan observed{sentFrom - it.MaxAge - it.MaxAge / ClockRateDivisor,
                                   now - it.MinAge + it.MinAge / ClockRateDivisor};
    HasNews = List.didHear(it.Row, observed, now, Table.usable() + 1) || HasNews;
  }
}

void FleetNode::didAcceptCatalogue(TimePoint now, FleetOutput &output) {
  Lending.setCatalogue(*Spread.inForce(), now, output);
  HasUrgentNews = true;
}

void FleetNode::didReadService(const std::string &document, TimePoint now, FleetOutput &output) {
  noticePause(now, output);
  Readers.didReachService(now);
  if (!document.empty() && Spread.didReadDocument(document, now, output))
    didAcceptCatalogue(now, output);
  Sync.didAskService();
  if (HasUrgentNews)
    sendRumours(now, output);
}

void FleetNode::didFailToReadService() { Sync.didAskService(); }

void FleetNode::didReadList(const std::vector<ListRow> &rows, const ObservationSpan &observed) {
  const std::uint64_t before = List.revision();
  List.didRead(rows, observed, Table.usable() + 1);
  HasNews = HasNews || List.revision() != before;
}

void FleetNode::setListed(const std::vector<ListedPeer> &listed, TimePoint now,
                          FleetOutput &output) {
  noticePause(now, output);
  Table.setListed(listed, now, output);
}

void FleetNode::setUpstreams(const std::string &service,
                             const std::vector<std::string> &upstreams) {
  Evidence.setUpstreams(service, upstreams);
}

void FleetNode::didObserve(const std::vector<OwnEvidence> &evidence, TimePoint now,
                           FleetOutput &output) {
  noticePause(now, output);
  for (const OwnEvidence &it : evidence) {
    const UpstreamHash hash = hashOfUpstream(it.Service, it.Upstream);
    const bool wasDraining = Evidence.isDraining(hash);
    if (Evidence.add(hash, it.ObservedAt, it.Load) && Evidence.isDraining(hash) != wasDraining)
      HasUrgentNews = true;
  }
  if (HasUrgentNews)
    sendRumours(now, output);
}

void FleetNode::didUseShare(const ShareDemand &demand, TimePoint now, FleetOutput &output) {
  std::vector<std::string> addresses;
  if (const std::size_t count = Lending.peersToAsk(demand, now); count > 0)
    for (const std::string &it : Picker.some(Table, count))
      addresses.push_back(Table.find(it)->Info.PeerAddress);
  Lending.didUse(demand, addresses, now, output, Table.self().Id);
}

void FleetNode::didApplyShare(const ShareChanged &share, int inFlight, TimePoint now,
                              FleetOutput &output) {
  Lending.didApply(share, inFlight, now, output, Table.self().Id);
}

void FleetNode::didReportLoad(int load, TimePoint now, FleetOutput &output) {
  Load = load;
  Lending.didBeginReport(now, output, Table.self().Id);
}

void FleetNode::leave(TimePoint now, FleetOutput &output) {
  Table.leave();
  sendRumours(now, output);
}

} // namespace wigeonlift
