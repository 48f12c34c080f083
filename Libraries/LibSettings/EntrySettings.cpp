#include <LibSettings/EntrySettings.h>

#include <LibYaml/MapReader.h>

#include <array>
#include <fstream>
#include <iterator>

namespace wigeonlift {

namespace {

constexpr std::size_t Z85KeyBytes = 40;
constexpr std::int64_t MaxTicketLifetimeMs = 3'600'000;
constexpr std::int64_t MaxBodyBytes = 64LL * 1024 * 1024;

std::string readKey(MapReader &reader, std::string_view key) {
  std::string text = reader.text(key);
  if (text.size() != Z85KeyBytes)
    reader.reject(key, DocumentRule::IsKey);
  return text;
}

void readPlatform(MapReader reader, EntrySettings &settings) {
  settings.ConfigurationAddress = reader.address("configuration");
  settings.VmListAddress = reader.address("vm_list");
  reader.rejectUnknownKeys();
}

void readKeys(MapReader reader, EntrySettings &settings) {
  settings.Keys.PublicKey = readKey(reader, "public");
  settings.Keys.SecretKey = readKey(reader, "secret");
  reader.rejectUnknownKeys();
}

void readTickets(MapReader reader, EntrySettings &settings) {
  settings.TicketCapacity = static_cast<int>(reader.integer("capacity", 1, 10'000'000, 100'000));
  settings.TicketLifetime =
      std::chrono::milliseconds{reader.integer("lifetime_ms", 1000, MaxTicketLifetimeMs, 120'000)};
  reader.rejectUnknownKeys();
}

void readSettings(MapReader reader, EntrySettings &settings) {
  constexpr std::array<std::string_view, 4> levels{"debug", "info", "warn", "error"};
  settings.Name = reader.text("name");
  settings.DataCentre = reader.text("data_centre");
  settings.Region = reader.text("region");
  settings.CallersAddress = reader.address("callers_address");
  settings.OperatorAddress = reader.address("operator_address");
  settings.PeerAddress = reader.address("peer_address");
  settings.PeerListenAddress = reader.address("peer_listen_address", "");
  readPlatform(reader.map("platform"), settings);
  settings.SeedPeers = reader.addresses("seed_peers");
  readKeys(reader.map("peer_keys"), settings);
  readTickets(reader.map("tickets", false), settings);
  settings.MaxRequestBytes = reader.integer("max_request_bytes", 1024, MaxBodyBytes, 1024 * 1024);
  settings.StopGrace =
      std::chrono::milliseconds{reader.integer("stop_grace_ms", 0, 600'000, 35'000)};
  settings.LogLevel = levels[reader.word("log_level", levels, 1)];
  settings.HistoryFile = reader.text("history_file", "");
  reader.rejectUnknownKeys();
}

} // namespace

ParsedEntrySettings parseEntrySettings(std::string_view document) {
  ParsedEntrySettings result;
  EntrySettings settings;
  readSettings(MapReader::parse(document, result.Errors), settings);
  if (result.Errors.empty())
    result.Value = std::move(settings);
  return result;
}

ParsedEntrySettings loadEntrySettings(const std::string &path) {
  const auto document = readFile(path);
  if (document)
    return parseEntrySettings(*document);
  ParsedEntrySettings result;
  result.Errors.push_back({0, "", DocumentRule::Readable});
  return result;
}

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream file{path, std::ios::binary};
  if (!file)
    return std::nullopt;
  std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
  if (file.bad())
    return std::nullopt;
  return text;
}

} // namespace wigeonlift
