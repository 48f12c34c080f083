#include <LibHistory/HistoryReader.h>

#include <LibHistory/EventText.h>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <istream>
#include <tuple>

namespace wigeonlift {

namespace {

absl::Status findGaps(const History &history) {
  using Position = std::tuple<std::string_view, TimePoint, std::uint64_t>;
  std::vector<Position> positions;
  positions.reserve(history.Events.size());
  for (const HistoryEvent &it : history.Events)
    positions.emplace_back(it.Writer, it.Incarnation, it.Sequence);
  std::ranges::sort(positions);
  const Position *previous = nullptr;
  for (const Position &it : positions) {
    const auto &[writer, incarnation, sequence] = it;
    const bool isSameWriter =
        previous && std::get<0>(*previous) == writer && std::get<1>(*previous) == incarnation;
    if (sequence != (isSameWriter ? std::get<2>(*previous) + 1 : 0))
      return absl::InvalidArgumentError(fmt::format(
          "events of {} before or at sequence {} are missing or doubled", writer, sequence));
    previous = &it;
  }
  return absl::OkStatus();
}

} // namespace

absl::Status HistoryReader::addFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return absl::NotFoundError(fmt::format("{}: the file can't be read", path));
  return addStream(file, path);
}

absl::Status HistoryReader::addStream(std::istream &stream, const std::string &name) {
  std::uint64_t lineNumber = 0;
  for (std::string line; std::getline(stream, line);) {
    ++lineNumber;
    std::optional<HistoryEvent> event = eventFromLine(line);
    if (event) {
      Read.Events.push_back(std::move(*event));
      continue;
    }
    // getline reaches the end only when the line end is missing.
    if (!stream.eof())
      return absl::InvalidArgumentError(fmt::format("{}:{}: not an event", name, lineNumber));
    ++CutLines;
  }
  if (stream.bad())
    return absl::DataLossError(fmt::format("{}: reading failed", name));
  return absl::OkStatus();
}

absl::Status HistoryReader::finish(History &history) {
  Read.sort();
  absl::Status status = findGaps(Read);
  if (status.ok())
    history = std::move(Read);
  return status;
}

} // namespace wigeonlift
