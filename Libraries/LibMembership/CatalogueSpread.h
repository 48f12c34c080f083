#pragma once

#include <LibCatalogue/LibCatalogue.h>
#include <LibMembership/FleetEvents.h>

#include <deque>
#include <optional>
#include <string>

namespace wigeonlift {

/// Holds the catalogue in effect and exchanges it with peers. A peer announces its version; a VM
/// that is behind fetches the document, as a delta when the peer still has the VM's version.
class CatalogueSpread {
public:
  /// Judges a document of the configuration service. True when it came into effect.
  bool didReadDocument(const std::string &document, TimePoint now, FleetOutput &output);
  /// Compares a peer's announcement; the request to send to the peer when it is ahead.
  std::optional<CatalogueFetch> didHearVersion(const CatalogueVersion &version, TimePoint now);
  /// Answers a peer that is behind. Empty when this VM isn't ahead of it, or has sent as many whole
  /// documents as it may in one second; the peer asks another one then.
  std::optional<CatalogueReply> answer(const CatalogueFetch &fetch, TimePoint now);
  /// Judges a peer's answer. True when the document came into effect.
  bool didReceive(const CatalogueReply &reply, const std::string &peer, TimePoint now,
                  FleetOutput &output);

  const std::shared_ptr<const Catalogue> &inForce() const { return Store.current(); }
  CatalogueVersion version() const { return Store.version(); }
  std::uint64_t conflicts() const { return Store.conflicts(); }
  std::uint64_t olderOffers() const { return Store.olderOffers(); }
  /// A peer announced a newer version that has not arrived yet.
  bool isBehind() const { return HighestHeard > Store.version() && !isRefused(HighestHeard); }

private:
  bool judge(const std::string &document, const std::string &source, TimePoint now,
             FleetOutput &output);
  bool offer(const std::shared_ptr<const Catalogue> &value, const std::string &source,
             TimePoint now, FleetOutput &output);
  void ignore(const CatalogueVersion &version);
  void refuse(CatalogueRefused refusal, FleetOutput &output);
  void remember(std::shared_ptr<const Catalogue> replaced);
  bool isRefused(const CatalogueVersion &version) const;
  bool maySendDocument(TimePoint now);

  CatalogueStore Store;
  /// Earlier documents, newest first, as bases of deltas.
  std::deque<std::shared_ptr<const Catalogue>> Replaced;
  /// Versions that were judged and refused; they are neither fetched nor reported again.
  std::deque<CatalogueVersion> Refused;
  CatalogueVersion HighestHeard;
  std::optional<TimePoint> FetchedAt;
  /// The last delta didn't fit; the next fetch asks for the whole document.
  bool NeedsWhole = false;
  TimePoint DocumentsSince{};
  int DocumentsSent = 0;
};

} // namespace wigeonlift
