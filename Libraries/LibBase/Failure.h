#pragma once

#include <LibBase/Time.h>

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace wigeonlift {

/// What an answer says about the effect of a call.
enum class Execution : std::uint8_t { Run, NotRun, Unknown };

/// Value of the `Wigeonlift-Execution` header: `run`, `not-run` or `unknown`.
std::string_view toString(Execution execution);

/// Every way in which a call can be refused or fail.
enum class FailureKind : std::uint8_t {
  BadRequest,          ///< The request can't be understood.
  NoEntry,             ///< No catalogue entry matches the request.
  BodyTooLarge,        ///< The request body is over the limit.
  TicketRequired,      ///< A non-idempotent call came without a ticket.
  TicketInvalid,       ///< The ticket is malformed or was not issued by the named incarnation.
  TicketMismatch,      ///< The ticket was first used with another request.
  TicketExpired,       ///< The outcome is no longer kept.
  TicketOwnerGone,     ///< The incarnation that issued the ticket can't be reached.
  TicketCapacity,      ///< No further tickets can be issued at present.
  RateLimited,         ///< The entry's limit of calls a second is reached.
  InFlightLimited,     ///< The entry's limit of running calls is reached.
  QueueFull,           ///< The entry's queue is full.
  Overloaded,          ///< The call could not have started before its deadline.
  DeadlineExceeded,    ///< The deadline passed.
  NoUpstream,          ///< No upstream is known to take new work.
  UpstreamRefused,     ///< Each upstream that was asked refused this very request.
  UpstreamUnreachable, ///< No connection could be opened.
  ConnectionLost,      ///< The connection broke after the request was sent.
  UpstreamError,       ///< The upstream answered with a server error.
  CallerLeft,          ///< The caller closed its connection.
  ShuttingDown,        ///< The entry daemon is stopping.
  NotSynchronized,     ///< The entry daemon has no catalogue in force yet.
  Internal,            ///< A fault of the entry daemon itself.
};

/// Machine-readable name, the value of the `Wigeonlift-Failure` header.
std::string_view toString(FailureKind kind);
/// HTTP status that tells a caller of this failure.
int httpStatus(FailureKind kind);
/// Nearest status code of absl.
absl::StatusCode statusCode(FailureKind kind);

/// A refusal or failure of one call.
struct Failure {
  FailureKind Kind{};
  Execution Executed = Execution::NotRun;
  /// When asking again is worth it; zero when no time can be given.
  Duration RetryAfter{};

  bool operator==(const Failure &) const = default;
};

/// Converts a failure for interfaces that use absl::Status.
absl::Status toStatus(const Failure &failure);

} // namespace wigeonlift
