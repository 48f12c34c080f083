#include <LibYaml/MapReader.h>

#include <LibBase/Text.h>

#include <fmt/format.h>

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr std::size_t MaxTextBytes = 256;
constexpr std::size_t MaxKeyBytes = 64;

int lineOf(const YAML::Node &node) { return node.Mark().line + 1; }

std::string_view shorten(const std::string &text) {
  return std::string_view{text}.substr(0, MaxKeyBytes);
}

} // namespace

MapReader MapReader::parse(std::string_view document, DocumentErrors &errors) {
  try {
    return {YAML::Load(std::string{document}), "", errors};
  } catch (const YAML::Exception &exception) {
    errors.push_back({exception.mark.line + 1, "", DocumentRule::ValidYaml});
  }
  return {YAML::Node{YAML::NodeType::Map}, "", errors};
}

MapReader::MapReader(const YAML::Node &node, std::string path, DocumentErrors &errors)
    : Node(node), Path(std::move(path)), Errors(&errors) {
  if (!Node.IsMap()) {
    Errors->push_back({lineOf(Node), Path, DocumentRule::IsMap});
    Node = YAML::Node{YAML::NodeType::Map};
    return;
  }
  std::set<std::string> seen;
  for (const auto &it : Node) {
    if (!it.first.IsScalar())
      Errors->push_back({lineOf(it.first), Path, DocumentRule::IsKnown});
    else if (!seen.insert(it.first.Scalar()).second)
      Errors->push_back(
          {lineOf(it.first), pathOf(shorten(it.first.Scalar())), DocumentRule::IsUnique});
  }
}

bool MapReader::has(std::string_view key) const {
  return std::any_of(Node.begin(), Node.end(), [&](const auto &it) {
    return it.first.IsScalar() && it.first.Scalar() == key;
  });
}

std::int64_t MapReader::integer(std::string_view key, std::int64_t min, std::int64_t max,
                                std::optional<std::int64_t> fallback) {
  const auto value = scalar(key, !fallback);
  if (!value)
    return fallback.value_or(min);
  const auto n = parseNumber<std::int64_t>(*value);
  if (!n) {
    reject(key, DocumentRule::IsNumber);
    return min;
  }
  if (*n < min || *n > max) {
    reject(key, DocumentRule::IsInRange);
    return min;
  }
  return *n;
}

double MapReader::number(std::string_view key, double min, double max,
                         std::optional<double> fallback) {
  const auto value = scalar(key, !fallback);
  if (!value)
    return fallback.value_or(min);
  const auto n = parseNumber<double>(*value);
  if (!n || !std::isfinite(*n)) {
    reject(key, DocumentRule::IsNumber);
    return min;
  }
  if (*n < min || *n > max) {
    reject(key, DocumentRule::IsInRange);
    return min;
  }
  return *n;
}

std::string MapReader::text(std::string_view key, const std::optional<std::string> &fallback) {
  const auto value = scalar(key, !fallback);
  if (!value)
    return fallback.value_or("");
  if (value->empty() || value->size() > MaxTextBytes)
    reject(key, DocumentRule::IsText);
  return *value;
}

std::size_t MapReader::word(std::string_view key, std::span<const std::string_view> words,
                            std::optional<std::size_t> fallback) {
  const auto value = scalar(key, !fallback);
  if (!value)
    return fallback.value_or(0);
  const auto it = std::ranges::find(words, *value);
  if (it != words.end())
    return static_cast<std::size_t>(it - words.begin());
  reject(key, DocumentRule::IsOneOf);
  return 0;
}

std::string MapReader::address(std::string_view key, const std::optional<std::string> &fallback) {
  const auto value = scalar(key, !fallback);
  if (!value)
    return fallback.value_or("");
  if (!isAddress(*value))
    reject(key, DocumentRule::IsAddress);
  return *value;
}

MapReader MapReader::map(std::string_view key, bool isRequired) {
  const YAML::Node node = find(key);
  if (node.IsDefined())
    return {node, pathOf(key), *Errors};
  if (isRequired)
    reject(key, DocumentRule::IsPresent);
  return {YAML::Node{YAML::NodeType::Map}, pathOf(key), *Errors};
}

std::vector<MapReader> MapReader::list(std::string_view key, bool isRequired) {
  std::vector<MapReader> items;
  const YAML::Node node = find(key);
  if (!node.IsDefined()) {
    if (isRequired)
      reject(key, DocumentRule::IsPresent);
    return items;
  }
  if (!node.IsSequence()) {
    reject(key, DocumentRule::IsList);
    return items;
  }
  for (const auto &it : node)
    items.emplace_back(it, fmt::format("{}[{}]", pathOf(key), items.size()), *Errors);
  return items;
}

std::vector<std::string> MapReader::addresses(std::string_view key) {
  std::vector<std::string> items;
  const YAML::Node node = find(key);
  if (!node.IsDefined())
    return items;
  if (!node.IsSequence()) {
    reject(key, DocumentRule::IsList);
    return items;
  }
  for (const auto &it : node) {
    if (it.IsScalar() && isAddress(it.Scalar()))
      items.push_back(it.Scalar());
    else
      Errors->push_back(
          {lineOf(it), fmt::format("{}[{}]", pathOf(key), items.size()), DocumentRule::IsAddress});
  }
  return items;
}

void MapReader::rejectUnknownKeys() {
  for (const auto &it : Node)
    if (it.first.IsScalar() && !Known.contains(it.first.Scalar()))
      Errors->push_back(
          {lineOf(it.first), pathOf(shorten(it.first.Scalar())), DocumentRule::IsKnown});
}

void MapReader::reject(std::string_view key, DocumentRule rule) {
  Errors->push_back(errorAt(key, rule));
}

DocumentError MapReader::errorAt(std::string_view key, DocumentRule rule) {
  const YAML::Node node = find(key);
  return {lineOf(node.IsDefined() ? node : Node), pathOf(key), rule};
}

std::optional<std::string> MapReader::scalar(std::string_view key, bool isRequired) {
  const YAML::Node node = find(key);
  if (!node.IsDefined()) {
    if (isRequired)
      reject(key, DocumentRule::IsPresent);
    return std::nullopt;
  }
  if (!node.IsScalar()) {
    reject(key, DocumentRule::IsText);
    return std::nullopt;
  }
  return node.Scalar();
}

YAML::Node MapReader::find(std::string_view key) {
  Known.emplace(key);
  for (const auto &it : Node)
    if (it.first.IsScalar() && it.first.Scalar() == key)
      return it.second;
  return YAML::Node{YAML::NodeType::Undefined};
}

std::string MapReader::pathOf(std::string_view key) const {
  return Path.empty() ? std::string{key} : fmt::format("{}.{}", Path, key);
}

bool isAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const int port = parseNumber<int>(text.substr(colon + 1)).value_or(0);
  if (port < 1 || port > 65535)
    return false;
  const std::string host{text.substr(0, colon)};
  in6_addr buf{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &buf) == 1;
  return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

} // namespace wigeonlift
