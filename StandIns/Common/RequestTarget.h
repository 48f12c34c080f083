#pragma once

#include <LibBase/Text.h>

#include <map>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Path and query of a request target. The query is not percent-decoded: the stand-ins and their
/// callers use plain values only.
class RequestTarget {
public:
  explicit RequestTarget(std::string_view target);

  const std::string &path() const { return Path; }
  /// Value of a key of the query; empty when it is absent.
  std::string_view text(std::string_view key) const;
  /// Number under a key of the query; the fallback when it is absent or no number.
  template <typename Number> Number number(std::string_view key, Number fallback) const {
    return parseNumber<Number>(text(key)).value_or(fallback);
  }

private:
  std::string Path;
  std::map<std::string, std::string, std::less<>> Query;
};

} // namespace wigeonlift
