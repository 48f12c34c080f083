#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Largest response, headers and body together, that is kept for repeats of a call.
inline constexpr std::size_t MaxRecordedResponseBytes = 64 * 1024;

/// A header of a recorded response.
struct RecordedHeader {
  std::string Name;
  std::string Value;
  bool operator==(const RecordedHeader &) const = default;
};

/// How a non-idempotent call ended: a response of the upstream, or a failure.
struct TicketOutcome {
  Execution Executed = Execution::Unknown;
  /// Set when the call ended without a relayed response; the remaining members are then unused.
  std::optional<FailureKind> FailureReason;
  int HttpStatus = 0;
  std::vector<RecordedHeader> Headers;
  std::string Body;
  /// The response was too large to keep: headers and body are empty, the status is the real one.
  bool IsContentDropped = false;

  bool operator==(const TicketOutcome &) const = default;

  /// Outcome of a call that failed or was refused.
  static TicketOutcome ofFailure(FailureKind kind, Execution executed);
  /// Bytes of headers and body.
  std::size_t size() const;
  /// Keeps only the headers that describe the content, so that no header of the connection or of
  /// the first attempt is repeated.
  void keepContentHeaders();
  /// Drops headers and body and marks them as too large.
  void dropContent();
};

} // namespace wigeonlift
