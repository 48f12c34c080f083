#include <LibBase/Text.h>

namespace wigeonlift {

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t n = text.find(separator);
    parts.push_back(text.substr(0, n));
    if (n == std::string_view::npos)
      return parts;
    text.remove_prefix(n + 1);
  }
}

} // namespace wigeonlift
