#pragma once

#include <LibBase/LibBase.h>
#include <LibYaml/DocumentError.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// CURVE keys of the fleet, each of 40 Z85 characters.
struct PeerKeys {
  std::string PublicKey;
  std::string SecretKey;
};

/// Settings of one entry daemon. Addresses are `IP:PORT`.
struct EntrySettings {
  std::string Name;
  std::string DataCentre;
  std::string Region;
  std::string CallersAddress;
  std::string OperatorAddress;
  /// Where other entry VMs reach this one.
  std::string PeerAddress;
  /// Where this one listens for them behind a relay; empty when it is PeerAddress.
  std::string PeerListenAddress;
  std::string ConfigurationAddress;
  std::string VmListAddress;
  /// Peer addresses of entry VMs to contact first, beside those of the VM list.
  std::vector<std::string> SeedPeers;
  PeerKeys Keys;
  /// Unexpired tickets that may exist at a time, and how long each is valid.
  int TicketCapacity = 0;
  Duration TicketLifetime{};
  /// Largest body of an idempotent or non-idempotent request in bytes.
  std::int64_t MaxRequestBytes = 0;
  /// How long a stopping daemon goes on serving callers that remember its address.
  Duration StopGrace{};
  std::string LogLevel;
  /// File for history events; empty writes none. VMs keep nothing, so this is for tests.
  std::string HistoryFile;
};

struct ParsedEntrySettings {
  /// Empty when a rule is broken.
  std::optional<EntrySettings> Value;
  DocumentErrors Errors;
};

/// Judges a settings document.
ParsedEntrySettings parseEntrySettings(std::string_view document);
/// Reads and judges a settings file. A file that can't be read breaks the rule `Readable`.
ParsedEntrySettings loadEntrySettings(const std::string &path);

/// Reads a whole file; empty when it can't be read.
std::optional<std::string> readFile(const std::string &path);

} // namespace wigeonlift
