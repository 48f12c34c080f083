#pragma once

#include <LibBase/Time.h>
#include <LibHttp/BodyPart.h>
#include <LibHttp/HttpMessage.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace wigeonlift {

/// How reading from a caller went.
enum class ReadResult : std::uint8_t {
  Complete,
  Closed,    ///< The caller closed the connection, or it broke.
  Malformed, ///< The bytes are no HTTP/1.1 request.
  TooLarge,  ///< The head or the body is over the limit.
};

/// Bounds of what a caller may send, and of how long it may take.
struct ConnectionLimits {
  std::uint32_t HeadBytes = 32 * 1024;
  /// Callers reuse connections for a while; each costs memory, and silent ones are found by
  /// keepalive.
  Duration Idle = std::chrono::seconds{120};
  /// For a caller that stops in the middle of a request head.
  Duration Head = std::chrono::seconds{30};
};

/// A server connection to one caller. It carries one request at a time: pipelined requests wait
/// unread. Every member is used on one thread; `close` makes pending operations fail.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  explicit CallerConnection(boost::asio::ip::tcp::socket socket);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  /// Applies to the requests that are read afterwards.
  void setLimits(const ConnectionLimits &limits) { Limits = limits; }
  /// Waits for the head of the next request, which `head` returns until the next call.
  boost::asio::awaitable<ReadResult> readHead();
  const HttpRequestHead &head() const;
  /// Whether the caller wants to send another request afterwards.
  bool keepsAlive() const;
  /// Whether a body follows the head.
  bool hasBody() const;
  /// Length of the body by its Content-Length; -1 when it is chunked.
  std::int64_t bodyLength() const;
  /// Whether the caller sends the body only when it is told to.
  bool awaitsContinue() const;
  /// Tells a caller that waits for it to send the body.
  boost::asio::awaitable<bool> writeContinue();
  /// Reads the body. With `TooLarge` the text holds what was read before the limit was passed, and
  /// `readBodyPart` continues.
  boost::asio::awaitable<ReadResult> readBody(std::string &body, std::size_t limit);
  /// Reads the next part of the body into the buffer.
  boost::asio::awaitable<BodyPart> readBodyPart(std::span<char> buf);

  /// Writes a whole response and sets its Content-Length. For a HEAD request, or a status without a
  /// body, the body is empty and the head keeps its fields.
  boost::asio::awaitable<bool> write(HttpResponseHead head, std::string_view body);
  /// Whether responses with that status never have a body, whatever their fields say.
  static bool hasNoBody(const HttpResponseHead &head);
  /// Writes the head of a response whose body follows in parts.
  boost::asio::awaitable<bool> writeHead(HttpResponseHead head);
  /// Writes a part of the body, as a chunk when the head has announced chunks.
  boost::asio::awaitable<bool> writePart(std::string_view part, bool isChunked);
  boost::asio::awaitable<bool> writeLastChunk();

  /// Calls back once when the caller closes the connection while its request is in progress.
  void watchForClose(std::function<void()> onClose);
  void stopWatching();
  void close();
  bool isOpen() const { return Socket.is_open(); }
  /// Whether the connection has waited for a request since before that time.
  bool isIdleSince(TimePoint time);
  /// When the pending operation counts as timed out, or, of an idle connection, the idle time.
  TimePoint expiresAt() const { return ExpiresAt; }

private:
  struct Parser;

  void expectWithin(Duration span);

  boost::asio::ip::tcp::socket Socket;
  std::unique_ptr<Parser> Reader;
  std::function<void()> OnClose;
  ConnectionLimits Limits;
  TimePoint ExpiresAt = TimePoint::max();
  TimePoint IdleSince{};
  bool IsIdle = true;
  bool DidContinue = false;
};

} // namespace wigeonlift
