#include <LibTelemetry/EventLog.h>

#include <LibBase/Text.h>

#include <fmt/format.h>

#include <chrono>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

namespace wigeonlift {

namespace {

// Holds about one second of log output under heavy load. If more is pending, the reader has
// stopped. `write` accepts a line while the buffer is below this limit, so the buffer can exceed it
// by that line and the report of dropped lines before it.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
// Part of the buffer that routine lines must leave free for important lines, such as failures.
constexpr std::size_t ImportantReserveBytes = 64 * 1024;
// `write` flushes the buffer when it reaches this size. Fewer, larger writes cost less CPU time.
constexpr std::size_t FlushThresholdBytes = 16 * 1024;

void appendJsonString(std::string &out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(c));
    } else {
      out += c;
    }
  }
  out += '"';
}

bool isDigits(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Whether a text is a number in JSON, without an exponent.
bool isJsonNumber(std::string_view text) {
  if (text.starts_with('-'))
    text.remove_prefix(1);
  const std::size_t point = text.find('.');
  const std::string_view whole = text.substr(0, point);
  const bool hasLeadingZero = whole.size() > 1 && whole.front() == '0';
  return isDigits(whole) && !hasLeadingZero &&
         (point == std::string_view::npos || isDigits(text.substr(point + 1)));
}

void appendJsonValue(std::string &out, std::string_view value) {
  if (isJsonNumber(value))
    out += value;
  else
    appendJsonString(out, value);
}

} // namespace

EventLog::EventLog(int descriptor, std::string processName)
    : Descriptor(descriptor), ProcessName(std::move(processName)) {
  const int flags = ::fcntl(Descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(Descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::write(Priority priority, std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (!hasRoom(priority))
    flush();
  if (!hasRoom(priority)) {
    ++Dropped;
    ++UnreportedDrops;
    return;
  }
  if (const auto drops = std::exchange(UnreportedDrops, 0); drops > 0)
    append("lines_dropped", {{"count", fmt::format("{}", drops)}});
  append(event, fields);
  if (Buffer.size() >= FlushThresholdBytes)
    flush();
}

void EventLog::flush() {
  while (!Buffer.empty()) {
    const ssize_t n = ::write(Descriptor, Buffer.data(), Buffer.size());
    if (n <= 0)
      return;
    Buffer.erase(0, static_cast<std::size_t>(n));
  }
}

bool EventLog::hasRoom(Priority priority) const {
  const std::size_t limit =
      priority == Priority::Important ? MaxBufferedBytes : MaxBufferedBytes - ImportantReserveBytes;
  return Buffer.size() < limit;
}

void EventLog::append(std::string_view event, std::initializer_list<LogField> fields) {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
  fmt::format_to(std::back_inserter(Buffer), R"({{"t":{}.{:06},"p":)", us / 1'000'000,
                 us % 1'000'000);
  appendJsonString(Buffer, ProcessName);
  Buffer += R"(,"ev":)";
  appendJsonString(Buffer, event);
  for (const auto &[name, value, isText] : fields) {
    Buffer += ',';
    appendJsonString(Buffer, name);
    Buffer += ':';
    if (isText)
      appendJsonString(Buffer, value);
    else
      appendJsonValue(Buffer, value);
  }
  Buffer += "}\n";
  ++Appended;
}

} // namespace wigeonlift
