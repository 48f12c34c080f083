#pragma once

#include <LibBase/Time.h>
#include <LibHttp/LibHttp.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string_view>

namespace wigeonlift {

/// How the forwarding of a request ended.
enum class ForwardEnd : std::uint8_t {
  Complete,
  /// There was no answer, and nothing has been written to the caller.
  NoAnswer,
  /// The answer broke off, or the caller's connection did.
  Broken,
};

/// A request with a foreign ticket, as it is sent to the entry VM that issued the ticket.
HttpRequestHead forwardedHead(const HttpRequestHead &request, Duration timeLeft,
                              std::size_t bodyBytes);

/// Sends a request to another entry VM and relays the answer, whose statement about the effect it
/// passes on. Gives up at the deadline.
boost::asio::awaitable<ForwardEnd>
forwardRequest(boost::asio::ip::tcp::endpoint endpoint, HttpRequestHead head, std::string_view body,
               TimePoint deadline, std::shared_ptr<CallerConnection> caller, bool closesCaller);

} // namespace wigeonlift
