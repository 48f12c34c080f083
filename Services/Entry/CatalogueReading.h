#pragma once

#include "ControlDump.h"

#include <LibBase/LibBase.h>
#include <LibCatalogue/LibCatalogue.h>
#include <LibPlatform/LibPlatform.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Reads the catalogue from the configuration service: the root, and of its parts those whose
/// digest isn't held yet. It reads the service at most 5 times a second.
class CatalogueReading {
public:
  using InForce = std::function<std::shared_ptr<const Catalogue>()>;

  /// Counts its reads in `platform`. Parts of the catalogue in force are not read again.
  CatalogueReading(ConfigurationClient client, PlatformState &platform, InForce inForce,
                   std::uint64_t seed);

  /// Reads the root, or waits for a change when one is known, and then the missing parts. The
  /// document to judge; empty when there is no new one or a part of it is missing. Fails when the
  /// service can't be read.
  boost::asio::awaitable<absl::StatusOr<std::string>> next();
  /// Gives the last root up. The next read takes the root without waiting for a change.
  void forgetRoot();
  /// A watch is waiting, or parts are being read.
  bool isConnected() const { return IsConnected; }

private:
  boost::asio::awaitable<void> waitForTurn();
  boost::asio::awaitable<absl::Status> readRoot();
  boost::asio::awaitable<absl::Status> readMissingParts();
  boost::asio::awaitable<absl::Status> readPart(CataloguePart part);
  void didReceive(std::size_t valueBytes);
  void didReadRoot(ConfigurationValue value);
  void didReadPart(const CataloguePart &part, std::string text);
  void takePartsInForce();
  void dropUnnamedParts();
  void reportPart(const CataloguePart &part, const std::string &seen);
  Duration watchWait();
  std::size_t missingParts() const;
  void giveUpOlderRoot();
  std::string takeDocument();

  ConfigurationClient Client;
  PlatformState &Platform;
  InForce CatalogueInForce;
  Random Jitter;
  /// Index of the last root that was read; empty before the first and after a failure.
  std::optional<std::uint64_t> Index;
  TimePoint NextReadAt{};
  bool IsConnected = false;
  /// The last root; empty when its document was handed out.
  std::string Root;
  std::vector<CataloguePart> Parts;
  /// Version of the last root with parts.
  std::uint64_t RootVersion = 0;
  /// Texts of parts that the last root names. With the root at most as large as a catalogue.
  std::map<ContentDigest, std::string> Held;
  std::size_t HeldBytes = 0;
  CatalogueVersion Taken;
  /// What was last reported of each part of this root.
  std::map<std::string, std::string> Reported;
  int Retries = 0;
};

} // namespace wigeonlift
