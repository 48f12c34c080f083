#pragma once

#include <LibTelemetry/Log.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Writes JSON lines to a descriptor without ever waiting for its reader. Lines that find no room
/// in the buffer are dropped, and their number is logged as soon as there is room.
class EventLog {
public:
  /// How much a line matters; lines that matter less leave room for those that matter more.
  enum class Priority : std::uint8_t { Routine, Important };

  /// The descriptor is switched to non-blocking mode.
  EventLog(int descriptor, std::string process);

  /// Writes one line: the time of day, the process, the event and the fields. Values that read as
  /// numbers are written as numbers.
  void write(Priority priority, std::string_view event, std::initializer_list<LogField> fields);
  /// Hands the buffer to the descriptor, as far as it takes it.
  void flush();
  std::uint64_t dropped() const { return Dropped; }
  std::uint64_t written() const { return Written; }

private:
  bool hasRoom(Priority priority) const;
  void append(std::string_view event, std::initializer_list<LogField> fields);

  int Descriptor;
  std::string Process;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t UnreportedDrops = 0;
  std::uint64_t Written = 0;
};

} // namespace wigeonlift
