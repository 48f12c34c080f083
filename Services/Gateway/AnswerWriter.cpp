#include "AnswerWriter.h"

#include "AnswerReadAhead.h"

#include <fmt/format.h>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Only a request that was certainly not run gets a status that says so.
int statusOf(const Failure &failure) {
  if (failure.Executed == Execution::NotRun)
    return Unavailable;
  return failure.Kind == FailureKind::DeadlineExceeded ? GatewayTimeout : BadGateway;
}

void setClose(HttpResponseHead &head, AfterAnswer after) {
  if (after == AfterAnswer::Close)
    head.set(http::field::connection, "close");
}

} // namespace

asio::awaitable<bool> AnswerWriter::write(const PendingRequest &pending, RequestOutcome outcome,
                                          AfterAnswer after) {
  if (const auto *failure = std::get_if<Failure>(&outcome))
    co_return co_await refuse(pending, *failure, after);
  ++Owner.counts().Relayed;
  Owner.counts().Latency.record(bootTimeNow() - pending.Request->Spec.ArrivedAt);
  if (auto *whole = std::get_if<WholeAnswer>(&outcome))
    co_return co_await relay(pending, std::move(*whole), after);
  co_return co_await relay(pending, std::move(std::get<OpenAnswer>(outcome)), after);
}

asio::awaitable<bool> AnswerWriter::relay(const PendingRequest &pending, WholeAnswer whole,
                                          AfterAnswer after) {
  setClose(whole.Head, after);
  co_return co_await Caller.write(std::move(whole.Head), whole.Body.Bytes, pending.Method);
}

asio::awaitable<bool> AnswerWriter::relay(const PendingRequest &pending, OpenAnswer open,
                                          AfterAnswer after) {
  const bool isChunked = open.Head.find(http::field::content_length) == open.Head.end();
  if (isChunked)
    open.Head.set(http::field::transfer_encoding, "chunked");
  setClose(open.Head, after);
  const auto rest = std::make_shared<AnswerReadAhead>(co_await asio::this_coro::executor,
                                                      open.Connection, Owner.heldAnswerMemory());
  rest->start(pending.Request->Spec.Deadline + ProxiedRequest::LateAnswerSpan);
  bool isWritten = co_await Caller.writeHead(std::move(open.Head)) &&
                   co_await Caller.writePart(open.Begun.Bytes, isChunked);
  while (isWritten) {
    const auto part = co_await rest->next();
    if (!part)
      break;
    isWritten = co_await Caller.writePart(*part, isChunked);
  }
  if (isWritten && rest->isBroken()) {
    // The connection ends before the announced end, so the answer can't look complete.
    ++Owner.counts().BrokenAnswers;
    co_return false;
  }
  if (isWritten && isChunked)
    isWritten = co_await Caller.writeLastChunk();
  rest->stop();
  co_return isWritten;
}

asio::awaitable<bool> AnswerWriter::refuse(const PendingRequest &pending, const Failure &failure,
                                           AfterAnswer after) {
  const int status = statusOf(failure);
  ++(status == Unavailable ? Owner.counts().Refused : Owner.counts().Failed);
  Owner.log().didRefuse(*pending.Request, failure, status, bootTimeNow());
  const Duration retryAfter = status == Unavailable ? failure.RetryAfter : Duration::zero();
  const Rejection rejection{status, toString(failure.Kind), retryAfter};
  co_return co_await write(pending, rejection, after);
}

asio::awaitable<bool> AnswerWriter::write(const PendingRequest &pending, const Rejection &rejection,
                                          AfterAnswer after) {
  HttpResponseHead head;
  head.version(11);
  head.result(static_cast<unsigned>(rejection.Status));
  head.set(http::field::content_type, "application/json");
  if (rejection.RetryAfter > Duration::zero())
    head.set(http::field::retry_after, fmt::format("{:.3f}", toSeconds(rejection.RetryAfter)));
  setClose(head, after);
  co_return co_await Caller.write(
      std::move(head), fmt::format("{{\"error\":\"{}\"}}", rejection.Why), pending.Method);
}

} // namespace wigeonlift
