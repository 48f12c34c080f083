#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonlift {

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Name and value of a field in a log line.
struct LogField {
  std::string_view Name;
  std::string Value;
  /// Written as a string also if it looks like a number.
  bool IsText = false;
};

/// Starts writing log lines to standard error in JSON. Lines below the level (`debug`, `info`,
/// `warn` or `error`) are discarded.
void startLog(std::string_view level);

/// Writes a log line with the message and the fields. Does nothing before `startLog` is called.
void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace wigeonlift
