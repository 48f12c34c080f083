#pragma once

#include <LibTelemetry/Log.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Writes JSON lines to a file descriptor without blocking on a slow reader. Lines are dropped
/// while the buffer is full. The next line that is accepted is preceded by a line with the number
/// of dropped lines.
class EventLog {
public:
  /// Routine lines are dropped while the buffer still has room for important ones.
  enum class Priority : std::uint8_t { Routine, Important };

  /// Switches the file descriptor to non-blocking mode.
  EventLog(int descriptor, std::string processName);

  /// Appends a line with the wall-clock time, the process name, the event and the fields. Values in
  /// decimal notation are written as JSON numbers unless the field is a text or they start with a
  /// redundant zero, as `007` does. All others are written as strings. `-05`, `.5` and `5.` are
  /// also written as numbers although JSON doesn't allow them.
  void write(Priority priority, std::string_view event, std::initializer_list<LogField> fields);
  /// Writes as much of the buffer to the file descriptor as it accepts without blocking.
  void flush();
  std::uint64_t dropped() const { return Dropped; }
  /// Returns the number of lines added to the buffer, including those that report dropped lines.
  std::uint64_t appended() const { return Appended; }

private:
  bool hasRoom(Priority priority) const;
  void append(std::string_view event, std::initializer_list<LogField> fields);

  int Descriptor;
  std::string ProcessName;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t UnreportedDrops = 0;
  std::uint64_t Appended = 0;
};

} // namespace wigeonlift
