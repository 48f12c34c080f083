#include <LibMembership/CatalogueSpread.h>

#include <LibMembership/CatalogueDelta.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr Duration FetchTimeout = std::chrono::seconds{1};
constexpr std::size_t MaxReplacedDocuments = 4;
constexpr std::size_t MaxReplacedBytes = 2 * MaxCatalogueBytes;
constexpr std::size_t MaxRefused = 16;
/// Bounds what many peers that start at once cost one VM.
constexpr int MaxDocumentsPerSecond = 8;
constexpr const char *ServiceSource = "configuration service";

/// A document that can't be parsed has no version number; its digest identifies it.
CatalogueVersion keyOfInvalid(const std::string &document) {
  return CatalogueVersion::of(0, document);
}

} // namespace

bool CatalogueSpread::didReadDocument(const std::string &document, TimePoint now,
                                      FleetOutput &output) {
  if (inForce() && inForce()->Document == document)
    return false;
  return judge(document, ServiceSource, now, output);
}

bool CatalogueSpread::judge(const std::string &document, const std::string &source, TimePoint now,
                            FleetOutput &output) {
  if (isRefused(keyOfInvalid(document)))
    return false;
  const ParsedCatalogue parsed = parseCatalogue(document);
  if (parsed.Value)
    return offer(parsed.Value, source, now, output);
  refuse({CatalogueRefused::Cause::Invalid, keyOfInvalid(document), source, parsed.Errors}, output);
  return false;
}

bool CatalogueSpread::offer(const std::shared_ptr<const Catalogue> &value,
                            const std::string &source, TimePoint now, FleetOutput &output) {
  const std::shared_ptr<const Catalogue> replaced = inForce();
  const OfferResult result = Store.offer(value, now);
  switch (result) {
  case OfferResult::Accepted:
  case OfferResult::AcceptedConflict:
    remember(replaced);
    output.Events.push_back(
        CatalogueAccepted{value, source, result == OfferResult::AcceptedConflict});
    return true;
  case OfferResult::Older:
    refuse({CatalogueRefused::Cause::Older, value->Version, source, {}}, output);
    return false;
  case OfferResult::RejectedConflict:
    refuse({CatalogueRefused::Cause::Conflict, value->Version, source, {}}, output);
    return false;
  case OfferResult::Unchanged:
    return false;
  }
  return false;
}

bool CatalogueSpread::isRefused(const CatalogueVersion &version) const {
  return std::ranges::find(Refused, version) != Refused.end();
}

void CatalogueSpread::ignore(const CatalogueVersion &version) {
  Refused.push_front(version);
  Refused.resize(std::min(Refused.size(), MaxRefused));
}

void CatalogueSpread::refuse(CatalogueRefused refusal, FleetOutput &output) {
  if (isRefused(refusal.Version))
    return;
  ignore(refusal.Version);
  output.Events.push_back(std::move(refusal));
}

void CatalogueSpread::remember(std::shared_ptr<const Catalogue> replaced) {
  if (!replaced)
    return;
  Replaced.push_front(std::move(replaced));
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < std::min(Replaced.size(), MaxReplacedDocuments)) {
    bytes += Replaced[kept]->Document.size();
    if (bytes > MaxReplacedBytes)
      break;
    ++kept;
  }
  Replaced.resize(kept);
}

std::optional<CatalogueFetch> CatalogueSpread::didHearVersion(const CatalogueVersion &version,
                                                              TimePoint now) {
  if (version <= Store.version() || isRefused(version))
    return std::nullopt;
  HighestHeard = std::max(HighestHeard, version);
  if (FetchedAt && now - *FetchedAt < FetchTimeout)
    return std::nullopt;
  FetchedAt = now;
  return CatalogueFetch{NeedsWhole ? CatalogueVersion{} : Store.version()};
}

bool CatalogueSpread::maySendDocument(TimePoint now) {
  if (now - DocumentsSince >= std::chrono::seconds{1}) {
    DocumentsSince = now;
    DocumentsSent = 0;
  }
  return ++DocumentsSent <= MaxDocumentsPerSecond;
}

std::optional<CatalogueReply> CatalogueSpread::answer(const CatalogueFetch &fetch, TimePoint now) {
  if (!inForce() || fetch.Base >= Store.version())
    return std::nullopt;
  const std::string &document = inForce()->Document;
  const auto base =
      std::ranges::find(Replaced, fetch.Base, [](const auto &it) { return it->Version; });
  if (base != Replaced.end()) {
    std::string delta = makeDelta((*base)->Document, document);
    if (delta.size() < document.size())
      return CatalogueReply{Store.version(), fetch.Base, std::move(delta)};
  }
  if (!maySendDocument(now))
    return std::nullopt;
  return CatalogueReply{Store.version(), {}, document};
}

bool CatalogueSpread::didReceive(const CatalogueReply &reply, const std::string &peer,
                                 TimePoint now, FleetOutput &output) {
  FetchedAt.reset();
  if (reply.Version <= Store.version() || isRefused(reply.Version))
    return false;
  const bool isDelta = reply.Base != CatalogueVersion{};
  std::optional<std::string> document;
  if (!isDelta)
    document = reply.Payload;
  else if (inForce() && reply.Base == Store.version())
    document = applyDelta(inForce()->Document, reply.Payload, MaxCatalogueBytes);
  // The digest is compared before the parser sees the bytes.
  if (!document || CatalogueVersion::of(reply.Version.Number, *document) != reply.Version) {
    NeedsWhole = isDelta;
    output.Events.push_back(
        CatalogueRefused{CatalogueRefused::Cause::WrongDigest, reply.Version, peer, {}});
    return false;
  }
  NeedsWhole = false;
  const bool isAccepted = judge(*document, peer, now, output);
  // A document that is not valid here, or that states another version, is not fetched again.
  if (Store.version() < reply.Version && !isRefused(reply.Version))
    ignore(reply.Version);
  return isAccepted;
}

} // namespace wigeonlift
