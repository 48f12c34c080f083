#include <LibCatalogue/CatalogueStore.h>

#include <utility>

namespace wigeonlift {

OfferResult CatalogueStore::offer(std::shared_ptr<const Catalogue> candidate, TimePoint now) {
  const CatalogueVersion currentVersion = version();
  const CatalogueVersion offeredVersion = candidate->Version;
  if (offeredVersion == currentVersion)
    return OfferResult::Unchanged;
  const bool isConflict = offeredVersion.Number == currentVersion.Number;
  if (isConflict)
    ++Conflicts;
  if (offeredVersion < currentVersion) {
    if (isConflict)
      return OfferResult::RejectedConflict;
    ++OlderOffers;
    return OfferResult::Older;
  }
  Current = std::move(candidate);
  AcceptedAt = now;
  return isConflict ? OfferResult::AcceptedConflict : OfferResult::Accepted;
}

CatalogueVersion CatalogueStore::version() const {
  return Current ? Current->Version : CatalogueVersion{};
}

} // namespace wigeonlift
