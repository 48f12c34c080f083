#include <LibTicket/TicketOutcome.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace wigeonlift {

namespace {

constexpr std::array<std::string_view, 7> ContentHeaderNames{
    "content-type", "content-encoding", "content-language", "content-location",
    "etag",         "last-modified",    "location"};

bool isSameHeaderName(std::string_view name, std::string_view lowerCaseName) {
  return std::ranges::equal(name, lowerCaseName, {}, [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
}

bool isContentHeader(const RecordedHeader &header) {
  return std::ranges::any_of(
      ContentHeaderNames, [&](std::string_view it) { return isSameHeaderName(header.Name, it); });
}

} // namespace

TicketOutcome TicketOutcome::ofFailure(FailureKind kind, Execution executed) {
  TicketOutcome outcome;
  outcome.Executed = executed;
  outcome.FailureReason = kind;
  return outcome;
}

std::size_t TicketOutcome::size() const {
  std::size_t bytes = Body.size();
  for (const RecordedHeader &it : Headers)
    bytes += it.Name.size() + it.Value.size();
  return bytes;
}

void TicketOutcome::keepContentHeaders() {
  std::erase_if(Headers, [](const RecordedHeader &it) { return !isContentHeader(it); });
}

void TicketOutcome::dropContent() {
  Headers.clear();
  Body.clear();
  Body.shrink_to_fit();
  IsContentDropped = true;
}

} // namespace wigeonlift
