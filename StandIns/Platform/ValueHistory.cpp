#include <StandIns/Platform/ValueHistory.h>

#include <LibBase/Text.h>

#include <optional>
#include <string_view>
#include <utility>

namespace wigeonlift {

namespace {

/// Version that a catalogue states. The document may break other rules, so it isn't parsed whole.
std::optional<std::uint64_t> versionOf(std::string_view document) {
  constexpr std::string_view key = "version: ";
  for (const std::string_view line : split(document, '\n'))
    if (line.starts_with(key))
      return parseNumber<std::uint64_t>(line.substr(key.size()));
  return std::nullopt;
}

} // namespace

void ValueHistory::write(std::string text) {
  if (!Values.empty() && Values.back().Text == text)
    return;
  Values.push_back({Values.size() + 1, std::move(text)});
  if (!IsStale)
    Served = Values.size() - 1;
}

void ValueHistory::setStale(bool isStale) {
  IsStale = isStale;
  if (!isStale && !Values.empty())
    Served = Values.size() - 1;
}

bool ValueHistory::goBackTo(std::uint64_t version) {
  for (std::size_t n = Values.size(); n-- > 0;) {
    if (versionOf(Values[n].Text) == version) {
      Served = n;
      return true;
    }
  }
  return false;
}

const IndexedValue &ValueHistory::served() const {
  static const IndexedValue nothing;
  return Values.empty() ? nothing : Values[Served];
}

} // namespace wigeonlift
