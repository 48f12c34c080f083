#include <LibHttp/UpstreamConnection.h>

#include <LibHttp/BodyReading.h>
#include <LibHttp/Clock.h>
#include <LibHttp/SocketOptions.h>

#include <LibBase/Text.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>
#include <optional>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
// An upstream that sends interim responses without end would keep the process busy until the
// deadline.
constexpr int MaxInterimResponses = 16;
// Bodies may arrive in many small parts, but not without end: each costs as much as a large one.
constexpr std::size_t FreeBodyParts = 1024;
constexpr std::size_t MinMeanPartBytes = 64;
constexpr std::size_t MaxBufferedBytes = 128 * 1024;
// Beast reads no more at once than the buffer's free capacity. This holds most heads with a small
// body; an idle connection keeps no more.
constexpr std::size_t HeadBufferBytes = 4 * 1024;

} // namespace

struct UpstreamConnection::Parser {
  boost::beast::flat_buffer Buffer{MaxBufferedBytes};
  std::optional<http::response_parser<http::buffer_body>> Response;
};

UpstreamConnection::UpstreamConnection(const asio::any_io_executor &executor,
                                       const asio::ip::tcp::endpoint &endpoint)
    : Endpoint(endpoint), Socket(executor), Reader(std::make_unique<Parser>()) {}

UpstreamConnection::~UpstreamConnection() = default;

asio::awaitable<bool> UpstreamConnection::open(Duration timeout) {
  boost::beast::tcp_stream stream{Socket.get_executor()};
  stream.expires_after(timeout);
  const auto [ec] = co_await stream.async_connect(Endpoint, Completion);
  if (ec)
    co_return false;
  Socket = stream.release_socket();
  setStreamOptions(Socket);
  LastAnswer = bootTimeNow();
  co_return true;
}

asio::awaitable<bool> UpstreamConnection::write(const HttpRequestHead &head,
                                                std::string_view body) {
  Reader->Response.reset();
  Reader->Buffer.reserve(HeadBufferBytes);
  http::request<http::span_body<const char>> request{head};
  request.body() = {body.data(), body.size()};
  const auto [ec, n] = co_await http::async_write(Socket, request, Completion);
  co_return !ec;
}

asio::awaitable<bool> UpstreamConnection::writeMore(std::string_view body) {
  const auto [ec, n] =
      co_await asio::async_write(Socket, asio::buffer(body.data(), body.size()), Completion);
  co_return !ec;
}

asio::awaitable<const HttpResponseHead *> UpstreamConnection::readHead(bool isHeadRequest,
                                                                       OpenEnd openEnd) {
  BodyParts = 0;
  BodyBytes = 0;
  for (int n = 0; n <= MaxInterimResponses; ++n) {
    auto &parser = Reader->Response.emplace();
    parser.header_limit(MaxHeadBytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(isHeadRequest);
    const auto [ec, size] =
        co_await http::async_read_header(Socket, Reader->Buffer, parser, Completion);
    if (ec)
      co_return nullptr;
    // A status below 100, such as the 000 of some failing upstreams, is invalid. As an interim
    // response its body would be taken for the next head.
    if (parser.get().result_int() < FirstInterimStatus)
      co_return nullptr;
    // Interim responses such as 100 Continue precede the final one.
    if (parser.get().result_int() < FirstFinalStatus)
      continue;
    if (openEnd == OpenEnd::Refused && !parser.is_done() && parser.need_eof())
      co_return nullptr;
    co_return &parser.get().base();
  }
  co_return nullptr;
}

asio::awaitable<BodyPart> UpstreamConnection::readBody(std::span<char> buf) {
  BodyPart part = co_await readPart(Socket, Reader->Buffer, *Reader->Response, buf);
  ++BodyParts;
  BodyBytes += part.Size;
  if (!part.IsLast && BodyParts > FreeBodyParts + BodyBytes / MinMeanPartBytes)
    part.IsBroken = true;
  co_return part;
}

void UpstreamConnection::didAnswer(TimePoint now) {
  LastAnswer = now;
  if (Reader->Buffer.capacity() > HeadBufferBytes)
    Reader->Buffer.shrink_to_fit();
}

bool UpstreamConnection::isDone() const { return Reader->Response && Reader->Response->is_done(); }

bool UpstreamConnection::isReusable() const {
  return Socket.is_open() && isDone() && Reader->Response->get().keep_alive() &&
         Reader->Buffer.size() == 0;
}

std::optional<Duration> UpstreamConnection::announcedIdleLimit() const {
  if (!Reader->Response)
    return std::nullopt;
  const std::string_view value = Reader->Response->get()[http::field::keep_alive];
  constexpr std::string_view name = "timeout=";
  const std::size_t n = value.find(name);
  if (n == std::string_view::npos)
    return std::nullopt;
  const std::string_view rest = value.substr(n + name.size());
  const auto seconds = parseNumber<int>(rest.substr(0, rest.find_first_of(", ;")));
  if (!seconds || *seconds <= 0)
    return std::nullopt;
  return std::chrono::seconds{*seconds};
}

bool UpstreamConnection::hasPendingInput() {
  return !Socket.is_open() || wigeonlift::hasPendingInput(Socket);
}

std::size_t UpstreamConnection::unacknowledgedBytes() {
  return wigeonlift::unacknowledgedBytes(Socket);
}

void UpstreamConnection::close() {
  boost::system::error_code ec;
  Socket.close(ec);
}

bool UpstreamConnection::isOpen() const { return Socket.is_open(); }

} // namespace wigeonlift
