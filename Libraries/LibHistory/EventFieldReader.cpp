#include <LibHistory/EventFieldReader.h>

#include <LibHistory/EventText.h>

namespace wigeonlift {

void EventFieldReader::operator()(std::string_view key, std::string &text) {
  const boost::json::value *value = find(key);
  if (!value || !value->is_string() || value->get_string().size() > MaxEventTextBytes) {
    HasFailed = true;
    return;
  }
  text.assign(value->get_string().data(), value->get_string().size());
}

void EventFieldReader::operator()(std::string_view key, std::uint64_t &number) {
  const boost::json::value *value = find(key);
  if (value && value->is_uint64())
    number = value->get_uint64();
  else if (value && value->is_int64() && value->get_int64() >= 0)
    number = static_cast<std::uint64_t>(value->get_int64());
  else
    HasFailed = true;
}

void EventFieldReader::operator()(std::string_view key, bool &flag) {
  const boost::json::value *value = find(key);
  if (value && value->is_bool())
    flag = value->get_bool();
  else
    HasFailed = true;
}

void EventFieldReader::operator()(std::string_view key, TimePoint &time) {
  // Half of the range, so that adding a limit to a time can't overflow.
  constexpr std::uint64_t maxTime = std::uint64_t{1} << 62;
  std::uint64_t count = 0;
  (*this)(key, count);
  HasFailed |= count > maxTime;
  time = TimePoint{Duration{static_cast<std::int64_t>(count > maxTime ? 0 : count)}};
}

void EventFieldReader::operator()(std::string_view key, std::optional<std::string> &text) {
  if (Object.contains({key.data(), key.size()}))
    (*this)(key, text.emplace());
}

const boost::json::value *EventFieldReader::find(std::string_view key) {
  const boost::json::value *value = Object.if_contains({key.data(), key.size()});
  if (value)
    ++FieldsRead;
  return value;
}

} // namespace wigeonlift
