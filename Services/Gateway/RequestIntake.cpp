#include "RequestIntake.h"

#include <platform/Platform.h>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Callers without a deadline of their own on a route without a timeout.
constexpr Duration DefaultDeadline = std::chrono::seconds{30};
// The way of the answer to the caller.
constexpr Duration AnswerWay = std::chrono::milliseconds{10};
// Opening a connection and sending the request, before the request arrives here.
constexpr Duration RequestWay = std::chrono::milliseconds{24};
// Other VMs take the request at once.
constexpr Duration StoppingRetry = std::chrono::milliseconds{1};
constexpr Duration NoPlanRetry = std::chrono::milliseconds{300};
// Bodies that fill the memory are on their way to upstreams.
constexpr Duration NoMemoryRetry = std::chrono::milliseconds{100};

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int BodyTooLarge = 413;
constexpr int HeadTooLarge = 431;
constexpr int Unavailable = 503;

Rejection stoppingRejection() { return {Unavailable, "stopping", StoppingRetry}; }

HttpRequestHead upstreamHead(const HttpRequestHead &request) {
  constexpr std::array<std::string_view, 2> own{platform::DeadlineRemainingHeader,
                                                platform::ExpectedUpstreamHeader};
  HttpRequestHead head;
  head.version(11);
  head.method_string(request.method_string());
  head.target(request.target());
  copyEndToEndFields(request, head, own);
  return head;
}

} // namespace

RequestIntake::RequestIntake(Gateway &gateway, CallerConnection &caller, Turn turn)
    : Owner(gateway), Caller(caller), WaitForTurn(std::move(turn)) {}

void RequestIntake::applyLimits() {
  if (!Owner.plans().current())
    return;
  const CallerLimits &limits = Owner.plans().current()->configuration().Limits;
  Caller.setLimits({.HeadBytes = static_cast<std::uint32_t>(limits.MaxHeaderBytes),
                    .Idle = limits.IdleTimeout,
                    .Head = limits.HeaderTimeout});
}

asio::awaitable<std::optional<PendingRequest>> RequestIntake::next() {
  applyLimits();
  const ReadResult result = co_await Caller.readHead();
  if (result == ReadResult::Closed)
    co_return std::nullopt;
  IsReceiving = true;
  auto pending = co_await receiveRest(result);
  IsReceiving = false;
  co_return pending;
}

asio::awaitable<std::optional<PendingRequest>> RequestIntake::receiveRest(ReadResult result) {
  ArrivedAt = bootTimeNow();
  if (result == ReadResult::Complete)
    co_await Owner.awaitConfiguration(
        Owner.startPlan().waitEnd(ArrivedAt, statedTimeLeft().value_or(DefaultDeadline)));
  std::optional<PendingRequest> pending;
  pending.emplace();
  pending->Method = Caller.head().method();
  pending->EndsConnection = result != ReadResult::Complete || isAmbiguous() || !Caller.keepsAlive();
  std::optional<Route> route;
  pending->Rejected = judgeHead(result, route);
  const bool isOpen =
      pending->Rejected ? co_await skipBody(*pending) : co_await receive(*route, *pending);
  if (!isOpen)
    pending.reset();
  else if (pending->Rejected)
    logRejection(*pending->Rejected);
  co_return pending;
}

std::optional<Rejection> RequestIntake::judgeHead(ReadResult result, std::optional<Route> &route) {
  if (result == ReadResult::TooLarge)
    return Rejection{.Status = HeadTooLarge, .Why = "head too large"};
  if (result != ReadResult::Complete || isAmbiguous())
    return Rejection{.Status = BadRequest, .Why = "malformed request"};
  if (headerValue(Caller.head(), platform::AttemptIdHeader).empty())
    return Rejection{.Status = BadRequest, .Why = "no attempt id"};
  if (Owner.stopPlan().refusesNew(ArrivedAt))
    return stoppingRejection();
  const auto configuration = Owner.plans().current();
  if (!configuration)
    return Rejection{Unavailable, "no configuration yet", NoPlanRetry};
  const Route *found =
      configuration->find(Caller.head()[http::field::host], Caller.head().target());
  if (!found)
    return Rejection{.Status = NotFound, .Why = "no route"};
  route = *found;
  return std::nullopt;
}

bool RequestIntake::isAmbiguous() const {
  const HttpRequestHead &head = Caller.head();
  if (head.version() < 11 || head.count(http::field::host) != 1 || !head.target().starts_with('/'))
    return true;
  const std::size_t lengths = head.count(http::field::content_length);
  const std::size_t codings = head.count(http::field::transfer_encoding);
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
    return true;
  return codings == 1 && !boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

std::optional<Duration> RequestIntake::statedTimeLeft() const {
  const auto leftMs =
      parseNumber<long long>(headerValue(Caller.head(), platform::DeadlineRemainingHeader));
  if (!leftMs || *leftMs < 0)
    return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds{*leftMs}, DefaultDeadline);
}

RequestSpec RequestIntake::specFor(const Route &route) {
  const auto stated = statedTimeLeft();
  const Duration left = stated.value_or(DefaultDeadline);
  const Duration waited =
      stated ? Owner.callerWait().waitedBefore(route.Name, left) : Duration::zero();
  const TimePoint deadline = ArrivedAt + std::min(left - AnswerWay, route.Timeout.value_or(left));
  // No answer comes after the timeout, so an objective beyond it says nothing of the work.
  const Duration objective = route.TargetLatency > Duration::zero() ? route.TargetLatency : left;
  const Duration target = std::min(objective, route.Timeout.value_or(objective));
  return {.Id = Owner.nextCallId(),
          .Class = route.Class,
          .Kind = Owner.kindOf(route),
          .ArrivedAt = ArrivedAt,
          .TargetLatency = target,
          .Objective = ArrivedAt + target - RequestWay - AnswerWay - waited,
          .Deadline = deadline,
          .Priority = route.Priority,
          .MaxAttempts = route.MaxAttempts,
          .IsReturning = waited > Duration::zero()};
}

asio::awaitable<bool> RequestIntake::receive(const Route &route, PendingRequest &pending) {
  RequestSpec spec = specFor(route);
  std::string callerAttempt{headerValue(Caller.head(), platform::AttemptIdHeader)};
  HttpRequestHead head = upstreamHead(Caller.head());
  std::string body;
  const bool isOpen = co_await receiveBody(body, pending);
  // The work of a request whose body took long might not end before this process.
  if (!pending.Rejected && Owner.stopPlan().refusesNew(bootTimeNow()))
    pending.Rejected = stoppingRejection();
  if (!isOpen || pending.Rejected)
    co_return isOpen;
  spec.BodyBytes = body.size();
  pending.Request = std::make_shared<ProxiedRequest>(Owner.context().get_executor(), spec,
                                                     std::move(head), std::move(body));
  pending.Request->CallerAttempt = std::move(callerAttempt);
  pending.Request->AnswerMemory = &Owner.heldAnswerMemory();
  pending.Request->Route = route.Name;
  pending.Request->Service = Owner.partFor(route);
  pending.Service = Owner.service(pending.Request->Service);
  if (!pending.Service)
    pending.Request->deliver(Failure{.Kind = FailureKind::NoUpstream, .RetryAfter = NoPlanRetry});
  co_return true;
}

asio::awaitable<bool> RequestIntake::receiveBody(std::string &body, PendingRequest &pending) {
  const std::size_t maxBody = maxBodyBytes();
  BodyMemory &memory = Owner.bodyMemory();
  const auto announced = static_cast<std::size_t>(std::max<std::int64_t>(0, Caller.bodyLength()));
  if (announced > maxBody || announced > memory.room()) {
    rejectBody(pending, announced <= maxBody);
    co_return true;
  }
  pending.Body = memory.reserve(announced);
  body.reserve(announced);
  if (Caller.awaitsContinue()) {
    if (!co_await WaitForTurn())
      co_return false;
    co_await Caller.writeContinue();
  }
  // The length of a body in chunks isn't known before its end.
  const MayHold mayHold = [&pending](std::size_t bytes) { return pending.Body.ensure(bytes); };
  const ReadResult read = co_await Caller.readBody(body, maxBody, mayHold);
  if (read == ReadResult::TooLarge)
    rejectBody(pending, body.size() <= maxBody);
  else
    pending.Body = memory.reserve(body.size());
  co_return read != ReadResult::Closed;
}

void RequestIntake::rejectBody(PendingRequest &pending, bool lacksMemory) {
  pending.EndsConnection = true;
  pending.Body = {};
  pending.Rejected = lacksMemory ? Rejection{Unavailable, "no memory for the body", NoMemoryRetry}
                                 : Rejection{.Status = BodyTooLarge, .Why = "body too large"};
}

asio::awaitable<bool> RequestIntake::skipBody(PendingRequest &pending) {
  if (pending.EndsConnection || !Caller.hasBody())
    co_return true;
  // A caller that waits to be told sends the body or not when it gets the answer.
  if (Caller.awaitsContinue()) {
    pending.EndsConnection = true;
    co_return true;
  }
  const ReadResult read = co_await Caller.dropBody(maxBodyBytes());
  pending.EndsConnection = read != ReadResult::Complete;
  co_return read != ReadResult::Closed;
}

void RequestIntake::logRejection(const Rejection &rejection) {
  ++Owner.counts().Rejected;
  const HttpRequestHead &request = Caller.head();
  Owner.log().didReject(headerValue(request, platform::AttemptIdHeader), request[http::field::host],
                        request.target(), rejection.Status, rejection.Why,
                        Owner.plans().current() ? Owner.plans().current()->configuration().Version
                                                : 0);
}

std::size_t RequestIntake::maxBodyBytes() const {
  return Owner.plans().current() ? Owner.plans().current()->configuration().Limits.MaxBodyBytes
                                 : CallerLimits{}.MaxBodyBytes;
}

} // namespace wigeonlift
