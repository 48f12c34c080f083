#include "UpstreamExchange.h"

#include "BodyTransfer.h"
#include "ConnectionGuard.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <array>
#include <utility>
#include <vector>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Bodies of answers to earlier requests, and of health answers, which nobody gets.
constexpr std::size_t MaxForeignBytes = 2 * 1024 * 1024;
constexpr std::size_t MaxHealthBytes = 64 * 1024;
constexpr std::size_t FirstReadBytes = 4 * 1024;
constexpr std::size_t ReadBytes = 64 * 1024;
constexpr int FirstFailureStatus = 300;
constexpr int FirstSuccessStatus = 200;
constexpr int Misdirected = 421;
// Late answers to earlier requests that are skipped before the connection is given up.
constexpr int MaxForeignAnswers = 3;
// Lets the upstream's own answer arrive before the caller's deadline.
constexpr Duration DeadlineMargin = std::chrono::milliseconds{10};

constexpr Duration ProbeSpan = std::chrono::milliseconds{500};

enum class BodyEnd : std::uint8_t { Whole, Broken, TooLarge };

HttpRequestHead headFor(const RunningAttempt &attempt, TimePoint now) {
  const ProxiedRequest &request = *attempt.Request;
  HttpRequestHead head = request.Head;
  const auto leftMs = std::max(1LL, toMilliseconds(request.Spec.Deadline - now - DeadlineMargin));
  head.set(platform::DeadlineRemainingHeader, fmt::format("{}", leftMs));
  head.set(platform::ExpectedUpstreamHeader, attempt.Upstream->Record.Id);
  if (!request.Body.empty() || head.method() == http::verb::post ||
      head.method() == http::verb::put)
    head.set(http::field::content_length, fmt::format("{}", request.Body.size()));
  return head;
}

/// Reads a body up to the limit, or as far as there is memory for it.
asio::awaitable<BodyEnd> readBody(UpstreamConnection &connection, HeldBody &body,
                                  std::size_t limit) {
  std::string &bytes = body.Bytes;
  std::size_t step = FirstReadBytes;
  while (bytes.size() < limit) {
    const std::size_t had = bytes.size();
    if (!body.Memory.ensure(had + step))
      co_return BodyEnd::TooLarge;
    bytes.resize(had + step);
    const BodyPart part = co_await connection.readBody({bytes.data() + had, step});
    bytes.resize(had + part.Size);
    if (part.IsBroken)
      co_return BodyEnd::Broken;
    if (part.IsLast)
      co_return BodyEnd::Whole;
    step = ReadBytes;
  }
  co_return BodyEnd::TooLarge;
}

/// Reads a body that nobody gets. False when it doesn't end within the limit.
asio::awaitable<bool> dropBody(UpstreamConnection &connection, std::size_t limit) {
  std::array<char, FirstReadBytes> buf{};
  for (std::size_t n = 0; n < limit;) {
    const BodyPart part = co_await connection.readBody(buf);
    if (part.IsBroken || part.IsLast)
      co_return !part.IsBroken;
    n += part.Size;
  }
  co_return false;
}

bool isOwnAnswer(const HttpResponseHead &head, const ProxiedRequest &request) {
  return headerValue(head, platform::AttemptIdHeader) == request.CallerAttempt;
}

/// Reads answers until one echoes the id of the request. Extra answers to earlier requests on the
/// connection come first.
asio::awaitable<const HttpResponseHead *>
readOwnHead(UpstreamConnection &connection, const ProxiedRequest &request, bool &sawForeign) {
  const bool isHead = request.Head.method() == http::verb::head;
  for (int n = 0; n <= MaxForeignAnswers; ++n) {
    const auto *head = co_await connection.readHead(isHead, OpenEnd::Allowed);
    if (!head || isOwnAnswer(*head, request))
      co_return head;
    // Rejections of a request that could not be read carry no id. They prove nothing.
    if (head->find(platform::AttemptIdHeader) == head->end())
      co_return head;
    sawForeign = true;
    if (!co_await dropBody(connection, MaxForeignBytes))
      co_return nullptr;
  }
  co_return nullptr;
}

ResponseKind kindOf(const HttpResponseHead &head, const ProxiedRequest &request, BodyEnd end) {
  const int status = static_cast<int>(head.result_int());
  // A rejection without the request's id may be the late copy of one that a health check got.
  const bool isOwn = isOwnAnswer(head, request);
  if (isOwn && platform::statesNotExecuted(head))
    return ResponseKind::NotRun;
  const bool isSealed = !headerValue(head, platform::SealHeader).empty();
  const bool isEncoded = head.find(http::field::content_encoding) != head.end();
  const bool isContradictory = head.find(platform::NotExecutedHeader) != head.end();
  if (!isSealed || isEncoded || !isOwn || isContradictory || end == BodyEnd::Broken)
    return ResponseKind::Invalid;
  if (status >= FirstSuccessStatus && status < FirstFailureStatus)
    return ResponseKind::Success;
  return platform::promisesNotExecuted(head.result_int()) ? ResponseKind::MisleadingFailure
                                                          : ResponseKind::UpstreamFailure;
}

/// What the caller gets of the upstream's head.
HttpResponseHead callerHead(const HttpResponseHead &response) {
  constexpr std::array<std::string_view, 1> dropped{platform::UpstreamLoadHeader};
  HttpResponseHead head;
  head.version(11);
  head.result(response.result_int());
  head.reason(response.reason());
  copyEndToEndFields(response, head, dropped);
  return head;
}

std::string describe(ResponseKind kind, const HttpResponseHead &head, BodyEnd end) {
  if (kind == ResponseKind::NotRun)
    return fmt::format("not run, status {}", head.result_int());
  if (end == BodyEnd::Broken)
    return "answer broke off";
  if (kind == ResponseKind::Invalid)
    return fmt::format("no answer of the upstream, status {}", head.result_int());
  if (kind == ResponseKind::MisleadingFailure)
    return fmt::format("status {} after a run, not passed on", head.result_int());
  return fmt::format("status {}", head.result_int());
}

/// Reads and judges the answer. The connection goes back to the pool when all of it was the answer.
asio::awaitable<void> readAnswer(std::shared_ptr<ServiceTask> service,
                                 std::shared_ptr<RunningAttempt> attempt) {
  const auto connection = attempt->Connection->share();
  const auto request = attempt->Request;
  bool sawForeign = false;
  const auto *head = co_await readOwnHead(*connection, *request, sawForeign);
  if (attempt->IsAbandoned)
    co_return;
  if (!head)
    co_return service->attemptFailed(*attempt, AttemptStage::Sent,
                                     sawForeign ? "foreign answer, then none" : "no answer");
  // A rejection with this status may come from another upstream that has the address by now.
  if (isOwnAnswer(*head, *request) && head->result_int() != Misdirected)
    service->didReadHead(*attempt->Upstream, *head);
  HeldBody body;
  if (request->AnswerMemory)
    body.Memory = request->AnswerMemory->reserve(0);
  const BodyEnd end = co_await readBody(*connection, body, request->MaxHeldBytes);
  if (attempt->IsAbandoned)
    co_return;
  const ResponseKind kind = kindOf(*head, *request, end);
  const ResponseInfo facts{
      .Kind = kind,
      .Load = platform::parseLoadReport(headerValue(*head, platform::UpstreamLoadHeader)),
      .Bytes = body.Bytes.size()};
  HttpResponseHead relayed = callerHead(*head);
  const TimePoint now = bootTimeNow();
  if (kind != ResponseKind::Success)
    service->log().didFail(*request, attempt->Upstream->Record.Id, describe(kind, *head, end), now);
  if (end == BodyEnd::Whole && !sawForeign && kind != ResponseKind::Invalid)
    attempt->Connection->giveBack();
  const ResponseAction use = service->didAnswer(*attempt, facts);
  if (use == ResponseAction::Drop || request->isDecided())
    co_return;
  service->log().didAnswer(*request, attempt->Upstream->Record.Id,
                           static_cast<int>(relayed.result_int()), now);
  if (end == BodyEnd::TooLarge)
    request->deliver(OpenAnswer{std::move(relayed), std::move(body), attempt->Connection});
  else
    request->deliver(WholeAnswer{std::move(relayed), std::move(body)});
}

} // namespace

asio::awaitable<void> exchangeRequest(std::shared_ptr<ServiceTask> service,
                                      std::shared_ptr<RunningAttempt> attempt) {
  const auto request = attempt->Request;
  const auto need = request->Spec.Class == CallClass::NonIdempotent ? ConnectionNeed::Proven
                                                                    : ConnectionNeed::Any;
  auto lease = co_await attempt->Upstream->Pool->acquire(need, attempt->Wait);
  if (attempt->IsAbandoned) {
    lease.giveBackUnused();
    co_return;
  }
  if (!lease)
    co_return service->attemptFailed(*attempt, AttemptStage::Unsent, "no connection");
  if (!service->maySend(*attempt))
    co_return lease.giveBackUnused();
  attempt->Connection = std::make_shared<ConnectionLease>(std::move(lease));
  const auto connection = attempt->Connection->share();
  const TimePoint now = bootTimeNow();
  const ConnectionGuard guard{co_await asio::this_coro::executor, connection,
                              request->Spec.Deadline - now + ProxiedRequest::LateAnswerSpan};
  BodyTransfer transfer{co_await asio::this_coro::executor, service, *attempt};
  const HttpRequestHead head = headFor(*attempt, now);
  const bool isWritten = co_await connection->write(head, request->Body);
  if (attempt->IsAbandoned)
    co_return;
  if (!isWritten)
    co_return service->attemptFailed(*attempt, AttemptStage::Sent, "connection broke");
  transfer.didWrite();
  co_await readAnswer(service, attempt);
}

asio::awaitable<void> exchangeProbe(std::shared_ptr<ServiceTask> service,
                                    std::shared_ptr<const KnownUpstream> upstream, ProbeId probe) {
  const auto wait = std::make_shared<PoolWait>(co_await asio::this_coro::executor);
  auto lease = co_await upstream->Pool->acquire(ConnectionNeed::Any, wait);
  if (!lease)
    co_return service->probeFailed(probe);
  const auto connection = lease.share();
  const ConnectionGuard guard{co_await asio::this_coro::executor, connection, ProbeSpan};
  HttpRequestHead request;
  request.version(11);
  request.method(http::verb::get);
  request.target(service->healthPath());
  request.set(http::field::host, upstream->Record.Address);
  const TimePoint askedAt = bootTimeNow();
  if (!co_await connection->write(request, {}))
    co_return service->probeFailed(probe);
  const auto *head = co_await connection->readHead(false, OpenEnd::Refused);
  if (!head)
    co_return service->probeFailed(probe);
  const bool isSame = headerValue(*head, platform::UpstreamIdHeader) == upstream->Record.Id;
  const auto load = platform::parseLoadReport(headerValue(*head, platform::UpstreamLoadHeader));
  const bool isWhole = co_await dropBody(*connection, MaxHealthBytes);
  if (isSame)
    service->didReadHealthHead(*upstream, *head, askedAt);
  if (!isSame || !load || !isWhole)
    co_return service->probeFailed(probe);
  lease.giveBack();
  service->probeAnswered(probe, *load);
}

} // namespace wigeonlift
