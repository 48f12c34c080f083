#pragma once

#include <LibHistory/HistoryEvent.h>

#include <absl/status/status.h>

#include <mutex>
#include <string>

namespace wigeonlift {

/// Appends events to a file. Any thread may write. Until a file is open, events are dropped, so
/// that programs need no special case for running without a history.
class HistoryWriter {
public:
  HistoryWriter() = default;
  ~HistoryWriter();
  HistoryWriter(const HistoryWriter &) = delete;
  HistoryWriter &operator=(const HistoryWriter &) = delete;

  /// Opens the file for appending. The writer name is that of the process.
  absl::Status open(const std::string &path, std::string writer);

  /// Writes an event that happens now.
  void write(EventData data);
  /// Writes an event that happened at the given time.
  void write(EventData data, TimePoint at);
  /// Hands all lines to the kernel, where they outlive the process.
  absl::Status flush();

private:
  absl::Status flushLocked();

  std::mutex Mutex;
  int File = -1;
  std::string Writer;
  TimePoint Incarnation{};
  std::uint64_t Sequence = 0;
  std::string Buffer;
};

} // namespace wigeonlift
