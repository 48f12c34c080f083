#pragma once

#include <LibMembership/CatalogueReaders.h>
#include <LibMembership/CatalogueSpread.h>
#include <LibMembership/EvidenceTable.h>
#include <LibMembership/FailureDetector.h>
#include <LibMembership/FleetEvents.h>
#include <LibMembership/ListSpread.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/PeerPicker.h>
#include <LibMembership/ShareLending.h>
#include <LibMembership/StartupSync.h>

#include <string>
#include <vector>

namespace wigeonlift {

/// Evidence that this VM obtained from an upstream itself.
struct OwnEvidence {
  std::string Service;
  std::string Upstream;
  TimePoint ObservedAt{};
  LoadReport Load;
};

struct FleetNodeConfig {
  MemberUpdate Self;
  std::vector<std::string> SeedPeers;
  std::uint64_t Seed = 0;
};

/// One entry VM as a member of the fleet: failure detection, the spread of the catalogue, evidence
/// about upstreams and loans of limits. It performs no I/O: each method takes the present time and
/// appends messages to send and events to an output.
class FleetNode {
public:
  FleetNode(const FleetNodeConfig &config, TimePoint startedAt);

  /// Does what is due; to be called about every 100 ms.
  void tick(TimePoint now, FleetOutput &output);
  /// Takes a message of a peer. The route leads back to the sender on the same connection.
  void receive(const PeerMessage &message, const PeerRoute &from, TimePoint now,
               FleetOutput &output);

  /// The configuration service gave this document, or empty text when it has not changed.
  void didReadService(const std::string &document, TimePoint now, FleetOutput &output);
  /// A watch of the configuration service is in progress, and the last one succeeded.
  void didReachService(TimePoint now) { Readers.didReachService(now); }
  /// The configuration service could not be read.
  void didFailToReadService();
  /// The platform's list was asked for and answered between these times.
  void didReadList(const std::vector<ListRow> &rows, const ObservationSpan &observed);
  void setListed(const std::vector<ListedPeer> &listed, TimePoint now, FleetOutput &output);
  void setUpstreams(const std::string &service, const std::vector<std::string> &upstreams);
  void didObserve(const std::vector<OwnEvidence> &evidence, TimePoint now, FleetOutput &output);
  void didUseShare(const ShareDemand &demand, TimePoint now, FleetOutput &output);
  /// The data task put a share into effect while some calls of its entry were in progress.
  void didApplyShare(const ShareChanged &share, int inFlight, TimePoint now, FleetOutput &output);
  /// A report of the data task begins; its uses of shares follow.
  void didReportLoad(int load, TimePoint now, FleetOutput &output);
  /// Tells peers that this VM leaves, so that callers are no longer sent to it.
  void leave(TimePoint now, FleetOutput &output);

  bool isReader() const { return Readers.isSelf(); }
  /// Whether a VM that is no reader should read the service once, because no reader works.
  bool mustStandIn(TimePoint now) { return Readers.mustStandIn(Table.usable() + 1, now); }
  bool isSynchronized() const { return Sync.isDone(); }
  const MemberTable &table() const { return Table; }
  const CatalogueSpread &catalogue() const { return Spread; }
  const ListSpread &list() const { return List; }
  const CatalogueReaders &readers() const { return Readers; }
  std::size_t evidenceItems() const { return Evidence.size(); }

private:
  void noticePause(TimePoint now, FleetOutput &output);
  void pingNext(TimePoint now, FleetOutput &output);
  void pingSeeds(TimePoint now, FleetOutput &output);
  void ping(const std::string &name, const std::string &address, TimePoint now,
            FleetOutput &output);
  void checkPings(TimePoint now, FleetOutput &output);
  void sendRumours(TimePoint now, FleetOutput &output);
  Heartbeat heartbeatFor(const std::string &name, TimePoint now);
  void send(PeerDestination to, PeerBody body, FleetOutput &output);

  void handle(const Ping &ping, const PeerIdentity &sender, const PeerRoute &from, TimePoint now,
              FleetOutput &output);
  void handle(const Ack &ack, const PeerIdentity &sender, const PeerRoute &from, TimePoint now,
              FleetOutput &output);
  void handle(const PingRequest &request, const PeerIdentity &sender, const PeerRoute &from,
              TimePoint now, FleetOutput &output);
  void handle(const Rumours &rumours, const PeerIdentity &sender, const PeerRoute &from,
              TimePoint now, FleetOutput &output);
  void handle(const CatalogueFetch &fetch, const PeerIdentity &sender, const PeerRoute &from,
              TimePoint now, FleetOutput &output);
  void handle(const CatalogueReply &reply, const PeerIdentity &sender, const PeerRoute &from,
              TimePoint now, FleetOutput &output);
  void handle(const ShareRequest &request, const PeerIdentity &sender, const PeerRoute &from,
              TimePoint now, FleetOutput &output);
  void handle(const ShareGrant &grant, const PeerIdentity &sender, const PeerRoute &from,
              TimePoint now, FleetOutput &output);
  void takeHeartbeat(const Heartbeat &state, const PeerIdentity &sender, TimePoint now,
                     FleetOutput &output);
  void takeObservations(const Heartbeat &state, TimePoint now, FleetOutput &output);
  void takeListRows(const Heartbeat &state, TimePoint now);
  bool hasOwnEcho(const Heartbeat &state, TimePoint now) const;
  void didAcceptCatalogue(TimePoint now, FleetOutput &output);

  std::vector<std::string> SeedPeers;
  MemberTable Table;
  PeerPicker Picker;
  FailureDetector Detector;
  EvidenceTable Evidence;
  ListSpread List;
  CatalogueSpread Spread;
  CatalogueReaders Readers;
  StartupSync Sync;
  ShareLending Lending;
  int Load = 0;
  TimePoint LastActiveAt;
  TimePoint NextPingAt;
  TimePoint NextSeedAt;
  /// No member is suspected before this time, because this VM was paused.
  TimePoint JudgesFrom;
  /// Members or rows of the list changed: peers learn of it with the next tick, which joins several
  /// changes.
  bool HasNews = true;
  /// A catalogue or a draining upstream: peers learn of it at once.
  bool HasUrgentNews = false;
};

} // namespace wigeonlift
