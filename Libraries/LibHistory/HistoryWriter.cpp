#include <LibHistory/HistoryWriter.h>

#include <LibHistory/EventText.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace wigeonlift {

namespace {

constexpr std::size_t FlushBytes = 64 * 1024;
constexpr mode_t FileMode = 0644;

/// Events without which a violation could go unnoticed when their process is killed right after.
bool mustOutliveProcess(const EventData &data) {
  return !std::holds_alternative<CallEvent>(data) && !std::holds_alternative<AnswerEvent>(data);
}

} // namespace

HistoryWriter::~HistoryWriter() {
  if (File < 0)
    return;
  (void)flush();
  ::close(File);
}

absl::Status HistoryWriter::open(const std::string &path, std::string writer) {
  const std::lock_guard lock(Mutex);
  if (File >= 0)
    return absl::FailedPreconditionError("the history is open already");
  File = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
  if (File < 0)
    return absl::ErrnoToStatus(errno, path);
  Writer = std::move(writer);
  Incarnation = std::chrono::steady_clock::now();
  return absl::OkStatus();
}

void HistoryWriter::write(EventData data) {
  write(std::move(data), std::chrono::steady_clock::now());
}

void HistoryWriter::write(EventData data, TimePoint at) {
  const std::lock_guard lock(Mutex);
  if (File < 0)
    return;
  const bool flushesNow = mustOutliveProcess(data);
  const HistoryEvent event{at, Writer, Incarnation, Sequence++, std::move(data)};
  Buffer += toLine(event);
  Buffer += '\n';
  // A failed write loses the lines; the checker notices the gap in the sequence.
  if (flushesNow || Buffer.size() >= FlushBytes)
    (void)flushLocked();
}

absl::Status HistoryWriter::flush() {
  const std::lock_guard lock(Mutex);
  return flushLocked();
}

absl::Status HistoryWriter::flushLocked() {
  std::size_t done = 0;
  while (File >= 0 && done < Buffer.size()) {
    const ssize_t count = ::write(File, Buffer.data() + done, Buffer.size() - done);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0) {
      Buffer.clear();
      return absl::ErrnoToStatus(errno, "write of the history");
    }
    done += static_cast<std::size_t>(count);
  }
  Buffer.clear();
  return absl::OkStatus();
}

} // namespace wigeonlift
