#pragma once

#include <LibHistory/History.h>

#include <absl/status/status.h>

#include <cstdint>
#include <iosfwd>
#include <string>

namespace wigeonlift {

/// Reads the files of a run. A history with lost lines is refused, since a violation could be
/// among them; only the last line of a file may be cut, as when its writer was killed.
class HistoryReader {
public:
  /// Reads one file. InvalidArgument names the first line that can't be read.
  absl::Status addFile(const std::string &path);
  /// Reads one stream; the name is for error messages.
  absl::Status addStream(std::istream &stream, const std::string &name);

  /// The events in order of time, once all files have been added. InvalidArgument when lines of a
  /// writer are missing or doubled.
  absl::Status finish(History &history);

  /// Lines that were cut off at the end of a file.
  std::uint64_t cutLines() const { return CutLines; }

private:
  History Read;
  std::uint64_t CutLines = 0;
};

} // namespace wigeonlift
