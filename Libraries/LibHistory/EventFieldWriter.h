#pragma once

#include <LibHistory/EventNames.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace wigeonlift {

/// Appends fields to a JSON object.
class EventFieldWriter {
public:
  void operator()(std::string_view key, std::string_view text);
  void operator()(std::string_view key, std::uint64_t number);
  void operator()(std::string_view key, bool value);
  void operator()(std::string_view key, TimePoint time);
  /// An absent value has no field.
  void operator()(std::string_view key, const std::optional<std::string> &text);
  // Without these, a literal or a string would convert to bool.
  void operator()(std::string_view key, const std::string &text) {
    (*this)(key, std::string_view{text});
  }
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void operator()(std::string_view key, Enum value) { (*this)(key, eventName(value)); }

  /// Adds a value that is JSON already.
  void json(std::string_view key, std::string_view value);

  /// The whole object.
  std::string finish();

private:
  void beginField(std::string_view key);
  void appendText(std::string_view text);

  std::string Line;
};

} // namespace wigeonlift
