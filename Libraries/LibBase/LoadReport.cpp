#include <LibBase/LoadReport.h>

#include <LibBase/Text.h>

#include <fmt/format.h>

#include <array>
#include <utility>

namespace wigeonlift {

namespace {

constexpr std::array<std::pair<std::string_view, UpstreamState>, 3> StateNames{
    {{"ready", UpstreamState::Ready},
     {"warming", UpstreamState::Warming},
     {"draining", UpstreamState::Draining}}};

constexpr int MaxCount = 1'000'000;
constexpr unsigned AllFields = 0b1111;

bool parseCount(std::string_view text, int &count) {
  count = parseNumber<int>(text).value_or(-1);
  return count >= 0 && count <= MaxCount;
}

bool parseState(std::string_view text, UpstreamState &state) {
  for (const auto &[name, value] : StateNames) {
    if (name == text) {
      state = value;
      return true;
    }
  }
  return false;
}

/// Returns the bit of the parsed field, or 0 when the field is not valid.
unsigned parseField(std::string_view key, std::string_view value, LoadReport &report) {
  if (key == "in_flight")
    return parseCount(value, report.InFlight) ? 0b0001 : 0;
  if (key == "queued")
    return parseCount(value, report.Queued) ? 0b0010 : 0;
  if (key == "slots")
    return parseCount(value, report.Slots) ? 0b0100 : 0;
  if (key == "state")
    return parseState(value, report.State) ? 0b1000 : 0;
  return 0;
}

} // namespace

std::string LoadReport::toHeader() const {
  return fmt::format("in_flight={};queued={};slots={};state={}", InFlight, Queued, Slots,
                     StateNames[static_cast<std::size_t>(State)].first);
}

std::optional<LoadReport> LoadReport::fromHeader(std::string_view text) {
  LoadReport report;
  unsigned seen = 0;
  for (const std::string_view field : split(text, ';')) {
    const std::size_t n = field.find('=');
    if (n == std::string_view::npos)
      return std::nullopt;
    const unsigned bit = parseField(field.substr(0, n), field.substr(n + 1), report);
    if (bit == 0 || (seen & bit) != 0)
      return std::nullopt;
    seen |= bit;
  }
  if (seen != AllFields)
    return std::nullopt;
  return report;
}

} // namespace wigeonlift
