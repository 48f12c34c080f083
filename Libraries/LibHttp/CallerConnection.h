#pragma once

#include <LibBase/Time.h>
#include <LibHttp/BodyPart.h>
#include <LibHttp/HttpMessage.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
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

/// Tells whether so many bytes of a body may be held.
using MayHold = std::function<bool(std::size_t bytes)>;

/// Bounds of what a caller may send, and of how long it may take.
struct ConnectionLimits {
  std::uint32_t HeadBytes = 32 * 1024;
  /// Callers reuse connections for a while; each costs memory, and silent ones are found by
  /// keepalive.
  Duration Idle = std::chrono::seconds{120};
  /// For a caller that stops in the middle of a request head.
  Duration Head = std::chrono::seconds{30};
};

/// A server connection to one caller. Requests are read one after the other; the next may be read
/// while earlier ones are unanswered. At most one coroutine reads and at most one writes. Every
/// member is used on one thread; `close` makes pending operations fail.
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
  /// Reads the body. With `TooLarge` the text holds what was read before the limit was passed, or
  /// before `mayHold` refused more, and `readBodyPart` continues.
  boost::asio::awaitable<ReadResult> readBody(std::string &body, std::size_t limit,
                                              MayHold mayHold = {});
  /// Reads the body and keeps nothing of it.
  boost::asio::awaitable<ReadResult> dropBody(std::size_t limit);
  /// Reads the next part of the body into the buffer.
  boost::asio::awaitable<BodyPart> readBodyPart(std::span<char> buf);

  /// Reads bytes of later requests into the buffer until it is full or `isDone` holds, so that a
  /// close by the caller is noticed while its requests are not parsed. `stop` is to be emitted when
  /// `isDone` begins to hold; it ends a read that waits, but not one that has just got bytes. False
  /// when the caller has closed.
  boost::asio::awaitable<bool> readAhead(boost::asio::cancellation_signal &stop,
                                         std::function<bool()> isDone);
  /// Reads and drops what the caller still sends, up to a limit, until it closes. A connection that
  /// is closed with unread bytes is reset, and the caller may lose the last response.
  boost::asio::awaitable<void> discardInput();

  /// Writes a whole response and sets its Content-Length. For a status without a body, or when the
  /// method of the request is HEAD, the body is empty and the head keeps its fields.
  boost::asio::awaitable<bool> write(HttpResponseHead head, std::string_view body,
                                     boost::beast::http::verb method);
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
  /// Tells the number of requests that were read and not yet answered. The connection is idle only
  /// when there are none.
  void setUnanswered(std::size_t count, TimePoint now);
  /// Whether bytes have arrived that belong to a later request than the last one whose head was
  /// read.
  bool hasUnreadInput();
  /// Whether requests that have arrived are unanswered.
  bool isBusy() { return Unanswered > 0 || hasUnreadInput(); }
  /// Ends the responses; the caller's bytes can still be read.
  void closeSending();
  void close();
  bool isOpen() const { return Socket.is_open(); }
  /// Whether the connection has waited for a request since before that time.
  bool isIdleSince(TimePoint time);
  /// When a pending operation counts as timed out, or, of an idle connection, the idle time.
  TimePoint expiresAt() const;

private:
  struct Parser;

  boost::asio::ip::tcp::socket Socket;
  std::unique_ptr<Parser> Reader;
  std::function<void()> OnClose;
  ConnectionLimits Limits;
  TimePoint ReadExpiresAt = TimePoint::max();
  TimePoint WriteExpiresAt = TimePoint::max();
  TimePoint IdleSince{};
  std::size_t Unanswered = 0;
  /// No byte of the next request has arrived.
  bool IsBetweenRequests = true;
  /// Bytes of the next request have arrived, but not all of its head.
  bool IsReadingHead = false;
  bool DidContinue = false;
};

} // namespace wigeonlift
