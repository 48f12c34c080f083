#include "EntryHeaders.h"

#include <LibHttp/LibHttp.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace wigeonlift {

namespace {

namespace http = boost::beast::http;

/// Fields between a caller or an upstream and this daemon alone.
constexpr std::array OwnRequestFields{TicketHeader, ForwardedHeader, DeadlineHeader,
                                      ExtraAttemptsHeader};
constexpr std::array OwnResponseFields{ExecutionHeader, TicketHeader, LoadHeader, RefusedHeader};

HttpResponseHead statusLine(const HttpResponseHead &response) {
  HttpResponseHead head;
  head.version(11);
  head.result(response.result_int());
  head.reason(response.reason());
  return head;
}

} // namespace

HttpRequestHead upstreamHead(const HttpRequestHead &request) {
  HttpRequestHead head;
  head.version(11);
  head.method_string(request.method_string());
  head.target(request.target());
  copyEndToEndFields(request, head, OwnRequestFields);
  return head;
}

HttpResponseHead callerHead(const HttpResponseHead &response, Execution executed) {
  HttpResponseHead head = statusLine(response);
  copyEndToEndFields(response, head, OwnResponseFields);
  head.set(ExecutionHeader, toString(executed));
  return head;
}

HttpResponseHead endToEndHead(const HttpResponseHead &response) {
  HttpResponseHead head = statusLine(response);
  copyEndToEndFields(response, head, {});
  return head;
}

HttpResponseHead ownHead(int status, Execution executed) {
  HttpResponseHead head;
  head.version(11);
  head.result(static_cast<unsigned>(status));
  head.set(http::field::content_type, "application/json");
  head.set(ExecutionHeader, toString(executed));
  return head;
}

HttpResponseHead failureHead(const Failure &failure) {
  HttpResponseHead head = ownHead(httpStatus(failure.Kind), failure.Executed);
  head.set(FailureHeader, toString(failure.Kind));
  if (failure.RetryAfter > Duration{})
    head.set(RetryAfterHeader,
             fmt::format("{}", std::max(1LL, toMilliseconds(failure.RetryAfter))));
  return head;
}

std::string failureBody(const Failure &failure) {
  return fmt::format("{{\"failure\":\"{}\",\"execution\":\"{}\"}}\n", toString(failure.Kind),
                     toString(failure.Executed));
}

} // namespace wigeonlift
