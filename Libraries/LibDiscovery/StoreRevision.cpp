#include <LibDiscovery/StoreRevision.h>

#include <LibBase/LibBase.h>

namespace wigeonlift {

std::string StoreRevision::text() const {
  const std::string number = std::to_string(Number);
  return Era == 0 ? number : std::to_string(Era) + '.' + number;
}

std::optional<StoreRevision> StoreRevision::parse(std::string_view text) {
  const auto dot = text.find('.');
  const auto number =
      parseNumber<std::uint64_t>(dot == std::string_view::npos ? text : text.substr(dot + 1));
  const auto era = dot == std::string_view::npos ? std::optional<std::uint64_t>{0}
                                                 : parseNumber<std::uint64_t>(text.substr(0, dot));
  if (!number || !era)
    return std::nullopt;
  return StoreRevision{*era, *number};
}

} // namespace wigeonlift
