#pragma once

#include <LibBudget/LeasedShare.h>
#include <LibCatalogue/LibCatalogue.h>
#include <LibMembership/FleetEvents.h>

#include <map>
#include <span>
#include <string>

namespace wigeonlift {

/// How much of an entry's share is in use on this VM.
struct ShareDemand {
  std::string Entry;
  ShareAmount Used;
  /// Calls refused for the limit since the last report.
  std::uint64_t Refused = 0;
  /// Calls that wait for the rate.
  int Waiting = 0;

  bool isShort() const { return Refused > 0 || Waiting > 0; }
};

/// Lends unused parts of this VM's shares to peers and borrows from them.
class ShareLending {
public:
  /// Reports the shares of entries that are new.
  void setCatalogue(const Catalogue &catalogue, TimePoint now, FleetOutput &output);

  /// Peers that a VM with this demand asks for loans; zero when it needs none or asked just before.
  std::size_t peersToAsk(const ShareDemand &demand, TimePoint now) const;
  /// Takes a report of the data task. Sends grants whose reduction the data task has followed, and
  /// asks the peers for loans when calls were refused or wait.
  void didUse(const ShareDemand &demand, std::span<const std::string> peerAddresses, TimePoint now,
              FleetOutput &output, const PeerIdentity &self);
  /// A report of the data task begins. Entries that the report before it didn't name are unused.
  void didBeginReport(TimePoint now, FleetOutput &output, const PeerIdentity &self);
  /// The data task put a reported share into effect while `inFlight` calls of the entry were in
  /// progress. Sends the grants that this share allows, without waiting for a report.
  void didApply(const ShareChanged &share, int inFlight, TimePoint now, FleetOutput &output,
                const PeerIdentity &self);
  void didRequest(const ShareRequest &request, const PeerRoute &from, TimePoint now,
                  FleetOutput &output);
  void didGrant(const ShareGrant &grant, TimePoint now, FleetOutput &output);
  /// Reports shares that changed because a loan ended.
  void tick(TimePoint now, FleetOutput &output);

private:
  struct PendingGrant {
    ShareGrant Grant;
    PeerRoute To;
    TimePoint ReservedAt{};
  };
  struct PendingRequest {
    std::string Entry;
    ShareAmount Wanted;
    TimePoint SentAt{};
  };
  struct EntryShare {
    LeasedShare Share{ShareAmount{}};
    ShareAmount Used;
    /// Time of the data task's report that `Used` stems from; empty before the first.
    std::optional<TimePoint> ReportedAt;
    ShareAmount Published;
    std::optional<TimePoint> PublishedUntil;
    TimePoint AskedAt{};
    std::vector<PendingGrant> Pending;
  };
  static void publish(const std::string &name, EntryShare &entry, TimePoint now,
                      FleetOutput &output);
  /// `isApplied`: the data task has followed all reductions so far.
  static void sendGrants(EntryShare &entry, bool isApplied, TimePoint now, FleetOutput &output,
                         const PeerIdentity &self);
  void ask(const std::string &name, EntryShare &entry, const std::string &peerAddress,
           TimePoint now, FleetOutput &output, const PeerIdentity &self);

  std::map<std::string, EntryShare> Entries;
  std::optional<TimePoint> ReportBegunAt;
  std::map<std::uint64_t, PendingRequest> Requests;
  std::uint64_t LastId = 0;
};

} // namespace wigeonlift
