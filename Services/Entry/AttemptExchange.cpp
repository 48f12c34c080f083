#include "AttemptExchange.h"

#include "EntryHeaders.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t UploadStepBytes = 64 * 1024;
// Reading a short body that nobody wants is cheaper than opening another connection.
constexpr std::size_t MaxDrainedBytes = 64 * 1024;

HttpRequestHead headFor(const UpstreamAttempt &attempt, TimePoint now) {
  const ProxiedCall &call = *attempt.Owner;
  HttpRequestHead head = call.Head;
  const long long leftMs = std::max(1LL, toMilliseconds(attempt.Command.Deadline - now));
  head.set(DeadlineHeader, fmt::format("{}", leftMs));
  head.set(ExtraAttemptsHeader, fmt::format("{}", attempt.Command.ExtraAttempts));
  if (!call.BodySource && (!call.Body.empty() || head.method() == http::verb::post))
    head.set(http::field::content_length, fmt::format("{}", call.Body.size()));
  if (attempt.Command.IsResume)
    call.Progress->addRange(head);
  return head;
}

/// Whether the request can still be sent as a whole.
bool isSendable(const UpstreamAttempt &attempt) {
  const ProxiedCall &call = *attempt.Owner;
  if (attempt.Command.IsResume && !call.Progress)
    return false;
  return !call.BodySource || !call.IsBodyTaken;
}

/// A resumed export may only go on with the rest of the same entity. A refusal is never relayed.
bool isRelayable(const UpstreamAttempt &attempt) {
  return !attempt.Command.IsResume || headerValue(*attempt.Response, RefusedHeader) == "1" ||
         attempt.Owner->Progress->isContinuedBy(*attempt.Response);
}

/// Sends the rest of a body that is still arriving from the caller.
asio::awaitable<bool> sendRest(std::shared_ptr<UpstreamAttempt> attempt) {
  const auto connection = attempt->Connection.share();
  const auto source = attempt->Owner->BodySource;
  std::vector<char> buf(UploadStepBytes);
  BodyPart part;
  while (!part.IsLast) {
    part = co_await source->readBodyPart(buf);
    if (part.IsBroken || attempt->IsCancelled)
      co_return false;
    const bool isWritten = co_await connection->writeMore({buf.data(), part.Size});
    if (!isWritten)
      co_return false;
  }
  co_return true;
}

asio::awaitable<bool> send(std::shared_ptr<UpstreamAttempt> attempt, TimePoint now) {
  ProxiedCall &call = *attempt->Owner;
  const auto connection = attempt->Connection.share();
  const HttpRequestHead head = headFor(*attempt, now);
  call.IsBodyTaken = true;
  bool isWritten = co_await connection->write(head, call.Body);
  if (isWritten && call.BodySource)
    isWritten = co_await sendRest(attempt);
  co_return isWritten;
}

asio::awaitable<void> drain(std::shared_ptr<ServiceRunner> service,
                            std::shared_ptr<UpstreamAttempt> attempt) {
  const auto connection = attempt->Connection.share();
  std::vector<char> buf(MaxDrainedBytes);
  const BodyPart part = co_await connection->readBody(buf);
  if (part.IsLast && !attempt->IsCancelled)
    attempt->Connection.giveBack();
  service->responseFinished(attempt);
}

} // namespace

asio::awaitable<void> exchangeAttempt(std::shared_ptr<ServiceRunner> service,
                                      std::shared_ptr<UpstreamAttempt> attempt) {
  const auto pool = service->poolOf(attempt->Command.Upstream);
  const auto need =
      attempt->Command.NeedsProvenConnection ? ConnectionNeed::Proven : ConnectionNeed::Any;
  if (pool && isSendable(*attempt))
    attempt->Connection = co_await pool->acquire(need, attempt->Wait);
  // Another attempt may have taken the body during the wait.
  if (attempt->Connection && !isSendable(*attempt))
    attempt->Connection.giveBackUnused();
  if (!attempt->Connection)
    co_return service->attemptFailed(attempt, FailureStage::BeforeWrite);
  if (!service->mayWrite(attempt))
    co_return attempt->Connection.giveBackUnused();
  const auto connection = attempt->Connection.share();
  const bool isSent = co_await send(attempt, service->parts().Clock.now());
  if (isSent && !attempt->IsCancelled)
    attempt->Response = co_await connection->readHead(attempt->Owner->isHeadRequest());
  if (attempt->IsCancelled)
    co_return;
  if (!attempt->Response || !isRelayable(*attempt))
    co_return service->attemptFailed(attempt, FailureStage::AfterWrite);
  service->responseStarted(attempt);
  if (!attempt->IsRelayed && !attempt->IsCancelled)
    co_await drain(service, attempt);
}

} // namespace wigeonlift
