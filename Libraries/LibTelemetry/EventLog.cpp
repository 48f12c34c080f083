#include <LibTelemetry/EventLog.h>

#include <LibBase/Text.h>

#include <fmt/format.h>

#include <chrono>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

namespace wigeonlift {

namespace {

// What a second of heavy load writes; more than that waits for a reader that has stopped.
constexpr std::size_t BufferBytes = 256 * 1024;
// Routine lines leave this much to lines about failures.
constexpr std::size_t ReservedBytes = 64 * 1024;
// Fewer, larger writes cost less processor time.
constexpr std::size_t FlushBytes = 16 * 1024;

void appendText(std::string &out, std::string_view text) {
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

void appendValue(std::string &out, std::string_view value) {
  const bool isPlain = !value.empty() &&
                       (value == "0" || value.front() != '0' || value.starts_with("0.")) &&
                       value.find_first_not_of("0123456789.-") == std::string_view::npos;
  if (isPlain && parseNumber<double>(value))
    out += value;
  else
    appendText(out, value);
}

} // namespace

EventLog::EventLog(int descriptor, std::string process)
    : Descriptor(descriptor), Process(std::move(process)) {
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
  if (Buffer.size() >= FlushBytes)
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
      priority == Priority::Important ? BufferBytes : BufferBytes - ReservedBytes;
  return Buffer.size() < limit;
}

void EventLog::append(std::string_view event, std::initializer_list<LogField> fields) {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
  fmt::format_to(std::back_inserter(Buffer), R"({{"t":{}.{:06},"p":)", us / 1'000'000,
                 us % 1'000'000);
  appendText(Buffer, Process);
  Buffer += R"(,"ev":)";
  appendText(Buffer, event);
  for (const auto &[name, value] : fields) {
    Buffer += ',';
    appendText(Buffer, name);
    Buffer += ':';
    appendValue(Buffer, value);
  }
  Buffer += "}\n";
  ++Written;
}

} // namespace wigeonlift
