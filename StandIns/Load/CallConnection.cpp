#include <StandIns/Load/CallConnection.h>

#include <LibHistory/LibHistory.h>
#include <StandIns/Common/EntityChecker.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <limits>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr auto ConnectTimeout = std::chrono::seconds{1};
constexpr std::size_t ChunkBytes = 64 * 1024;
constexpr int FirstErrorStatus = 300;

using Response = http::response<http::buffer_body>;

std::string text(const Response &response, const char *name) {
  const auto value = response[name];
  return {value.data(), value.size()};
}

/// What the head says. A response without the header comes from an upstream itself, which ran it.
void readHead(const Response &response, TryResult &result) {
  result.Status = static_cast<int>(response.result_int());
  result.Failure = text(response, "Wigeonlift-Failure");
  result.IsClosing = !response.keep_alive();
  if (std::string ticket = text(response, "Wigeonlift-Ticket"); !ticket.empty())
    result.Ticket = std::move(ticket);
  const std::string executed = text(response, "Wigeonlift-Execution");
  result.Executed = executed.empty() ? Execution::Run : Execution::Unknown;
  for (const Execution it : {Execution::Run, Execution::NotRun})
    if (executed == toString(it))
      result.Executed = it;
  if (text(response, "Wigeonlift-Refused") == "1")
    result.Executed = Execution::NotRun;
}

std::string failureOf(const boost::system::error_code &ec) {
  return ec == boost::beast::error::timeout ? FailureTimeout : FailureBroken;
}

/// The entity that the answer must hold: an upstream may have revised it.
Entity revisionOf(const Response &response, const Entity &expected) {
  constexpr std::uint64_t maxRevision = 8;
  const std::string etag = text(response, "ETag");
  for (std::uint64_t n = 0; n <= maxRevision; ++n)
    if (Entity revision = expected.revision(n); revision.etag() == etag)
      return revision;
  return expected;
}

} // namespace

asio::awaitable<bool> CallConnection::connect(asio::ip::tcp::endpoint endpoint) {
  Stream.expires_after(ConnectTimeout);
  const auto [ec] = co_await Stream.async_connect(endpoint, Completion);
  if (ec)
    co_return false;
  boost::system::error_code optionEc;
  Stream.socket().set_option(asio::ip::tcp::no_delay{true}, optionEc);
  co_return true;
}

asio::awaitable<TryResult> CallConnection::exchange(HttpRequest request, Entity expected,
                                                    Duration timeout) {
  TryResult result;
  IsReusable = false;
  Stream.expires_after(timeout);
  request.prepare_payload();
  const auto [writeEc, written] = co_await http::async_write(Stream, request, Completion);
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code ec = writeEc;
  if (!ec) {
    const auto [readEc, n] = co_await http::async_read_header(Stream, Buf, parser, Completion);
    ec = readEc;
  }
  if (ec) {
    result.Failure = failureOf(ec);
    co_return result;
  }
  readHead(parser.get(), result);
  co_await readBody(parser, revisionOf(parser.get(), expected), result);
  IsReusable = result.HasEnded && parser.get().keep_alive();
  co_return result;
}

template <typename Parser>
asio::awaitable<void> CallConnection::readBody(Parser &parser, Entity expected, TryResult &result) {
  Chunk.resize(ChunkBytes);
  // Beast reads no more at a time than the buffer's capacity, which is small at first.
  Buf.reserve(ChunkBytes);
  EntityChecker checker{expected};
  boost::system::error_code ec;
  while (!parser.is_done() && !ec) {
    parser.get().body().data = Chunk.data();
    parser.get().body().size = Chunk.size();
    const auto [readEc, n] = co_await http::async_read_some(Stream, Buf, parser, Completion);
    ec = readEc == http::error::need_buffer ? boost::system::error_code{} : readEc;
    checker.feed(std::span{Chunk}.first(Chunk.size() - parser.get().body().size));
  }
  result.HasEnded = parser.is_done();
  if (!result.HasEnded)
    result.Failure = failureOf(ec);
  const bool hasContent = result.Status < FirstErrorStatus;
  result.IsOwn = !hasContent || checker.isRight();
  result.IsWhole = hasContent ? checker.isWhole() : result.HasEnded;
}

} // namespace wigeonlift
