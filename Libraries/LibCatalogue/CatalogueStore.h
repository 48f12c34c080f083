#pragma once

#include <LibCatalogue/Catalogue.h>

#include <cstdint>
#include <memory>

namespace wigeonlift {

/// What became of a catalogue that was offered to the store.
enum class OfferResult : std::uint8_t {
  Accepted,         ///< It is in force now.
  AcceptedConflict, ///< It is in force now and replaces another document with the same version.
  Unchanged,        ///< It was in force already.
  Older,            ///< It is older than the one in force, which stays.
  RejectedConflict, ///< It has the version of the one in force, whose digest is larger.
};

/// Holds the catalogue in force. It only moves forward.
class CatalogueStore {
public:
  /// Offers a valid catalogue from the configuration service or from a peer.
  OfferResult offer(std::shared_ptr<const Catalogue> candidate, TimePoint now);

  /// The catalogue in force; null until one was accepted.
  const std::shared_ptr<const Catalogue> &current() const { return Current; }
  /// Version in force; all zero until one was accepted.
  CatalogueVersion version() const;
  /// When the catalogue in force was accepted.
  TimePoint acceptedAt() const { return AcceptedAt; }
  /// Two different documents with one version that were offered to this store.
  std::uint64_t conflicts() const { return Conflicts; }
  /// Offers of an older version, as from a service that went back.
  std::uint64_t olderOffers() const { return OlderOffers; }

private:
  std::shared_ptr<const Catalogue> Current;
  TimePoint AcceptedAt{};
  std::uint64_t Conflicts = 0;
  std::uint64_t OlderOffers = 0;
};

} // namespace wigeonlift
