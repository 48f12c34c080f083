#include <StandIns/Common/RequestTarget.h>

namespace wigeonlift {

RequestTarget::RequestTarget(std::string_view target) {
  const std::size_t n = target.find('?');
  Path = target.substr(0, n);
  if (n == std::string_view::npos)
    return;
  for (const std::string_view field : split(target.substr(n + 1), '&')) {
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos)
      Query.emplace(field.substr(0, equals), field.substr(equals + 1));
  }
}

std::string_view RequestTarget::text(std::string_view key) const {
  const auto it = Query.find(key);
  return it == Query.end() ? std::string_view{} : std::string_view{it->second};
}

} // namespace wigeonlift
