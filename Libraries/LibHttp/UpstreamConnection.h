#pragma once

#include <LibBase/Time.h>
#include <LibHttp/BodyPart.h>
#include <LibHttp/HttpMessage.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace wigeonlift {

/// Whether a response may end with its connection. Nothing tells the end of such a response from a
/// close in the middle of it, other than a reset.
enum class OpenEnd : std::uint8_t { Refused, Allowed };

/// A client connection to one upstream. It carries one request at a time. Every member is used on
/// one thread; `close` makes pending operations fail.
class UpstreamConnection {
public:
  UpstreamConnection(const boost::asio::any_io_executor &executor,
                     const boost::asio::ip::tcp::endpoint &endpoint);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;

  /// Opens the connection; false when that fails or takes longer than the timeout.
  boost::asio::awaitable<bool> open(Duration timeout);

  /// Writes a request. The head must hold Content-Length when there is a body. The views must live
  /// until the operation ends. False when the connection broke: part of the request may have left.
  boost::asio::awaitable<bool> write(const HttpRequestHead &head, std::string_view body);
  /// Writes more of a request body whose Content-Length the head has announced.
  boost::asio::awaitable<bool> writeMore(std::string_view body);

  /// Reads the head of the response, which stays valid until the next request; null when the
  /// connection broke, the head is malformed or has a status below 100, too many interim responses
  /// precede it, or nothing marks the end of the body where that is refused.
  boost::asio::awaitable<const HttpResponseHead *> readHead(bool isHeadRequest,
                                                            OpenEnd openEnd = OpenEnd::Refused);
  /// Reads the next part of the body into the buffer. A body that goes on in tiny parts counts as
  /// broken.
  boost::asio::awaitable<BodyPart> readBody(std::span<char> buf);
  /// Whether the response has been read to its end.
  bool isDone() const;

  /// Whether the response has been read to its end and the upstream keeps the connection open.
  bool isReusable() const;
  /// How long the upstream keeps the connection idle, if its last response says so.
  std::optional<Duration> announcedIdleLimit() const;
  /// Whether an idle connection has anything to read, which makes it unusable.
  bool hasPendingInput();
  /// Bytes that were written and that the upstream's kernel has not taken. It takes little more
  /// than the upstream reads.
  std::size_t unacknowledgedBytes();
  void close();
  bool isOpen() const;

  /// When the last complete response, or the opening of the connection, was seen.
  TimePoint lastAnswer() const { return LastAnswer; }
  /// Notes a complete response and frees memory that only a large body needed.
  void didAnswer(TimePoint now);

private:
  struct Parser;

  boost::asio::ip::tcp::endpoint Endpoint;
  boost::asio::ip::tcp::socket Socket;
  std::unique_ptr<Parser> Reader;
  TimePoint LastAnswer{};
  /// Parts and bytes of the current response's body that have been read.
  std::size_t BodyParts = 0;
  std::size_t BodyBytes = 0;
};

} // namespace wigeonlift
