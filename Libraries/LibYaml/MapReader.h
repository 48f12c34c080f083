#pragma once

#include <LibYaml/DocumentError.h>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Reads the keys of one YAML map and records each broken rule with its line. A getter returns the
/// default (or zero) when its key breaks a rule, so that one pass reports all errors.
class MapReader {
public:
  /// Parses a document. Records an error and reads as an empty map when it isn't a YAML map.
  static MapReader parse(std::string_view document, DocumentErrors &errors);

  MapReader(const YAML::Node &node, std::string path, DocumentErrors &errors);

  bool has(std::string_view key) const;
  std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max,
                       std::optional<std::int64_t> fallback = {});
  double number(std::string_view key, double min, double max, std::optional<double> fallback = {});
  std::string text(std::string_view key, const std::optional<std::string> &fallback = {});
  /// Text that must be one of the words; returns the position of the word.
  std::size_t word(std::string_view key, std::span<const std::string_view> words,
                   std::optional<std::size_t> fallback = {});
  /// IP address and port as `IP:PORT`, an IPv6 address in brackets.
  std::string address(std::string_view key, const std::optional<std::string> &fallback = {});
  MapReader map(std::string_view key, bool isRequired = true);
  std::vector<MapReader> list(std::string_view key, bool isRequired = true);
  std::vector<std::string> addresses(std::string_view key);

  /// Records each key that no getter has asked for.
  void rejectUnknownKeys();
  /// Records a broken rule of a key.
  void reject(std::string_view key, DocumentRule rule);
  /// The error of a broken rule of a key, for rules that can only be judged after the document.
  DocumentError errorAt(std::string_view key, DocumentRule rule);

private:
  std::optional<std::string> scalar(std::string_view key, bool isRequired);
  YAML::Node find(std::string_view key);
  std::string pathOf(std::string_view key) const;

  YAML::Node Node;
  std::string Path;
  DocumentErrors *Errors;
  std::set<std::string, std::less<>> Known;
};

/// Whether the text is an IP address and a port from 1 to 65535.
bool isAddress(std::string_view text);

} // namespace wigeonlift
