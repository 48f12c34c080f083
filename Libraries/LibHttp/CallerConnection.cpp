#include <LibHttp/CallerConnection.h>

#include <LibHttp/BodyReading.h>
#include <LibHttp/Clock.h>
#include <LibHttp/SocketOptions.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxBufferedBytes = 128 * 1024;
constexpr std::size_t BodyStepBytes = 16 * 1024;
// What a caller may still send behind the last response before its connection is reset.
constexpr std::size_t MaxDiscardedBytes = 1024 * 1024;
// Beast reads no more at once than the buffer's free capacity. This holds most requests.
constexpr std::size_t HeadBufferBytes = 4 * 1024;
// A larger body is written in parts, so that a slow caller's progress is seen.
constexpr std::size_t MaxWholeWriteBytes = 64 * 1024;
// A caller that stops in the middle of a request, or takes nothing of its answer.
constexpr Duration ProgressLimit = std::chrono::seconds{30};

ReadResult toResult(const boost::system::error_code &ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return ReadResult::TooLarge;
  if (ec == http::error::end_of_stream || ec == http::error::partial_message)
    return ReadResult::Closed;
  const bool isProtocol = ec.category() == make_error_code(http::error::bad_method).category();
  return isProtocol ? ReadResult::Malformed : ReadResult::Closed;
}

} // namespace

struct CallerConnection::Parser {
  boost::beast::flat_buffer Buffer{MaxBufferedBytes};
  std::optional<http::request_parser<http::buffer_body>> Request;
};

CallerConnection::CallerConnection(asio::ip::tcp::socket socket)
    : Socket(std::move(socket)), Reader(std::make_unique<Parser>()) {
  setStreamOptions(Socket);
}

CallerConnection::~CallerConnection() = default;

asio::awaitable<ReadResult> CallerConnection::readHead() {
  auto &parser = Reader->Request.emplace();
  parser.header_limit(Limits.HeadBytes);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (Reader->Buffer.capacity() > HeadBufferBytes && Reader->Buffer.size() == 0)
    Reader->Buffer.shrink_to_fit();
  Reader->Buffer.reserve(HeadBufferBytes);
  IsBetweenRequests = true;
  DidContinue = false;
  IdleSince = bootTimeNow();
  // Beast reports nothing before the first line is whole; a caller may stop before that.
  if (Reader->Buffer.size() == 0) {
    const auto [ec, n] =
        co_await Socket.async_read_some(Reader->Buffer.prepare(HeadBufferBytes), Completion);
    if (ec)
      co_return ReadResult::Closed;
    Reader->Buffer.commit(n);
  }
  IsBetweenRequests = false;
  IsReadingHead = true;
  ReadExpiresAt = bootTimeNow() + Limits.Head;
  ReadResult result = ReadResult::Complete;
  while (result == ReadResult::Complete && !parser.is_header_done()) {
    const auto [ec, n] = co_await http::async_read_some(Socket, Reader->Buffer, parser, Completion);
    if (ec && !(ec == http::error::need_buffer && parser.is_header_done()))
      result = toResult(ec);
  }
  IsReadingHead = false;
  if (result == ReadResult::Complete)
    ReadExpiresAt = TimePoint::max();
  co_return result;
}

const HttpRequestHead &CallerConnection::head() const { return Reader->Request->get().base(); }

bool CallerConnection::keepsAlive() const { return Reader->Request->get().keep_alive(); }

bool CallerConnection::hasBody() const { return !Reader->Request->is_done(); }

std::int64_t CallerConnection::bodyLength() const {
  const auto length = Reader->Request->content_length();
  return length ? static_cast<std::int64_t>(*length) : -1;
}

bool CallerConnection::awaitsContinue() const {
  return hasBody() && !DidContinue &&
         boost::beast::iequals(head()[http::field::expect], "100-continue");
}

asio::awaitable<bool> CallerConnection::writeContinue() {
  DidContinue = true;
  constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto [ec, n] =
      co_await asio::async_write(Socket, asio::buffer(text.data(), text.size()), Completion);
  co_return !ec;
}

asio::awaitable<ReadResult> CallerConnection::readBody(std::string &body, std::size_t limit,
                                                       MayHold mayHold) {
  while (!Reader->Request->is_done()) {
    const std::size_t had = body.size();
    const std::size_t wanted = had + std::min(BodyStepBytes, limit + 1 - had);
    if (mayHold && !mayHold(wanted))
      co_return ReadResult::TooLarge;
    body.resize(wanted);
    const auto part = co_await readBodyPart({body.data() + had, body.size() - had});
    body.resize(had + part.Size);
    if (part.IsBroken)
      co_return ReadResult::Closed;
    if (body.size() > limit)
      co_return ReadResult::TooLarge;
  }
  co_return ReadResult::Complete;
}

asio::awaitable<ReadResult> CallerConnection::dropBody(std::size_t limit) {
  std::array<char, BodyStepBytes> buf{};
  std::size_t dropped = 0;
  while (!Reader->Request->is_done()) {
    const BodyPart part = co_await readBodyPart(buf);
    dropped += part.Size;
    if (part.IsBroken)
      co_return ReadResult::Closed;
    if (dropped > limit)
      co_return ReadResult::TooLarge;
  }
  co_return ReadResult::Complete;
}

asio::awaitable<BodyPart> CallerConnection::readBodyPart(std::span<char> buf) {
  ReadExpiresAt = bootTimeNow() + ProgressLimit;
  const BodyPart part = co_await readPart(Socket, Reader->Buffer, *Reader->Request, buf);
  if (!part.IsBroken)
    ReadExpiresAt = TimePoint::max();
  co_return part;
}

asio::awaitable<bool> CallerConnection::readAhead(asio::cancellation_signal &stop,
                                                  std::function<bool()> isDone) {
  while (!isDone() && Reader->Buffer.size() < MaxBufferedBytes) {
    const std::size_t most = std::min(BodyStepBytes, MaxBufferedBytes - Reader->Buffer.size());
    const auto [ec, n] = co_await Socket.async_read_some(
        Reader->Buffer.prepare(most),
        asio::bind_cancellation_slot(stop.slot(), asio::as_tuple(asio::use_awaitable)));
    Reader->Buffer.commit(n);
    if (ec)
      co_return Socket.is_open() && ec == asio::error::operation_aborted;
  }
  co_return true;
}

asio::awaitable<void> CallerConnection::discardInput() {
  std::array<char, HeadBufferBytes> buf{};
  std::size_t discarded = 0;
  while (discarded < MaxDiscardedBytes) {
    const auto [ec, n] = co_await Socket.async_read_some(asio::buffer(buf), Completion);
    discarded += n;
    if (ec)
      co_return;
  }
}

asio::awaitable<bool> CallerConnection::write(HttpResponseHead head, std::string_view body,
                                              http::verb method) {
  if (method == http::verb::head || hasNoBody(head))
    co_return co_await writeHead(std::move(head));
  http::response<http::span_body<const char>> response{std::move(head)};
  response.body() = {body.data(), body.size()};
  response.prepare_payload();
  if (body.size() > MaxWholeWriteBytes)
    co_return co_await writeHead(std::move(response.base())) && co_await writePart(body, false);
  WriteExpiresAt = bootTimeNow() + ProgressLimit;
  const auto [ec, n] = co_await http::async_write(Socket, response, Completion);
  WriteExpiresAt = TimePoint::max();
  co_return !ec;
}

bool CallerConnection::hasNoBody(const HttpResponseHead &head) {
  return head.result() == http::status::no_content || head.result() == http::status::not_modified;
}

asio::awaitable<bool> CallerConnection::writeHead(HttpResponseHead head) {
  http::response<http::empty_body> response{std::move(head)};
  http::response_serializer<http::empty_body> serializer{response};
  WriteExpiresAt = bootTimeNow() + ProgressLimit;
  const auto [ec, n] = co_await http::async_write_header(Socket, serializer, Completion);
  WriteExpiresAt = TimePoint::max();
  co_return !ec;
}

asio::awaitable<bool> CallerConnection::writePart(std::string_view part, bool isChunked) {
  // An empty chunk would end the body.
  if (part.empty())
    co_return true;
  const asio::const_buffer data{part.data(), part.size()};
  // Called before each step of the write.
  const auto atMost = [this](const boost::system::error_code &ec, std::size_t) {
    WriteExpiresAt = bootTimeNow() + ProgressLimit;
    return ec ? 0 : MaxWholeWriteBytes;
  };
  boost::system::error_code result;
  if (isChunked) {
    const auto [ec, n] =
        co_await asio::async_write(Socket, http::make_chunk(data), atMost, Completion);
    result = ec;
  } else {
    const auto [ec, n] = co_await asio::async_write(Socket, data, atMost, Completion);
    result = ec;
  }
  WriteExpiresAt = TimePoint::max();
  co_return !result;
}

asio::awaitable<bool> CallerConnection::writeLastChunk() {
  const auto [ec, n] = co_await asio::async_write(Socket, http::make_chunk_last(), Completion);
  co_return !ec;
}

void CallerConnection::watchForClose(std::function<void()> onClose) {
  OnClose = std::move(onClose);
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [self = shared_from_this()](const boost::system::error_code &ec) {
                      // Data means a pipelined request, which is read after this one's answer.
                      if (ec || !self->OnClose || !isClosedByPeer(self->Socket))
                        return;
                      std::exchange(self->OnClose, nullptr)();
                    });
}

void CallerConnection::stopWatching() {
  if (!std::exchange(OnClose, nullptr))
    return;
  boost::system::error_code ec;
  Socket.cancel(ec);
}

void CallerConnection::setUnanswered(std::size_t count, TimePoint now) {
  Unanswered = count;
  if (count == 0)
    IdleSince = now;
}

TimePoint CallerConnection::expiresAt() const {
  // A caller that stops within a request still gets the answers to those before it.
  if (Unanswered > 0)
    return WriteExpiresAt;
  return std::min(IsBetweenRequests ? IdleSince + Limits.Idle : ReadExpiresAt, WriteExpiresAt);
}

bool CallerConnection::isIdleSince(TimePoint time) {
  return IsBetweenRequests && IdleSince < time && !isBusy();
}

bool CallerConnection::hasUnreadInput() {
  return IsReadingHead || Reader->Buffer.size() > 0 || hasPendingInput(Socket);
}

void CallerConnection::closeSending() {
  boost::system::error_code ec;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void CallerConnection::close() {
  boost::system::error_code ec;
  Socket.close(ec);
}

} // namespace wigeonlift
