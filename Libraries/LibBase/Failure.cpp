#include <LibBase/Failure.h>

#include <fmt/format.h>

#include <array>
#include <cstddef>

namespace wigeonlift {

namespace {

struct FailureTraits {
  FailureKind Kind;
  std::string_view Name;
  int Http;
  absl::StatusCode Code;
};

constexpr std::array Traits{
    FailureTraits{FailureKind::BadRequest, "bad-request", 400, absl::StatusCode::kInvalidArgument},
    FailureTraits{FailureKind::NoEntry, "no-entry", 404, absl::StatusCode::kNotFound},
    FailureTraits{FailureKind::BodyTooLarge, "body-too-large", 413,
                  absl::StatusCode::kInvalidArgument},
    FailureTraits{FailureKind::TicketRequired, "ticket-required", 428,
                  absl::StatusCode::kFailedPrecondition},
    FailureTraits{FailureKind::TicketInvalid, "ticket-invalid", 400,
                  absl::StatusCode::kInvalidArgument},
    FailureTraits{FailureKind::TicketMismatch, "ticket-mismatch", 422,
                  absl::StatusCode::kInvalidArgument},
    FailureTraits{FailureKind::TicketExpired, "ticket-expired", 410, absl::StatusCode::kDataLoss},
    FailureTraits{FailureKind::TicketOwnerGone, "ticket-owner-gone", 502,
                  absl::StatusCode::kDataLoss},
    FailureTraits{FailureKind::TicketCapacity, "ticket-capacity", 503,
                  absl::StatusCode::kResourceExhausted},
    FailureTraits{FailureKind::RateLimited, "rate-limited", 429,
                  absl::StatusCode::kResourceExhausted},
    FailureTraits{FailureKind::InFlightLimited, "in-flight-limited", 429,
                  absl::StatusCode::kResourceExhausted},
    FailureTraits{FailureKind::QueueFull, "queue-full", 503, absl::StatusCode::kResourceExhausted},
    FailureTraits{FailureKind::Overloaded, "overloaded", 503, absl::StatusCode::kResourceExhausted},
    FailureTraits{FailureKind::DeadlineExceeded, "deadline-exceeded", 504,
                  absl::StatusCode::kDeadlineExceeded},
    FailureTraits{FailureKind::NoUpstream, "no-upstream", 503, absl::StatusCode::kUnavailable},
    FailureTraits{FailureKind::UpstreamRefused, "upstream-refused", 503,
                  absl::StatusCode::kUnavailable},
    FailureTraits{FailureKind::UpstreamUnreachable, "upstream-unreachable", 502,
                  absl::StatusCode::kUnavailable},
    FailureTraits{FailureKind::ConnectionLost, "connection-lost", 502,
                  absl::StatusCode::kUnavailable},
    FailureTraits{FailureKind::UpstreamError, "upstream-error", 502, absl::StatusCode::kInternal},
    FailureTraits{FailureKind::CallerLeft, "caller-left", 499, absl::StatusCode::kCancelled},
    FailureTraits{FailureKind::ShuttingDown, "shutting-down", 503, absl::StatusCode::kUnavailable},
    FailureTraits{FailureKind::NotSynchronized, "not-synchronized", 503,
                  absl::StatusCode::kUnavailable},
    FailureTraits{FailureKind::Internal, "internal", 500, absl::StatusCode::kInternal},
};

const FailureTraits &traits(FailureKind kind) { return Traits[static_cast<std::size_t>(kind)]; }

constexpr bool isInEnumOrder() {
  for (std::size_t n = 0; n < Traits.size(); ++n)
    if (static_cast<std::size_t>(Traits[n].Kind) != n)
      return false;
  return true;
}
static_assert(isInEnumOrder(), "the traits are looked up by the value of the enumerator");

} // namespace

std::string_view toString(Execution execution) {
  switch (execution) {
  case Execution::Run:
    return "run";
  case Execution::NotRun:
    return "not-run";
  case Execution::Unknown:
    return "unknown";
  }
  return "";
}

std::string_view toString(FailureKind kind) { return traits(kind).Name; }

int httpStatus(FailureKind kind) { return traits(kind).Http; }

absl::StatusCode statusCode(FailureKind kind) { return traits(kind).Code; }

absl::Status toStatus(const Failure &failure) {
  return absl::Status(statusCode(failure.Kind),
                      fmt::format("{} ({})", toString(failure.Kind), toString(failure.Executed)));
}

} // namespace wigeonlift
