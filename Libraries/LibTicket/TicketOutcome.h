#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Size limit of a response, headers and body together, that is recorded to answer repeats of a
/// call.
inline constexpr std::size_t MaxRecordedResponseBytes = 64 * 1024;

/// A header of a recorded response.
struct RecordedHeader {
  std::string Name;
  std::string Value;
  bool operator==(const RecordedHeader &) const = default;
};

/// Outcome of a non-idempotent call: a response of the upstream, or a failure.
struct TicketOutcome {
  Execution Executed = Execution::Unknown;
  /// Set if the call ended without a relayed response. The members below are then unused.
  std::optional<FailureKind> FailureReason;
  int HttpStatus = 0;
  std::vector<RecordedHeader> Headers;
  std::string Body;
  /// Headers and body were dropped because of a size limit. The status is still that of the
  /// response.
  bool IsContentDropped = false;

  bool operator==(const TicketOutcome &) const = default;

  /// Creates the outcome of a call that failed or was refused.
  static TicketOutcome ofFailure(FailureKind kind, Execution executed);
  /// Returns the size of headers and body in bytes.
  std::size_t size() const;
  /// Removes all headers except those that describe the content or the resource (such as
  /// `Content-Type`, `ETag` and `Location`), so that a repeat doesn't get headers that apply only
  /// to the first connection or attempt.
  void keepContentHeaders();
  /// Removes headers and body and sets `IsContentDropped`.
  void dropContent();
};

} // namespace wigeonlift
