#include "CallerSession.h"

#include <platform/Platform.h>

#include <boost/beast/core/string.hpp>

#include <fmt/format.h>

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
constexpr std::size_t RelayBytes = 64 * 1024;

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int BodyTooLarge = 413;
constexpr int HeadTooLarge = 431;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Only a request that was certainly not run gets a status that says so.
int statusOf(const Failure &failure) {
  if (failure.Executed == Execution::NotRun)
    return Unavailable;
  return failure.Kind == FailureKind::DeadlineExceeded ? GatewayTimeout : BadGateway;
}

HttpResponseHead ownHead(int status) {
  HttpResponseHead head;
  head.version(11);
  head.result(static_cast<unsigned>(status));
  head.set(http::field::content_type, "application/json");
  return head;
}

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

CallerSession::CallerSession(Gateway &gateway, std::shared_ptr<CallerConnection> caller)
    : Owner(gateway), Caller(std::move(caller)) {}

asio::awaitable<void> CallerSession::run() {
  bool mayGoOn = true;
  while (mayGoOn) {
    applyLimits();
    mayGoOn = co_await serveRequest();
  }
}

void CallerSession::applyLimits() {
  if (!Owner.plans().current())
    return;
  const CallerLimits &limits = Owner.plans().current()->configuration().Limits;
  Caller->setLimits({.HeadBytes = static_cast<std::uint32_t>(limits.MaxHeaderBytes),
                     .Idle = limits.IdleTimeout,
                     .Head = limits.HeaderTimeout});
}

asio::awaitable<bool> CallerSession::serveRequest() {
  const ReadResult result = co_await Caller->readHead();
  if (result == ReadResult::Closed)
    co_return false;
  ArrivedAt = bootTimeNow();
  MustClose = true;
  if (result == ReadResult::TooLarge)
    co_return co_await reject(HeadTooLarge, "head too large");
  if (result != ReadResult::Complete || isAmbiguous())
    co_return co_await reject(BadRequest, "malformed request");
  MustClose = !Caller->keepsAlive();
  std::string callerAttempt{headerValue(Caller->head(), platform::AttemptIdHeader)};
  if (callerAttempt.empty())
    co_return co_await reject(BadRequest, "no attempt id");
  if (Owner.stopPlan().refusesNew(ArrivedAt)) {
    MustClose = true;
    co_return co_await reject(Unavailable, "stopping", StoppingRetry);
  }
  const auto configuration = Owner.plans().current();
  if (!configuration)
    co_return co_await reject(Unavailable, "no configuration yet", NoPlanRetry);
  const Route *route =
      configuration->find(Caller->head()[http::field::host], Caller->head().target());
  if (!route)
    co_return co_await reject(NotFound, "no route");
  const Route copy = *route;
  co_return co_await serveRouted(copy, std::move(callerAttempt));
}

bool CallerSession::isAmbiguous() const {
  const HttpRequestHead &head = Caller->head();
  if (head.version() < 11 || head.count(http::field::host) != 1 || !head.target().starts_with('/'))
    return true;
  const std::size_t lengths = head.count(http::field::content_length);
  const std::size_t codings = head.count(http::field::transfer_encoding);
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
    return true;
  return codings == 1 && !boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

RequestSpec CallerSession::specFor(const Route &route) {
  const auto leftMs =
      parseNumber<long long>(headerValue(Caller->head(), platform::DeadlineRemainingHeader));
  const Duration left =
      leftMs && *leftMs >= 0
          ? std::min<Duration>(std::chrono::milliseconds{*leftMs}, DefaultDeadline)
          : DefaultDeadline;
  const Duration waited = leftMs ? Owner.waitedBefore(route, left) : Duration::zero();
  const TimePoint deadline = ArrivedAt + std::min(left - AnswerWay, route.Timeout.value_or(left));
  const Duration target = route.TargetLatency > Duration::zero() ? route.TargetLatency : left;
  return {.Id = Owner.nextCallId(),
          .Class = route.Class,
          .Kind = Owner.kindOf(route),
          .ArrivedAt = ArrivedAt,
          .Objective = ArrivedAt + target - RequestWay - AnswerWay - waited,
          .Deadline = Owner.stopPlan().deadline(deadline),
          .Priority = route.Priority,
          .MaxAttempts = route.MaxAttempts};
}

asio::awaitable<CallerSession::ReceivedBody> CallerSession::receiveBody() {
  ReceivedBody result;
  const std::size_t maxBody = Owner.plans().current()->configuration().Limits.MaxBodyBytes;
  BodyMemory &memory = Owner.bodyMemory();
  const auto announced = static_cast<std::size_t>(std::max<std::int64_t>(0, Caller->bodyLength()));
  if (announced > maxBody || announced > memory.room()) {
    result.Rejection = announced > maxBody ? BodyTooLarge : Unavailable;
    co_return result;
  }
  result.Memory = memory.reserve(announced);
  if (Caller->awaitsContinue())
    co_await Caller->writeContinue();
  const std::size_t most = std::min(maxBody, announced + memory.room());
  const ReadResult read = co_await Caller->readBody(result.Text, most);
  result.IsClosed = read == ReadResult::Closed;
  if (read == ReadResult::TooLarge)
    result.Rejection = most < maxBody ? Unavailable : BodyTooLarge;
  else
    result.Memory = memory.reserve(result.Text.size());
  co_return result;
}

asio::awaitable<bool> CallerSession::serveRouted(const Route &route, std::string callerAttempt) {
  const RequestSpec spec = specFor(route);
  ReceivedBody body = co_await receiveBody();
  if (body.IsClosed)
    co_return false;
  if (body.Rejection != 0) {
    MustClose = true;
    const bool mayReturn = body.Rejection == Unavailable;
    co_return co_await reject(body.Rejection,
                              mayReturn ? "no memory for the body" : "body too large",
                              mayReturn ? NoMemoryRetry : Duration::zero());
  }
  auto request = std::make_shared<ProxiedRequest>(
      Owner.context().get_executor(), spec, upstreamHead(Caller->head()), std::move(body.Text));
  request->CallerAttempt = std::move(callerAttempt);
  request->Route = route.Name;
  request->Service = Owner.partFor(route);
  const auto service = Owner.service(request->Service);
  if (!service)
    co_return co_await refuse(*request,
                              {.Kind = FailureKind::NoUpstream, .RetryAfter = NoPlanRetry});
  service->requestArrived(request);
  Caller->watchForClose([service, id = spec.Id] { service->callerLeft(id); });
  RequestOutcome outcome = co_await request->nextOutcome();
  Caller->stopWatching();
  if (std::holds_alternative<CallerGone>(outcome)) {
    ++Owner.counts().CallersLeft;
    co_return false;
  }
  if (const auto *failure = std::get_if<Failure>(&outcome))
    co_return co_await refuse(*request, *failure);
  ++Owner.counts().Relayed;
  Owner.counts().Latency.record(bootTimeNow() - ArrivedAt);
  if (auto *whole = std::get_if<WholeAnswer>(&outcome))
    co_return co_await relay(std::move(*whole));
  co_return co_await relay(std::move(std::get<OpenAnswer>(outcome)));
}

asio::awaitable<bool> CallerSession::relay(WholeAnswer whole) {
  if (closesAfterAnswer())
    whole.Head.set(http::field::connection, "close");
  const bool isWritten = co_await Caller->write(std::move(whole.Head), whole.Body);
  co_return isWritten && !closesAfterAnswer();
}

asio::awaitable<bool> CallerSession::relay(OpenAnswer open) {
  const bool isChunked = open.Head.find(http::field::content_length) == open.Head.end();
  if (isChunked)
    open.Head.set(http::field::transfer_encoding, "chunked");
  if (closesAfterAnswer())
    open.Head.set(http::field::connection, "close");
  bool isWritten = co_await Caller->writeHead(std::move(open.Head)) &&
                   co_await Caller->writePart(open.Begun, isChunked);
  const auto connection = open.Connection->share();
  std::vector<char> buf(RelayBytes);
  BodyPart part;
  while (isWritten && !part.IsLast) {
    part = co_await connection->readBody(buf);
    if (part.IsBroken) {
      // The connection ends before the announced end, so the answer can't look complete.
      ++Owner.counts().BrokenAnswers;
      co_return false;
    }
    isWritten = part.Size == 0 || co_await Caller->writePart({buf.data(), part.Size}, isChunked);
  }
  if (isWritten && isChunked)
    isWritten = co_await Caller->writeLastChunk();
  if (isWritten)
    open.Connection->giveBack();
  co_return isWritten && !closesAfterAnswer();
}

asio::awaitable<bool> CallerSession::refuse(const ProxiedRequest &request, const Failure &failure) {
  const int status = statusOf(failure);
  ++(status == Unavailable ? Owner.counts().Refused : Owner.counts().Failed);
  Owner.log().didRefuse(request, failure, status, bootTimeNow());
  HttpResponseHead head = ownHead(status);
  if (status == Unavailable && failure.RetryAfter > Duration::zero())
    head.set(http::field::retry_after, fmt::format("{:.3f}", toSeconds(failure.RetryAfter)));
  co_return co_await answer(std::move(head),
                            fmt::format("{{\"error\":\"{}\"}}", toString(failure.Kind)));
}

asio::awaitable<bool> CallerSession::reject(int status, std::string_view why, Duration retryAfter) {
  ++Owner.counts().Rejected;
  const HttpRequestHead &request = Caller->head();
  Owner.log().didReject(
      headerValue(request, platform::AttemptIdHeader), request[http::field::host], request.target(),
      status, why, Owner.plans().current() ? Owner.plans().current()->configuration().Version : 0);
  HttpResponseHead head = ownHead(status);
  if (retryAfter > Duration::zero())
    head.set(http::field::retry_after, fmt::format("{:.3f}", toSeconds(retryAfter)));
  if (!MustClose && Caller->hasBody()) {
    // The next request begins after the body of this one.
    std::string unread;
    const std::size_t limit = Owner.plans().current()
                                  ? Owner.plans().current()->configuration().Limits.MaxBodyBytes
                                  : CallerLimits{}.MaxBodyBytes;
    MustClose = co_await Caller->readBody(unread, limit) != ReadResult::Complete;
  }
  co_return co_await answer(std::move(head), fmt::format("{{\"error\":\"{}\"}}", why));
}

bool CallerSession::closesAfterAnswer() const { return MustClose || Owner.isStopping(); }

asio::awaitable<bool> CallerSession::answer(HttpResponseHead head, std::string_view body) {
  const bool mustClose = closesAfterAnswer();
  if (mustClose)
    head.set(http::field::connection, "close");
  const bool isWritten = co_await Caller->write(std::move(head), body);
  co_return isWritten && !mustClose;
}

} // namespace wigeonlift
