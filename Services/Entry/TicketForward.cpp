#include "TicketForward.h"

#include "EntryHeaders.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration OpenTimeout = std::chrono::seconds{1};
constexpr std::size_t BufferBytes = 64 * 1024;

asio::awaitable<ForwardEnd> relayAnswer(std::shared_ptr<UpstreamConnection> connection,
                                        HttpResponseHead head,
                                        std::shared_ptr<CallerConnection> caller) {
  std::vector<char> buf(BufferBytes);
  BodyPart part = co_await connection->readBody(buf);
  if (part.IsBroken)
    co_return ForwardEnd::NoAnswer;
  if (part.IsLast) {
    const std::string_view body{buf.data(), part.Size};
    const bool isWritten = co_await caller->write(std::move(head), body, caller->head().method());
    co_return isWritten ? ForwardEnd::Complete : ForwardEnd::Broken;
  }
  const bool isChunked = head.count(http::field::content_length) == 0;
  if (isChunked)
    head.set(http::field::transfer_encoding, "chunked");
  bool isGood = co_await caller->writeHead(std::move(head));
  while (isGood) {
    const std::string_view bytes{buf.data(), part.Size};
    if (!bytes.empty())
      isGood = co_await caller->writePart(bytes, isChunked);
    if (!isGood || part.IsLast)
      break;
    part = co_await connection->readBody(buf);
    isGood = !part.IsBroken;
  }
  if (isGood && isChunked)
    isGood = co_await caller->writeLastChunk();
  co_return isGood ? ForwardEnd::Complete : ForwardEnd::Broken;
}

} // namespace

HttpRequestHead forwardedHead(const HttpRequestHead &request, Duration timeLeft,
                              std::size_t bodyBytes) {
  HttpRequestHead head = upstreamHead(request);
  head.set(TicketHeader, headerValue(request, TicketHeader));
  head.set(ForwardedHeader, "1");
  head.set(DeadlineHeader, fmt::format("{}", std::max(1LL, toMilliseconds(timeLeft))));
  if (const auto extra = headerValue(request, ExtraAttemptsHeader); !extra.empty())
    head.set(ExtraAttemptsHeader, extra);
  head.set(http::field::content_length, fmt::format("{}", bodyBytes));
  return head;
}

asio::awaitable<ForwardEnd> forwardRequest(asio::ip::tcp::endpoint endpoint, HttpRequestHead head,
                                           std::string_view body, TimePoint deadline,
                                           std::shared_ptr<CallerConnection> caller,
                                           bool closesCaller) {
  const auto executor = co_await asio::this_coro::executor;
  const auto connection = std::make_shared<UpstreamConnection>(executor, endpoint);
  const bool isOpen = co_await connection->open(OpenTimeout);
  if (!isOpen)
    co_return ForwardEnd::NoAnswer;
  asio::steady_timer timer{executor, deadline};
  timer.async_wait([weak = std::weak_ptr{connection}](const boost::system::error_code &ec) {
    const auto pending = weak.lock();
    if (!ec && pending)
      pending->close();
  });
  const bool isHeadRequest = head.method() == http::verb::head;
  const bool isSent = co_await connection->write(head, body);
  const HttpResponseHead *response = nullptr;
  if (isSent)
    response = co_await connection->readHead(isHeadRequest);
  if (!response)
    co_return ForwardEnd::NoAnswer;
  HttpResponseHead answer = endToEndHead(*response);
  if (closesCaller)
    answer.set(http::field::connection, "close");
  const ForwardEnd end = co_await relayAnswer(connection, std::move(answer), caller);
  co_return end;
}

} // namespace wigeonlift
