#include "CatalogueReading.h"

#include <LibTelemetry/LibTelemetry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr Duration RetryInterval = std::chrono::milliseconds{500};
/// Bounds the reads of a service that answers each watch at once, and of the parts.
constexpr Duration MinReadInterval = std::chrono::milliseconds{200};
/// Missing parts are read again after 0.25 to 0.75 s at first, which doubles up to 4 to 12 s.
constexpr Duration PartRetryInterval = std::chrono::milliseconds{500};
constexpr int MaxRetryDoublings = 4;

TimePoint currentTime() { return TimePoint::clock::now(); }

} // namespace

CatalogueReading::CatalogueReading(ConfigurationClient client, PlatformState &platform,
                                   InForce inForce, std::uint64_t seed)
    : Client(std::move(client)), Platform(platform), CatalogueInForce(std::move(inForce)),
      Jitter(seed) {}

asio::awaitable<absl::StatusOr<std::string>> CatalogueReading::next() {
  co_await waitForTurn();
  absl::Status status = co_await readRoot();
  if (status.ok())
    status = co_await readMissingParts();
  IsConnected = false;
  if (!status.ok()) {
    ++Platform.ConfigurationFailures;
    Index.reset();
    NextReadAt = currentTime() + RetryInterval + fromSeconds(Jitter.unit());
    co_return status;
  }
  co_return takeDocument();
}

void CatalogueReading::forgetRoot() {
  Index.reset();
  Root.clear();
  Platform.MissingParts = 0;
}

asio::awaitable<void> CatalogueReading::waitForTurn() {
  asio::steady_timer timer{co_await asio::this_coro::executor, NextReadAt};
  co_await timer.async_wait(Completion);
  NextReadAt = currentTime() + MinReadInterval;
  ++Platform.ConfigurationReads;
}

asio::awaitable<absl::Status> CatalogueReading::readRoot() {
  if (!Index) {
    absl::StatusOr<ConfigurationValue> read = co_await Client.read(CatalogueKey);
    if (!read.ok())
      co_return read.status();
    didReadRoot(std::move(*read));
    co_return absl::OkStatus();
  }
  IsConnected = true;
  absl::StatusOr<std::optional<ConfigurationValue>> value =
      co_await Client.watch(*Index, watchWait());
  if (!value.ok())
    co_return value.status();
  if (*value)
    didReadRoot(std::move(**value));
  else
    didReceive(0);
  co_return absl::OkStatus();
}

void CatalogueReading::didReceive(std::size_t valueBytes) {
  Platform.ConfigurationBytes += PlatformState::HttpBytes + valueBytes;
}

void CatalogueReading::didReadRoot(ConfigurationValue value) {
  didReceive(value.Document.size());
  Index = value.Index;
  Root = std::move(value.Document);
  PartList list = readPartList(Root);
  // A root with an invalid list is judged, and refused, without its parts.
  Parts = list.Errors.empty() ? std::move(list.Items) : std::vector<CataloguePart>{};
  RootVersion = list.Version;
  dropUnnamedParts();
  Reported.clear();
  Retries = 0;
  Taken = {};
}

/// Parts are read in turn, and the others are read although one is missing.
asio::awaitable<absl::Status> CatalogueReading::readMissingParts() {
  // A root that has been handed out, or given up, needs no part.
  for (std::size_t n = 0; n < Parts.size() && !Root.empty(); ++n) {
    // A peer may have brought the catalogue while parts were read.
    takePartsInForce();
    if (Held.contains(Parts[n].Digest))
      continue;
    IsConnected = true;
    co_await waitForTurn();
    absl::Status status = co_await readPart(Parts[n]);
    if (!status.ok())
      co_return status;
  }
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> CatalogueReading::readPart(CataloguePart part) {
  absl::StatusOr<ConfigurationValue> read = co_await Client.read(part.Key);
  didReceive(read.ok() ? read->Document.size() : 0);
  if (absl::IsNotFound(read.status())) {
    reportPart(part, "none");
    co_return absl::OkStatus();
  }
  if (!read.ok())
    co_return read.status();
  didReadPart(part, std::move(read->Document));
  co_return absl::OkStatus();
}

void CatalogueReading::didReadPart(const CataloguePart &part, std::string text) {
  const ContentDigest digest = ContentDigest::of(text);
  if (digest != part.Digest) {
    reportPart(part, digest.toText());
    return;
  }
  if (Root.size() + HeldBytes + text.size() > MaxCatalogueBytes) {
    log(LogLevel::Error, "invalid catalogue refused",
        {{"part", part.Key}, {"rule", std::string{toString(DocumentRule::WithinSize)}}});
    Root.clear();
    return;
  }
  HeldBytes += text.size();
  Held.emplace(digest, std::move(text));
}

/// Takes parts from the catalogue in force, which a peer may have brought.
void CatalogueReading::takePartsInForce() {
  const std::shared_ptr<const Catalogue> inForce = CatalogueInForce();
  if (!inForce || inForce->Version == Taken)
    return;
  Taken = inForce->Version;
  for (const CatalogueSection &section : splitCatalogue(inForce->Document)) {
    const auto it = std::ranges::find(Parts, section.Key, &CataloguePart::Key);
    if (it != Parts.end() && !Held.contains(it->Digest) &&
        ContentDigest::of(section.Text) == it->Digest)
      didReadPart(*it, std::string{section.Text});
  }
}

void CatalogueReading::dropUnnamedParts() {
  std::erase_if(Held, [this](const auto &it) {
    return std::ranges::find(Parts, it.first, &CataloguePart::Digest) == Parts.end();
  });
  HeldBytes = 0;
  for (const auto &[digest, text] : Held)
    HeldBytes += text.size();
}

void CatalogueReading::reportPart(const CataloguePart &part, const std::string &seen) {
  if (std::string &reported = Reported[part.Key]; reported != seen)
    reported = seen;
  else
    return;
  log(LogLevel::Warn, "part of the catalogue doesn't match the root",
      {{"key", part.Key}, {"expected_digest", part.Digest.toText()}, {"seen_digest", seen}});
}

/// A newer root ends the wait for the next try.
Duration CatalogueReading::watchWait() {
  if (Root.empty())
    return WatchWait;
  const Duration longest = PartRetryInterval * (1 << std::min(Retries, MaxRetryDoublings));
  return longest / 2 + fromSeconds(toSeconds(longest) * Jitter.unit());
}

std::size_t CatalogueReading::missingParts() const {
  if (Root.empty())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      Parts, [this](const CataloguePart &it) { return !Held.contains(it.Digest); }));
}

/// When the service goes back, the parts of the older root may be gone for good. The root could not
/// come into effect with them either.
void CatalogueReading::giveUpOlderRoot() {
  const std::shared_ptr<const Catalogue> inForce = CatalogueInForce();
  if (Root.empty() || !inForce || RootVersion >= inForce->Version.Number)
    return;
  log(LogLevel::Warn, "older catalogue refused",
      {{"source", "configuration service"}, {"version", std::to_string(RootVersion)}});
  Root.clear();
}

std::string CatalogueReading::takeDocument() {
  if (missingParts() > 0)
    giveUpOlderRoot();
  Platform.MissingParts = missingParts();
  if (Platform.MissingParts > 0) {
    ++Retries;
    return {};
  }
  if (Parts.empty() || Root.empty())
    return std::exchange(Root, {});
  std::vector<CatalogueSection> sections;
  for (const CataloguePart &it : Parts)
    sections.push_back({it.Key, Held.at(it.Digest)});
  return composeCatalogue(std::exchange(Root, {}), sections);
}

} // namespace wigeonlift
