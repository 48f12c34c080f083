#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace wigeonlift {

/// Sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT, so that small messages leave at once and a
/// connection that has gone silent fails within seconds. Limits what the kernel holds for a peer
/// that reads slowly.
void setStreamOptions(boost::asio::ip::tcp::socket &socket);

/// Whether the peer has closed or reset the connection. Sees only what has arrived so far.
bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

/// Whether there is anything to read: data, a close or an error.
bool hasPendingInput(boost::asio::ip::tcp::socket &socket);

/// Bytes that were written and not yet acknowledged by the peer's kernel.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

} // namespace wigeonlift
