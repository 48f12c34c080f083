#pragma once

#include <LibHistory/EventNames.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace wigeonlift {

/// Reads fields of a JSON object. The first missing or unfit value makes the result incomplete.
class EventFieldReader {
public:
  explicit EventFieldReader(const boost::json::object &object) : Object(object) {}

  void operator()(std::string_view key, std::string &text);
  void operator()(std::string_view key, std::uint64_t &number);
  void operator()(std::string_view key, bool &value);
  void operator()(std::string_view key, TimePoint &time);
  void operator()(std::string_view key, std::optional<std::string> &text);
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void operator()(std::string_view key, Enum &value) {
    std::string name;
    (*this)(key, name);
    const std::optional<Enum> found = eventValue<Enum>(name);
    HasFailed |= !found;
    value = found.value_or(Enum{});
  }

  /// All fields were present and fit, and the object has no others.
  bool isComplete() const { return !HasFailed && FieldsRead == Object.size(); }

private:
  const boost::json::value *find(std::string_view key);

  const boost::json::object &Object;
  std::size_t FieldsRead = 0;
  bool HasFailed = false;
};

} // namespace wigeonlift
