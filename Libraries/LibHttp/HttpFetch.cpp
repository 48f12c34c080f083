#include <LibHttp/HttpFetch.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <chrono>
#include <exception>
#include <utility>
#include <vector>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr std::size_t PartBytes = 32 * 1024;
constexpr std::chrono::microseconds TimePerBodyByte{1};

absl::Status toStatus(const boost::system::error_code &ec) {
  if (ec == boost::beast::error::timeout)
    return absl::DeadlineExceededError("no answer within the timeout");
  return absl::UnavailableError(ec.message());
}

} // namespace

namespace {

/// Opens a connection and sends the request. The stream's timeout goes on for the answer.
asio::awaitable<absl::Status> sendRequest(boost::beast::tcp_stream &stream,
                                          asio::ip::tcp::endpoint endpoint, HttpRequest request) {
  const auto [connectEc] = co_await stream.async_connect(endpoint, Completion);
  if (connectEc)
    co_return toStatus(connectEc);
  request.version(11);
  request.set(http::field::host,
              fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port()));
  request.keep_alive(false);
  request.prepare_payload();
  const auto [writeEc, writtenBytes] = co_await http::async_write(stream, request, Completion);
  co_return writeEc ? toStatus(writeEc) : absl::OkStatus();
}

} // namespace

asio::awaitable<absl::StatusOr<HttpResponse>> fetch(asio::ip::tcp::endpoint endpoint,
                                                    HttpRequest request, Duration timeout) {
  boost::beast::tcp_stream stream{co_await asio::this_coro::executor};
  stream.expires_after(timeout);
  if (absl::Status status = co_await sendRequest(stream, endpoint, std::move(request));
      !status.ok())
    co_return status;
  boost::beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(MaxBodyBytes);
  const auto [readEc, readBytes] = co_await http::async_read(stream, buf, parser, Completion);
  if (readEc)
    co_return toStatus(readEc);
  co_return parser.release();
}

asio::awaitable<absl::StatusOr<HttpResponseHead>> fetchInParts(asio::ip::tcp::endpoint endpoint,
                                                               HttpRequest request,
                                                               Duration timeout, BodySink sink) {
  boost::beast::tcp_stream stream{co_await asio::this_coro::executor};
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  stream.expires_at(deadline);
  if (absl::Status status = co_await sendRequest(stream, endpoint, std::move(request));
      !status.ok())
    co_return status;
  boost::beast::flat_buffer buf;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  const auto [headEc, headBytes] =
      co_await http::async_read_header(stream, buf, parser, Completion);
  if (headEc)
    co_return toStatus(headEc);
  std::vector<char> part(PartBytes);
  std::size_t received = 0;
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    const auto [ec, n] = co_await http::async_read(stream, buf, parser, Completion);
    // The parser asks for another buffer when the part is full.
    if (ec && ec != http::error::need_buffer)
      co_return toStatus(ec);
    const std::size_t size = part.size() - parser.get().body().size;
    if (absl::Status status = sink(parser.get().base(), {part.data(), size}); !status.ok())
      co_return status;
    received += size;
    stream.expires_at(deadline + received * TimePerBodyByte);
  }
  co_return parser.get().base();
}

absl::StatusOr<HttpResponse> fetchBlocking(const asio::ip::tcp::endpoint &endpoint,
                                           HttpRequest request, Duration timeout) {
  asio::io_context context;
  absl::StatusOr<HttpResponse> result = absl::InternalError("the request did not finish");
  asio::co_spawn(context, fetch(endpoint, std::move(request), timeout),
                 [&](const std::exception_ptr &, absl::StatusOr<HttpResponse> response) {
                   result = std::move(response);
                 });
  context.run();
  return result;
}

} // namespace wigeonlift
