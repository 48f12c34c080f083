#include <LibMembership/ShareLending.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

/// The data task must have reduced its use before the borrower may raise its own. A report that
/// comes this long after the reduction was made after it.
constexpr Duration ReductionTime = std::chrono::milliseconds{200};
constexpr Duration MaxPendingTime = std::chrono::milliseconds{1500};
/// Shorter than the interval of the reports, so that their jitter skips none.
constexpr Duration AskInterval = std::chrono::milliseconds{400};
/// A loan is at most half of a share, so a crowd needs several. Bounds the messages: a loan lasts 2
/// s, in which a VM asks four times.
constexpr double MaxPeersAsked = 6;
constexpr Duration RequestLifetime = std::chrono::seconds{2};
constexpr std::size_t MaxPending = 16;
constexpr std::size_t MaxRequests = 256;

ShareAmount shareOf(const EntryLimits &limits, int maxEntryVms) {
  return {limits.CallsPerSecond / maxEntryVms, limits.InFlight / maxEntryVms};
}

} // namespace

void ShareLending::setCatalogue(const Catalogue &catalogue, TimePoint now, FleetOutput &output) {
  std::map<std::string, EntryShare> entries;
  for (const EntrySpec &it : catalogue.Entries) {
    EntryShare &entry = entries[it.Name];
    if (const auto known = Entries.find(it.Name); known != Entries.end())
      entry = std::move(known->second);
    else
      entry.Share = LeasedShare{{}, now};
    entry.Share.setStaticShare(shareOf(it.Limits, catalogue.Fleet.MaxEntryVms));
  }
  Entries = std::move(entries);
  tick(now, output);
}

void ShareLending::publish(const std::string &name, EntryShare &entry, TimePoint now,
                           FleetOutput &output) {
  const ShareAmount adjustment = entry.Share.adjustment(now);
  const std::optional<TimePoint> until = entry.Share.validUntil(now);
  if (adjustment == entry.Published && until == entry.PublishedUntil)
    return;
  entry.Published = adjustment;
  entry.PublishedUntil = until;
  output.Events.push_back(
      ShareChanged{name, adjustment.CallsPerSecond, adjustment.InFlight, until.value_or(now)});
}

std::size_t ShareLending::peersToAsk(const ShareDemand &demand, TimePoint now) const {
  const auto it = Entries.find(demand.Entry);
  if (!demand.isShort() || it == Entries.end())
    return 0;
  const LeasedShare &share = it->second.Share;
  if (!share.mayBorrow(now) || now - it->second.AskedAt < AskInterval)
    return 0;
  const double loan = share.staticShare().CallsPerSecond / 2;
  const double limit = share.staticShare().CallsPerSecond + share.adjustment(now).CallsPerSecond;
  // Those that wait and were refused should find room within a second.
  const double missing = std::max(0.0, demand.Used.CallsPerSecond - limit) + demand.Waiting +
                         static_cast<double>(demand.Refused);
  return static_cast<std::size_t>(
      std::clamp(loan > 0 ? std::ceil(missing / loan) : 1.0, 1.0, MaxPeersAsked));
}

void ShareLending::didUse(const ShareDemand &demand, std::span<const std::string> peerAddresses,
                          TimePoint now, FleetOutput &output, const PeerIdentity &self) {
  const auto it = Entries.find(demand.Entry);
  if (it == Entries.end())
    return;
  EntryShare &entry = it->second;
  entry.Used = demand.Used;
  entry.ReportedAt = now;
  sendGrants(entry, false, now, output, self);
  for (const std::string &address :
       peerAddresses.first(std::min(peersToAsk(demand, now), peerAddresses.size())))
    ask(it->first, entry, address, now, output, self);
}

void ShareLending::didBeginReport(TimePoint now, FleetOutput &output, const PeerIdentity &self) {
  for (auto &[name, entry] : Entries) {
    if (!ReportBegunAt || (entry.ReportedAt && *entry.ReportedAt >= *ReportBegunAt))
      continue;
    entry.Used = {};
    entry.ReportedAt = ReportBegunAt;
    sendGrants(entry, false, now, output, self);
  }
  ReportBegunAt = now;
}

void ShareLending::didApply(const ShareChanged &share, int inFlight, TimePoint now,
                            FleetOutput &output, const PeerIdentity &self) {
  const auto it = Entries.find(share.Entry);
  // A change that was published since is not in effect yet.
  if (it == Entries.end() ||
      it->second.Published != ShareAmount{share.CallsPerSecond, share.InFlight})
    return;
  it->second.Used.InFlight = inFlight;
  sendGrants(it->second, true, now, output, self);
}

void ShareLending::sendGrants(EntryShare &entry, bool isApplied, TimePoint now, FleetOutput &output,
                              const PeerIdentity &self) {
  const ShareAmount adjustment = entry.Share.adjustment(now);
  const bool isReduced =
      entry.Used.InFlight <= entry.Share.staticShare().InFlight + adjustment.InFlight;
  std::erase_if(entry.Pending, [&](const PendingGrant &it) {
    // A grant that is not sent stays reserved until its time is over.
    if (now - it.ReservedAt >= MaxPendingTime)
      return true;
    const bool isConfirmed =
        isReduced && (isApplied || *entry.ReportedAt - it.ReservedAt >= ReductionTime);
    if (isConfirmed)
      output.Messages.push_back({it.To, {self, it.Grant}});
    return isConfirmed;
  });
}

void ShareLending::ask(const std::string &name, EntryShare &entry, const std::string &peerAddress,
                       TimePoint now, FleetOutput &output, const PeerIdentity &self) {
  std::erase_if(Requests,
                [now](const auto &it) { return now - it.second.SentAt > RequestLifetime; });
  if (Requests.size() >= MaxRequests)
    return;
  entry.AskedAt = now;
  const ShareAmount staticShare = entry.Share.staticShare();
  const ShareAmount wanted{staticShare.CallsPerSecond, std::max(1, staticShare.InFlight)};
  Requests[++LastId] = {name, wanted, now};
  output.Messages.push_back(
      {PeerAddress{peerAddress},
       {self, ShareRequest{LastId, name, wanted.CallsPerSecond, wanted.InFlight}}});
}

void ShareLending::didRequest(const ShareRequest &request, const PeerRoute &from, TimePoint now,
                              FleetOutput &output) {
  const auto it = Entries.find(request.Entry);
  if (it == Entries.end() || !it->second.ReportedAt || it->second.Pending.size() >= MaxPending)
    return;
  EntryShare &entry = it->second;
  const ShareAmount amount =
      entry.Share.lend({request.CallsPerSecond, request.InFlight}, entry.Used, now);
  if (amount.isEmpty())
    return;
  entry.Pending.push_back(
      {{request.Id, request.Entry, amount.CallsPerSecond, amount.InFlight}, from, now});
  publish(it->first, entry, now, output);
}

void ShareLending::didGrant(const ShareGrant &grant, TimePoint now, FleetOutput &output) {
  // Each request takes one grant, so a doubled or forged grant adds nothing.
  const auto request = Requests.extract(grant.Id);
  if (request.empty() || request.mapped().Entry != grant.Entry)
    return;
  const auto it = Entries.find(grant.Entry);
  if (it == Entries.end() || !it->second.Share.mayBorrow(now))
    return;
  const PendingRequest &asked = request.mapped();
  const ShareAmount amount{std::min(grant.CallsPerSecond, asked.Wanted.CallsPerSecond),
                           std::min(grant.InFlight, asked.Wanted.InFlight)};
  it->second.Share.didBorrow(amount, asked.SentAt, now);
  publish(it->first, it->second, now, output);
}

void ShareLending::tick(TimePoint now, FleetOutput &output) {
  for (auto &[name, entry] : Entries)
    publish(name, entry, now, output);
}

} // namespace wigeonlift
