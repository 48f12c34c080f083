#pragma once

#include <LibCatalogue/Catalogue.h>

#include <cstdint>
#include <memory>

namespace wigeonlift {

/// Result of offering a catalogue to the store.
enum class OfferResult : std::uint8_t {
  Accepted,         ///< It is the current catalogue now.
  AcceptedConflict, ///< It replaced a different document with the same version number.
  Unchanged,        ///< It is already the current catalogue.
  Older,            ///< Its version number is lower than the current one.
  RejectedConflict, ///< The current one has the same version number and a larger digest.
};

/// Holds the current catalogue and replaces it only by one with a greater `CatalogueVersion`.
class CatalogueStore {
public:
  /// Makes a valid catalogue from the configuration service or from a peer the current one if its
  /// version is greater than the current version.
  OfferResult offer(std::shared_ptr<const Catalogue> candidate, TimePoint now);

  /// The current catalogue; null until one has been accepted.
  const std::shared_ptr<const Catalogue> &current() const { return Current; }
  /// Version of the current catalogue; all zero until one has been accepted.
  CatalogueVersion version() const;
  /// When the current catalogue was accepted.
  TimePoint acceptedAt() const { return AcceptedAt; }
  /// Number of offers with the version number of the current catalogue but another digest.
  std::uint64_t conflicts() const { return Conflicts; }
  /// Number of offers with a lower version number, such as from a configuration service that was
  /// restored to an older state.
  std::uint64_t olderOffers() const { return OlderOffers; }

private:
  std::shared_ptr<const Catalogue> Current;
  TimePoint AcceptedAt{};
  std::uint64_t Conflicts = 0;
  std::uint64_t OlderOffers = 0;
};

} // namespace wigeonlift
