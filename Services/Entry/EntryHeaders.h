#pragma once

#include <LibBase/LibBase.h>
#include <LibHttp/EndToEndFields.h>
#include <LibHttp/HttpMessage.h>

#include <string>
#include <string_view>

namespace wigeonlift {

inline constexpr std::string_view ExecutionHeader = "Wigeonlift-Execution";
inline constexpr std::string_view FailureHeader = "Wigeonlift-Failure";
inline constexpr std::string_view RetryAfterHeader = "Retry-After-Ms";
inline constexpr std::string_view TicketHeader = "Wigeonlift-Ticket";
inline constexpr std::string_view ForwardedHeader = "Wigeonlift-Forwarded";
inline constexpr std::string_view DeadlineHeader = "Wigeonlift-Deadline-Ms";
inline constexpr std::string_view ExtraAttemptsHeader = "Wigeonlift-Extra-Attempts";
inline constexpr std::string_view LoadHeader = "Wigeonlift-Load";
inline constexpr std::string_view RefusedHeader = "Wigeonlift-Refused";

/// Copies the fields of a request that are meant for the upstream: neither those of one connection
/// nor those that wigeonlift sets itself.
HttpRequestHead upstreamHead(const HttpRequestHead &request);
/// Copies the fields of an upstream's response that are meant for the caller and states what is
/// known about the effect.
HttpResponseHead callerHead(const HttpResponseHead &response, Execution executed);

/// Copies the fields of a response of another entry VM, its statement about the effect included.
HttpResponseHead endToEndHead(const HttpResponseHead &response);

/// Head of an answer that the entry daemon makes itself.
HttpResponseHead ownHead(int status, Execution executed);
/// Head and body of a refusal or failure.
HttpResponseHead failureHead(const Failure &failure);
std::string failureBody(const Failure &failure);

} // namespace wigeonlift
