#include <StandIns/Upstream/EntityWriter.h>

#include <LibBase/Time.h>
#include <StandIns/Upstream/ByteRange.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <vector>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t ChunkBytes = 64 * 1024;

std::string_view value(const HttpRequest &request, http::field field) {
  const auto text = request[field];
  return {text.data(), text.size()};
}

/// The range asked for; empty when the whole entity must be sent.
std::optional<ByteRange> requestedRange(const HttpRequest &request, const Entity &entity) {
  const auto condition = value(request, http::field::if_range);
  if (!condition.empty() && condition != entity.etag())
    return std::nullopt;
  return ByteRange::fromHeader(value(request, http::field::range), entity.size());
}

std::string responseHeader(const Entity &entity, const std::optional<ByteRange> &range,
                           const LoadReport &load) {
  http::response<http::empty_body> response{
      range ? http::status::partial_content : http::status::ok, 11};
  response.set(http::field::content_type, "application/octet-stream");
  response.set(http::field::etag, entity.etag());
  response.set(http::field::accept_ranges, "bytes");
  response.set("Wigeonlift-Load", load.toHeader());
  if (range)
    response.set(http::field::content_range,
                 fmt::format("bytes {}-{}/{}", range->Begin, range->End - 1, entity.size()));
  response.content_length(range ? range->End - range->Begin : entity.size());
  std::ostringstream text;
  text << response.base();
  return text.str();
}

} // namespace

asio::awaitable<bool> EntityWriter::write(std::shared_ptr<Session> session, HttpRequest request,
                                          Entity entity, LoadReport load) const {
  const auto range = requestedRange(request, entity);
  const std::string header = responseHeader(entity, range, load);
  const auto [ec, n] =
      co_await asio::async_write(session->Socket, asio::buffer(header), Completion);
  if (ec)
    co_return false;
  const std::uint64_t begin = range ? range->Begin : 0;
  const std::uint64_t end = range ? range->End : entity.size();
  co_return co_await writeBody(std::move(session), entity, begin, end);
}

asio::awaitable<bool> EntityWriter::writeBody(std::shared_ptr<Session> session, Entity entity,
                                              std::uint64_t begin, std::uint64_t end) const {
  std::vector<char> chunk(std::min(ChunkBytes, end - begin));
  while (begin < end) {
    if (session->IsSilent)
      co_return false;
    const std::span<char> part{chunk.data(), std::min<std::uint64_t>(chunk.size(), end - begin)};
    entity.fill(begin, part);
    const auto [ec, n] = co_await asio::async_write(
        session->Socket, asio::buffer(part.data(), part.size()), Completion);
    if (ec)
      co_return false;
    begin += part.size();
    if (BytesPerSecond > 0) {
      session->Pause.expires_after(
          fromSeconds(static_cast<double>(part.size()) / static_cast<double>(BytesPerSecond)));
      co_await session->Pause.async_wait(Completion);
    }
  }
  co_return true;
}

} // namespace wigeonlift
