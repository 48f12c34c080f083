#include <LibHistory/EventFieldWriter.h>

#include <LibHistory/EventText.h>

#include <fmt/format.h>

#include <iterator>

namespace wigeonlift {

void EventFieldWriter::operator()(std::string_view key, std::string_view text) {
  beginField(key);
  appendText(text.substr(0, MaxEventTextBytes));
}

void EventFieldWriter::operator()(std::string_view key, std::uint64_t number) {
  beginField(key);
  fmt::format_to(std::back_inserter(Line), "{}", number);
}

void EventFieldWriter::operator()(std::string_view key, bool value) {
  beginField(key);
  Line += value ? "true" : "false";
}

void EventFieldWriter::operator()(std::string_view key, TimePoint time) {
  beginField(key);
  fmt::format_to(std::back_inserter(Line), "{}", time.time_since_epoch().count());
}

void EventFieldWriter::operator()(std::string_view key, const std::optional<std::string> &text) {
  if (text)
    (*this)(key, *text);
}

void EventFieldWriter::json(std::string_view key, std::string_view value) {
  beginField(key);
  Line += value;
}

std::string EventFieldWriter::finish() {
  Line += '}';
  return std::move(Line);
}

void EventFieldWriter::beginField(std::string_view key) {
  Line += Line.empty() ? '{' : ',';
  appendText(key);
  Line += ':';
}

void EventFieldWriter::appendText(std::string_view text) {
  Line += '"';
  for (const char c : text) {
    // Bytes outside of ASCII are replaced: a cut or foreign encoding would make the line invalid.
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
      fmt::format_to(std::back_inserter(Line), "\\{}", c);
    else if (byte < 0x20)
      fmt::format_to(std::back_inserter(Line), "\\u{:04x}", byte);
    else
      Line += byte < 0x80 ? c : '?';
  }
  Line += '"';
}

} // namespace wigeonlift
